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
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/application"
	"github.com/persimmoncart/persimmoncart/internal/claim"
	"github.com/persimmoncart/persimmoncart/internal/control"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/entry"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/places"
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
	store        *objectapi.Faulty
	stop         func() error
}

// A network connects addresses in memory.
type network struct {
	listeners map[string]*listener
	servers   []*http.Server
}

// dial connects to an address.
func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	if l := n.listeners[address]; l != nil {
		return l.dial(ctx, "", "")
	}
	return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
}

// serve serves handler at addr.
func (n *network) serve(addr netip.AddrPort, handler http.Handler) {
	l := newListener()
	n.listeners[addr.String()] = l
	s := &http.Server{Handler: handler}
	n.servers = append(n.servers, s)
	go s.Serve(l)
}

// newFleet starts a fleet.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	clock := &timer.System{}
	n := &network{listeners: make(map[string]*listener)}
	f := &fleet{records: &application.Records{}}
	f.store = &objectapi.Faulty{Store: &objectapi.Memory{Timer: clock}, Timer: clock}
	snapshot := &persimmoncart.Snapshot{
		Accounts:  map[persimmoncart.AccountID]*persimmoncart.Account{"dar": {Name: "dar", Weight: 1}},
		Endpoints: make(map[persimmoncart.EndpointID]*persimmoncart.Endpoint),
		Pools: map[persimmoncart.PoolName]*persimmoncart.Pool{
			"hull": {First: 1600 * time.Millisecond, Models: []persimmoncart.ModelName{"hull-llm"}, Name: "hull", Pace: 60 * time.Millisecond},
			"yard": {Name: "yard", Role: persimmoncart.RoleApplication},
		},
		Routes: map[persimmoncart.RouteName]*persimmoncart.Route{
			"draft": {Class: persimmoncart.ClassInteractive, Limit: 100, Models: []persimmoncart.ModelName{"hull-llm"}, Name: "draft", Pool: "hull", Timeout: 30 * time.Second},
			"post":  {Name: "post", Pool: "yard", Timeout: 10 * time.Second},
			"stock": {Hedge: true, Name: "stock", Pool: "yard", Repeat: true, Timeout: 10 * time.Second},
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
	f.start(n, client, fixed{snapshot})
	return f
}

// start runs the instance.
func (f *fleet) start(n *network, client *http.Client, configuration fixed) {
	self := persimmoncart.Instance{DataCentre: "hall", ID: "i", Incarnation: 1, Region: "coast"}
	p := &places.Places{Configuration: configuration, Seed: 1, Self: self, Timer: &timer.System{}}
	owner := &entry.SoleOwner{Configuration: configuration, Region: "coast", Usables: p}
	c := &claim.Claims{Logger: zerolog.Nop(), Self: self.Tag(), Store: f.store, Timer: &timer.System{}}
	l := newListener()
	i := &entry.Instance{
		Applications:  &application.Clients{HTTP: client},
		Balancer:      p,
		Claims:        c,
		Configuration: configuration,
		Engines:       &engine.Clients{HTTP: client},
		Grace:         time.Second,
		Listener:      l,
		Logger:        zerolog.Nop(),
		Places:        p,
		Self:          self,
		Services:      []control.Service{{Name: "places", Run: p.Run}, {Name: "owner", Run: owner.Run}, {Name: "claims", Run: c.Run}},
		Timer:         &timer.System{},
	}
	f.client = &http.Client{Transport: &http.Transport{DialContext: l.dial}}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel, f.done = cancel, make(chan error, 1)
	go func() { f.done <- i.Run(ctx) }()
	synctest.Wait()
	f.stop = func() error {
		cancel()
		err := <-f.done
		f.client.CloseIdleConnections()
		client.CloseIdleConnections()
		for _, s := range n.servers {
			s.Close()
		}
		time.Sleep(10 * time.Second) // the fakes' own timers end
		return err
	}
}

// held returns the work that holds memory on the engines that answer.
func (f *fleet) held(t *testing.T) []string {
	t.Helper()
	var out []string
	for _, e := range f.engines {
		work, err := e.Work(t.Context())
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
	a := engine.NewFakeAnswer(prompt)
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
					var group sync.WaitGroup
					for n := range 3 {
						group.Go(func() {
							prompt := fmt.Sprint(name, bad, n)
							text, err := f.complete(t.Context(), t, prompt)
							assert.Check(t, err)
							assert.Check(t, text == want(prompt), "%q", text)
						})
					}
					group.Wait()
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
