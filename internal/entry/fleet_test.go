package entry_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/application"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/entry"
	"github.com/persimmoncart/persimmoncart/internal/instancelist"
	"github.com/persimmoncart/persimmoncart/internal/metrics"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/pipe"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// A fleet is one or more instances with two prefill engines, two decode engines and
// two application endpoints, which the instances reach by HTTP over connections in
// memory.
type fleet struct {
	applications []*application.Fake
	cancel       context.CancelFunc // stops the instance in use
	client       *http.Client       // sends calls to the instance in use
	done         chan error         // receives the result of the instance in use
	engines      []*engine.Fake
	instances    []*fleetInstance
	records      *application.Records
	stop         func() error // stops all instances and fakes
	store        *objectapi.Faulty
}

// A network connects addresses in memory.
type network struct {
	listeners map[string]*pipe.Listener
	mutex     sync.Mutex
	servers   []*http.Server
}

// dial connects to an address.
func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mutex.Lock()
	l := n.listeners[address]
	n.mutex.Unlock()
	if l != nil {
		return l.Dial(ctx, "", "")
	}
	return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
}

// listen returns the listener at addr.
func (n *network) listen(addr netip.AddrPort) *pipe.Listener {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	l := pipe.NewListener()
	n.listeners[addr.String()] = l
	return l
}

// serve serves handler at addr.
func (n *network) serve(addr netip.AddrPort, handler http.Handler) {
	l := n.listen(addr)
	s := &http.Server{Handler: handler}
	n.servers = append(n.servers, s)
	go s.Serve(l)
}

// newFleet starts a fleet with one instance.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	return newFleetOf(t, 1)
}

// newFleetOf starts a fleet with several instances.
func newFleetOf(t *testing.T, count int) *fleet {
	t.Helper()
	clock := &timer.System{}
	n := &network{listeners: make(map[string]*pipe.Listener)}
	f := &fleet{records: &application.Records{}}
	f.store = &objectapi.Faulty{Store: &objectapi.Memory{Timer: clock}, Timer: clock}
	snapshot := &persimmoncart.Snapshot{
		Accounts:  map[persimmoncart.AccountID]*persimmoncart.Account{"dar": {Name: "dar", Weight: 1}},
		Endpoints: make(map[persimmoncart.EndpointID]*persimmoncart.Endpoint),
		Pools: map[persimmoncart.PoolName]*persimmoncart.Pool{
			"hull": {FirstTokenTarget: 1600 * time.Millisecond, Models: []persimmoncart.ModelName{"hull-llm"}, Name: "hull", TokenGapTarget: 60 * time.Millisecond},
			"yard": {Name: "yard", Role: persimmoncart.RoleApplication},
		},
		Routes: map[persimmoncart.RouteName]*persimmoncart.Route{
			"draft": {Class: persimmoncart.ClassInteractive, MaxOutputTokens: 100, Models: []persimmoncart.ModelName{"hull-llm"}, Name: "draft", Pool: "hull", Timeout: 30 * time.Second},
			"post":  {Name: "post", Pool: "yard", Timeout: 10 * time.Second},
			"stock": {Hedge: true, Name: "stock", Pool: "yard", Idempotent: true, Timeout: 10 * time.Second},
		},
		Version: 1,
	}
	snapshot.Keys = map[persimmoncart.KeyHash]*persimmoncart.Account{sha256.Sum256([]byte("key")): snapshot.Accounts["dar"]}
	client := &http.Client{Transport: &http.Transport{DialContext: n.dial}}
	exporter := &engine.Clients{HTTP: client}
	roles := []persimmoncart.Role{persimmoncart.RolePrefill, persimmoncart.RolePrefill, persimmoncart.RoleDecode, persimmoncart.RoleDecode}
	for number, role := range append(roles, persimmoncart.RoleApplication, persimmoncart.RoleApplication) {
		e := &persimmoncart.Endpoint{
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 80), DataCentre: "hall", Region: "coast",
			ID: persimmoncart.EndpointID(fmt.Sprint("e", number)), Role: role, Pool: "yard", Slots: 20,
		}
		snapshot.Endpoints[e.ID] = e
		if role == persimmoncart.RoleApplication {
			fake := application.NewFake(e.Addr, f.records, clock)
			f.applications = append(f.applications, fake)
			n.serve(e.Addr, (&application.Handler{Application: fake, Fake: fake}).Handler())
			continue
		}
		fake := engine.NewFake(e.Addr, role, clock)
		fake.Exporter, fake.Models = exporter, snapshot.Pools["hull"].Models
		e.Blocks, e.Models, e.Pool, e.Slots = fake.Blocks, fake.Models, "hull", fake.Slots
		f.engines = append(f.engines, fake)
		n.serve(e.Addr, (&engine.Handler{Engine: fake, Fake: fake}).Handler())
	}
	f.start(n, client, fixedConfiguration{snapshot}, count)
	return f
}

