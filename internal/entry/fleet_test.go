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

// A fleet is an instance before two prefill engines, two decode engines and two
// application endpoints, which it reaches by HTTP over connections in memory.
type fleet struct {
	applications []*application.Fake
	cancel       context.CancelFunc
	client       *http.Client // of the callers
	done         chan error   // of the instance
	engines      []*engine.Fake
	records      *application.Records
	running      []*running
	store        *objectapi.Faulty
	stop         func() error
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
	f.start(n, client, fixed{snapshot}, count)
	return f
}

// start runs instances; several of them are peers of each other.
func (f *fleet) start(n *network, client *http.Client, configuration fixed, count int) {
	peers := &entry.Peers{}
	list := &instancelist.Fake{Timer: &timer.System{}}
	if count > 1 {
		protocols := &http.Protocols{}
		protocols.SetUnencryptedHTTP2(true)
		peers.HTTP = &http.Client{Transport: &http.Transport{DialContext: n.dial, Protocols: protocols}}
		peers.List = list
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
			Applications:  &application.Clients{HTTP: client},
			Configuration: configuration,
			Engines:       &engine.Clients{HTTP: client},
			Grace:         time.Second,
			Listener:      pipe.NewListener(),
			Logger:        zerolog.Nop(),
			Metrics:       metrics.New(),
			PeerListener:  n.listen(self.Addr),
			Self:          self,
			Store:         f.store,
			Timer:         &timer.System{},
		}
		peers.Join(i)
		r := &running{
			client: &http.Client{Transport: &http.Transport{DialContext: i.Listener.(*pipe.Listener).Dial}},
			done:   make(chan error, 1),
		}
		var ctx context.Context
		ctx, r.cancel = context.WithCancel(context.Background())
		go func() { r.done <- i.Run(ctx) }()
		f.running = append(f.running, r)
	}
	synctest.Wait()
	f.running[0].use(f)
	f.stop = func() error {
		var errs []error
		for _, r := range f.running {
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
		time.Sleep(10 * time.Second) // the fakes' own timers end
		return errors.Join(errs...)
	}
}

// A running is one instance of a fleet.
type running struct {
	cancel context.CancelFunc
	client *http.Client
	done   chan error
}

// use lets the fleet's calls go to the instance.
func (r *running) use(f *fleet) { f.cancel, f.client, f.done = r.cancel, r.client, r.done }

// held returns the work that holds memory on the engines that answer.
func (f *fleet) held(t *testing.T) []string {
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

// complete requests one draft and returns its text.
func (f *fleet) complete(ctx context.Context, t *testing.T, prompt string) (string, error) {
	t.Helper()
	body := `{"model":"hull-llm","prompt":"` + prompt + `","max_tokens":20}`
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://entry/v1/completions", strings.NewReader(body))
	assert.NilError(t, err)
	q.Header.Set("Authorization", "Bearer key")
	response, err := f.client.Do(q)
	if err != nil {
		return "", err
	}
	var answer struct {
		Choices []struct{ Text string }
		Error   struct{ Code, Message string }
	}
	text := read(t, response)
	assert.NilError(t, json.Unmarshal([]byte(text), &answer), text)
	if len(answer.Choices) == 0 {
		return "", fmt.Errorf("refused: %s", text)
	}
	return answer.Choices[0].Text, nil
}

// A fixed configuration never changes.
type fixed struct{ snapshot *persimmoncart.Snapshot }

func (f fixed) Snapshot() *persimmoncart.Snapshot                   { return f.snapshot }
func (fixed) Subscribe(func(*persimmoncart.Snapshot)) (stop func()) { return func() {} }

// want returns the answer that every sound engine gives.
func want(prompt string) string {
	var s strings.Builder
	a := engine.NewFakeOutput(prompt)
	for n := range 20 {
		s.WriteString(a.Token(n))
	}
	return s.String()
}

// Guards against answers that are cut, repeated or crossed, and against memory
// that stays held, when one engine of each role misbehaves in every way that
// the fake knows.
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
		for _, bad := range []int{1, 2} { // a prefill and a decode engine
			t.Run(fmt.Sprint(name, " ", bad), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t)
					f.engines[bad].Change(func(x *engine.Faults) { *x = faults })
					f.completeAll(t, fmt.Sprint(name, bad), 3)
					f.engines[bad].Change(func(x *engine.Faults) { *x = engine.Faults{} })
					time.Sleep(time.Second)
					assert.DeepEqual(t, f.held(t), []string(nil))
					assert.NilError(t, f.stop())
				})
			})
		}
	}
}

// Guards against memory that stays held after a caller leaves at any moment.
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
			assert.Equal(t, len(f.held(t)), 0, "%s", after)
		}
		assert.NilError(t, f.stop())
	})
}

// Guards against lookups that fail although one endpoint of two is sound.
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
				f.applications[0].Change(func(x *application.Faults) { *x = faults })
				for n := range 20 {
					path := fmt.Sprint("/lots/", n)
					q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://entry/stock"+path, nil)
					assert.NilError(t, err)
					q.Header.Set("Authorization", "Bearer key")
					response, err := f.client.Do(q)
					assert.NilError(t, err)
					assert.Equal(t, read(t, response), string(application.FakeLookup(path)))
				}
				assert.NilError(t, f.stop())
			})
		})
	}
}

// Guards against peers that do not find each other, that grant the same slots
// twice, or that leave replicas without an owner after one of them has stopped.
func TestFleetPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, 2)
		time.Sleep(30 * time.Second) // the first epochs
		f.completeAll(t, "both", 16)
		f.running[1].use(f)
		f.completeAll(t, "second", 16)
		f.running[0].use(f)
		f.running[1].cancel()
		f.completeAll(t, "while one stops", 8)
		assert.NilError(t, <-f.running[1].done)
		f.running[1].done <- nil
		time.Sleep(30 * time.Second) // the next epoch
		f.completeAll(t, "alone", 16)
		time.Sleep(time.Second)
		assert.Equal(t, len(f.held(t)), 0)
		for _, e := range f.engines {
			assert.Equal(t, e.Counters().Refused, uint64(0), "an engine had more work than slots")
		}
		assert.NilError(t, f.stop())
	})
}

// completeAll requests drafts at the same time and checks their texts.
func (f *fleet) completeAll(t *testing.T, name string, count int) {
	t.Helper()
	var group sync.WaitGroup
	for n := range count {
		group.Go(func() {
			prompt := fmt.Sprint(name, n)
			text, err := f.complete(t.Context(), t, prompt)
			assert.Check(t, err)
			assert.Check(t, text == want(prompt), "%q", text)
		})
	}
	group.Wait()
}

// Guards against endpoints that get new work seconds after they said that they
// are leaving, on the instance that owns them and on the other one.
func TestFleetLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, 2)
		time.Sleep(30 * time.Second) // the first epochs
		f.engines[0].Change(func(x *engine.Faults) { x.Leaving = true })
		f.engines[2].Change(func(x *engine.Faults) { x.Leaving = true })
		time.Sleep(5 * time.Second)
		for n, r := range f.running {
			r.use(f)
			f.completeAll(t, fmt.Sprint("instance ", n), 8)
		}
		for _, n := range []int{0, 2} {
			assert.Equal(t, f.engines[n].Counters(), engine.Counters{})
		}
		f.running[0].use(f)
		assert.NilError(t, f.stop())
	})
}

// Guards against engines that the daily plan has given another role and that
// get requests for the former one, or none.
func TestFleetRoleChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for _, n := range []int{1, 2} { // a prefill and a decode engine change places
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