// start starts count instances. If there are several, they are peers of each other.
func (f *fleet) start(n *network, client *http.Client, configuration fixedConfiguration, count int) {
	peers := &entry.Peers{}
	list := &instancelist.Fake{Timer: &timer.System{}}
	if count > 1 {
		protocols := &http.Protocols{}
		protocols.SetUnencryptedHTTP2(true)
		peers.HTTP = &http.Client{Transport: &http.Transport{DialContext: n.dial, Protocols: protocols}}
		peers.InstanceList = list
	}
	for number := range count {
		self := persimmoncart.Instance{
			Addr:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(number)}), 80),
			DataCentre: "hall", ID: persimmoncart.InstanceID(fmt.Sprint("i", number)), Incarnation: 1, Region: "coast",
		}
		list.Change(func(l []persimmoncart.ListEntry) []persimmoncart.ListEntry {
			return append(l, persimmoncart.ListEntry{Instance: &self})
		})
		i := &entry.Instance{
			Applications:   &application.Clients{HTTP: client},
			CallerListener: pipe.NewListener(),
			Configuration:  configuration,
			Engines:        &engine.Clients{HTTP: client},
			Grace:          time.Second,
			Logger:         zerolog.Nop(),
			Metrics:        metrics.New(),
			PeerListener:   n.listen(self.Addr),
			Self:           self,
			Store:          f.store,
			Timer:          &timer.System{},
		}
		peers.Join(i)
		r := &fleetInstance{
			client: &http.Client{Transport: &http.Transport{DialContext: i.CallerListener.(*pipe.Listener).Dial}},
			done:   make(chan error, 1),
		}
		var ctx context.Context
		ctx, r.cancel = context.WithCancel(context.Background())
		go func() { r.done <- i.Run(ctx) }()
		f.instances = append(f.instances, r)
	}
	synctest.Wait()
	f.instances[0].use(f)
	f.stop = func() error {
		var errs []error
		for _, r := range f.instances {
			r.cancel()
			errs = append(errs, <-r.done)
			r.client.CloseIdleConnections()
		}
		client.CloseIdleConnections()
		if peers.HTTP != nil {
			peers.HTTP.CloseIdleConnections()
		}
		for _, s := range n.servers {
			s.Close()
		}
		time.Sleep(10 * time.Second) // until the timers of the fakes have ended
		return errors.Join(errs...)
	}
}

// A fleetInstance is one instance of a fleet.
type fleetInstance struct {
	cancel context.CancelFunc
	client *http.Client
	done   chan error // receives the result of Run
}

// use makes the instance the one that the fleet sends calls to and stops.
func (i *fleetInstance) use(f *fleet) { f.cancel, f.client, f.done = i.cancel, i.client, i.done }

// heldWork returns the work items that hold memory on the engines that respond, as
// "address attempt".
func (f *fleet) heldWork(t *testing.T) []string {
	t.Helper()
	var out []string
	for _, e := range f.engines {
		work, err := e.ListWork(t.Context())
		if err != nil {
			continue // the engine is down and has lost its memory
		}
		for _, w := range work {
			out = append(out, e.Addr.String()+" "+w.Attempt.String())
		}
	}
	return out
}

// complete requests one completion of 20 tokens and returns its text.
func (f *fleet) complete(ctx context.Context, t *testing.T, prompt string) (string, error) {
	t.Helper()
	body := `{"model":"hull-llm","prompt":"` + prompt + `","max_tokens":20}`
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://entry/v1/completions", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer key")
	response, err := f.client.Do(request)
	if err != nil {
		return "", err
	}
	var completion struct {
		Choices []struct{ Text string }
		Error   struct{ Code, Message string }
	}
	text := read(t, response)
	assert.NilError(t, json.Unmarshal([]byte(text), &completion), text)
	if len(completion.Choices) == 0 {
		return "", fmt.Errorf("refused: %s", text)
	}
	return completion.Choices[0].Text, nil
}

// A fixedConfiguration is a configuration that never changes.
type fixedConfiguration struct{ snapshot *persimmoncart.Snapshot }

func (f fixedConfiguration) Snapshot() *persimmoncart.Snapshot { return f.snapshot }

func (fixedConfiguration) Subscribe(func(*persimmoncart.Snapshot)) (stop func()) { return func() {} }

// expectedText returns the text that every engine without faults generates.
func expectedText(prompt string) string {
	var s strings.Builder
	a := engine.NewFakeOutput(prompt)
	for n := range 20 {
		s.WriteString(a.Token(n))
	}
	return s.String()
}

// Guards against responses that are truncated, repeated or belong to other requests,
// and against memory that is not released, when one engine has any of the faults that
// the fake can inject.
func TestFleetEngineFaults(t *testing.T) {
	tests := map[string]engine.Faults{
		"none":            {},
		"down":            {Down: true},
		"garbage":         {Garbage: true},
		"crossed answers": {Cross: true},
		"skipped token":   {Skip: 7},
		"slow":            {Slow: 5},
		"stalled":         {Stall: true},
		"stops in stream": {Stop: 5},
		"leaving":         {Leaving: true},
	}
	for name, faults := range tests {
		for _, bad := range []int{1, 2} { // indexes of a prefill and a decode engine
			t.Run(fmt.Sprint(name, " ", bad), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t)
					f.engines[bad].Change(func(current *engine.Faults) { *current = faults })
					f.completeAll(t, fmt.Sprint(name, bad), 3)
					f.engines[bad].Change(func(current *engine.Faults) { *current = engine.Faults{} })
					time.Sleep(time.Second)
					assert.DeepEqual(t, f.heldWork(t), []string(nil))
					assert.NilError(t, f.stop())
				})
			})
		}
	}
}

// Guards against memory that is not released when a caller disconnects, at any time
// of a request.
func TestFleetCallersLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for after := time.Duration(0); after < 600*time.Millisecond; after += 7 * time.Millisecond {
			ctx, cancel := context.WithTimeout(t.Context(), after)
			_, err := f.complete(ctx, t, "prompt")
			cancel()
			if err == nil {
				continue
			}
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, len(f.heldWork(t)), 0, "%s", after)
		}
		assert.NilError(t, f.stop())
	})
}

// Guards against lookups that fail although one endpoint of two works.
func TestFleetApplicationFaults(t *testing.T) {
	tests := map[string]application.Faults{
		"none":            {},
		"crossed answers": {Cross: true},
		"down":            {Down: true},
		"fails":           {Fail: true},
		"garbage":         {Garbage: true},
		"leaving":         {Leaving: true},
		"refuses":         {Refuse: true},
		"slow":            {Slow: 10},
		"truncated":       {Truncate: true},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				f.applications[0].Change(func(current *application.Faults) { *current = faults })
				for n := range 20 {
					path := fmt.Sprint("/lots/", n)
					request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://entry/stock"+path, nil)
					assert.NilError(t, err)
					request.Header.Set("Authorization", "Bearer key")
					response, err := f.client.Do(request)
					assert.NilError(t, err)
					assert.Equal(t, read(t, response), string(application.FakeLookup(path)))
				}
				assert.NilError(t, f.stop())
			})
		})
	}
}

// Guards against peers that do not find each other, that grant the same slots twice,
// or that leave replicas without an owner after one peer has stopped.
func TestFleetPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, 2)
		time.Sleep(30 * time.Second) // until the first ownership epochs
		f.completeAll(t, "both", 16)
		f.instances[1].use(f)
		f.completeAll(t, "second", 16)
		f.instances[0].use(f)
		f.instances[1].cancel()
		f.completeAll(t, "while one stops", 8)
		assert.NilError(t, <-f.instances[1].done)
		f.instances[1].done <- nil
		time.Sleep(30 * time.Second) // until the next ownership epoch
		f.completeAll(t, "alone", 16)
		time.Sleep(time.Second)
		assert.Equal(t, len(f.heldWork(t)), 0)
		for _, e := range f.engines {
			assert.Equal(t, e.Counters().Refused, uint64(0), "an engine had more work than slots")
		}
		assert.NilError(t, f.stop())
	})
}

// completeAll sends count requests at the same time and checks the texts of the
// responses.
func (f *fleet) completeAll(t *testing.T, name string, count int) {
	t.Helper()
	var group sync.WaitGroup
	for n := range count {
		group.Go(func() {
			prompt := fmt.Sprint(name, n)
			text, err := f.complete(t.Context(), t, prompt)
			assert.Check(t, err)
			assert.Check(t, text == expectedText(prompt), "%q", text)
		})
	}
	group.Wait()
}

// Guards against endpoints that get new work seconds after they reported that they
// are leaving, from the instance that owns them or from another one.
func TestFleetLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, 2)
		time.Sleep(30 * time.Second) // until the first ownership epochs
		f.engines[0].Change(func(current *engine.Faults) { current.Leaving = true })
		f.engines[2].Change(func(current *engine.Faults) { current.Leaving = true })
		time.Sleep(5 * time.Second)
		for n, r := range f.instances {
			r.use(f)
			f.completeAll(t, fmt.Sprint("instance ", n), 8)
		}
		for _, n := range []int{0, 2} {
			assert.Equal(t, f.engines[n].Counters(), engine.Counters{})
		}
		f.instances[0].use(f)
		assert.NilError(t, f.stop())
	})
}

// Guards against engines that get requests for their former role, or none at all,
// after an order has changed their role.
func TestFleetRoleChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for _, n := range []int{1, 2} { // a prefill and a decode engine swap roles
			role := persimmoncart.RoleDecode
			if f.engines[n].Role == role {
				role = persimmoncart.RolePrefill
			}
			assert.NilError(t, f.engines[n].Order(t.Context(), persimmoncart.Order{Kind: persimmoncart.OrderRole, Role: role}))
		}
		time.Sleep(5 * time.Second)
		f.completeAll(t, "changed", 16)
		assert.Assert(t, f.engines[1].Counters().Decoded > 0)
		assert.Assert(t, f.engines[2].Counters().Prefilled > 0)
		for _, e := range f.engines {
			assert.Equal(t, e.Counters().Refused, uint64(0))
		}
		assert.NilError(t, f.stop())
	})
}
