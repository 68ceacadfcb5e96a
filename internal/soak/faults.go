package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/persimmoncart/persimmoncart/platform/standin"
)

const (
	// faultGap is the mean time between two faults. They last longer, so that
	// they overlap.
	faultGap = 350 * time.Millisecond
	// faultTime is the longest time of a fault.
	faultTime = 4 * time.Second
	// faultShare is the share of requests that a faulty replica spoils.
	faultShare = 0.4
)

// A faultSource decides what goes wrong with the requests of one replica.
type faultSource struct {
	fault  standin.Fault
	mutex  sync.Mutex
	random *rand.Rand
}

// next returns what goes wrong with a request.
func (f *faultSource) next(string) standin.Fault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.fault != standin.FaultNone && f.random.Float64() < faultShare {
		return f.fault
	}
	return standin.FaultNone
}

// set changes what goes wrong.
func (f *faultSource) set(fault standin.Fault) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.fault = fault
}

// An injection is one fault and how it ends.
type injection struct {
	end  func()
	name string
	over time.Time
}

// faults injects random faults for the length of the run.
func (s *Soak) faults() {
	var open []injection
	for end := time.Now().Add(s.Length); time.Now().Before(end); {
		time.Sleep(time.Duration(s.random.ExpFloat64() * float64(faultGap)))
		kept := open[:0]
		for _, i := range open {
			if time.Now().Before(i.over) {
				kept = append(kept, i)
				continue
			}
			i.end()
		}
		open = kept
		i := s.inject()
		i.over = time.Now().Add(time.Duration(s.random.Int64N(int64(faultTime))))
		s.logf("%s until %7.3fs", i.name, i.over.Sub(s.record.started).Seconds())
		open = append(open, i)
	}
	for _, i := range open {
		i.end()
	}
}

// inject starts one random fault.
func (s *Soak) inject() injection {
	n := s.random.IntN(len(s.processes))
	p, r := s.processes[n], s.replicas[s.random.IntN(len(s.replicas))]
	nothing := func() {}
	switch s.random.IntN(12) {
	case 0:
		p.signal(syscall.SIGKILL)
		return injection{name: p.Name + " is killed", end: func() { s.restart(p) }}
	case 1:
		p.signal(syscall.SIGTERM)
		return injection{name: p.Name + " is asked to stop", end: func() { s.restart(p) }}
	case 2:
		p.signal(syscall.SIGSTOP)
		return injection{name: p.Name + " is paused", end: func() { p.signal(syscall.SIGCONT) }}
	case 3:
		for _, p := range s.processes {
			p.signal(syscall.SIGKILL)
		}
		return injection{name: "all instances are killed", end: func() {
			for _, p := range s.processes {
				s.restart(p)
			}
		}}
	case 4, 5:
		way := []Way{WayCut, WayDelay, WayReset, WaySilent}[s.random.IntN(4)]
		s.stores[n].Set(way)
		return injection{name: fmt.Sprintf("%s to the store: way %d", p.Name, way), end: func() { s.stores[n].Set(WayOpen) }}
	case 6, 7:
		way := []Way{WayCut, WayDelay, WayReset, WaySilent}[s.random.IntN(4)]
		r.proxy.Set(way)
		return injection{name: fmt.Sprintf("to %s: way %d", r.ID, way), end: func() { r.proxy.Set(WayOpen) }}
	case 8:
		mood := []standin.StoreMood{standin.StoreBusy, standin.StoreResets, standin.StoreSilent}[s.random.IntN(3)]
		s.store.SetMood(mood)
		return injection{name: fmt.Sprintf("store: mood %d", mood), end: func() { s.store.SetMood(standin.StoreWell) }}
	case 9:
		s.store.Deafen()
		s.configure()
		return injection{name: "store drops its history", end: s.store.Compact}
	case 10:
		s.configure()
		return injection{name: fmt.Sprintf("configuration %d", s.version), end: nothing}
	default:
		fault := standin.Fault(1 + s.random.IntN(int(standin.FaultUnsealed)))
		r.fault.set(fault)
		return injection{name: fmt.Sprintf("%s: fault %d", r.ID, fault), end: func() { r.fault.set(standin.FaultNone) }}
	}
}

// heal ends all faults and starts what does not run.
func (s *Soak) heal() {
	s.logf("all faults end")
	s.store.SetMood(standin.StoreWell)
	s.store.Compact()
	for _, p := range s.stores {
		p.Set(WayOpen)
	}
	for _, r := range s.replicas {
		r.proxy.Set(WayOpen)
		r.fault.set(standin.FaultNone)
	}
	if s.Broken == Resumed {
		for _, p := range s.processes {
			p.signal(syscall.SIGKILL)
		}
		return
	}
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
		s.restart(p)
	}
}

// restart starts an instance again that has ended or was asked to.
func (s *Soak) restart(p *process) {
	p.signal(syscall.SIGCONT)
	if _, ended := p.wait(0); !ended && !p.isEnding() {
		return // another fault's end has started it
	}
	if _, ended := p.wait(graceTime); !ended {
		s.record.violate(GracefulStop, "%s runs %s after it was asked to stop", p.Name, graceTime)
		p.signal(syscall.SIGKILL)
		p.wait(graceTime)
	}
	if err := p.start(); err != nil {
		s.logf("%s does not start: %v", p.Name, err)
	}
}

// configure writes the next version of the configuration. Its route "vN" exists
// in version N only.
func (s *Soak) configure() {
	s.version++
	route := func(name, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "shop.example", "path-prefix": "/" + name + "/", "kind": kind, "timeout-ms": 6000,
			"target-latency-ms": 300, "priority": 1, "service": service, "max-attempts": 2, "gap-aim-ms": 300,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	s.store.Put("config", "main", map[string]any{
		"version": s.version,
		"routes": []any{
			route(kindPay, "non_idempotent", "books", nil), route(kindLook, "idempotent", "books", nil),
			route(kindCert, "streaming", "llm", map[string]any{"target-latency-ms": 900}),
			route(kindLong, "streaming", "llm", map[string]any{"target-latency-ms": 900, "resumable": true}),
			route(fmt.Sprintf("v%d", s.version), "idempotent", "books", nil),
		},
		"services": []any{
			map[string]any{"name": "books", "max-conns": 200},
			map[string]any{"name": "llm", "max-conns": 200, "engine": map[string]any{
				"capacity-slots": 16, "kv-capacity": 60000, "handle-ttl-s": 0.5, "hold-ms": 2000,
			}},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 65536, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

// enter writes the entry of a replica.
func (s *Soak) enter(r *replica) {
	state := "ready"
	if !r.leaving.IsZero() {
		state = "draining"
	}
	s.store.Put("servers", r.ID, map[string]any{
		"service": r.service, "address": r.addr.String(), "zone": fmt.Sprintf("z%d", r.zone), "capacity-slots": 16,
		"state": state, "stage": r.Role(), "born": 1000, "sequence": 1,
	})
}

// checkConfig checks that a change is in force in time and that the version
// before it is gone.
func (s *Soak) checkConfig() {
	old := s.version
	if s.Broken != ConfigForce {
		s.configure()
	}
	time.Sleep(applyTime)
	for n, p := range s.processes {
		for version, want := range map[int]int{old: http.StatusNotFound, old + 1: http.StatusOK} {
			q, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v%d/x", p.Callers, version), strings.NewReader(""))
			if err != nil {
				panic(err) // the address is a valid one
			}
			q.Host = "shop.example"
			q.Header.Set("X-Attempt-Id", fmt.Sprintf("config-%d-%d", n, version))
			q.Header.Set("X-Deadline-Ms", "2000")
			response, err := (&http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
			if err != nil {
				s.record.violate(ConfigForce, "%s does not answer: %v", p.Name, err)
				continue
			}
			_ = response.Body.Close() // only the status counts
			if response.StatusCode != want {
				s.record.violate(ConfigForce, "%s answers %d for version %d, want %d", p.Name, response.StatusCode, version, want)
			}
		}
	}
}

// checkLeaving lets a replica leave and checks that it gets no new work in time.
func (s *Soak) checkLeaving() {
	r := s.replicas[s.random.IntN(3)]
	if s.Broken != Leaving {
		r.leaving = time.Now()
	}
	s.enter(r)
	s.logf("%s leaves", r.ID)
	time.Sleep(drainTime)
	before := len(r.Runs())
	time.Sleep(drainTime)
	if after := len(r.Runs()); after > before {
		s.record.violate(Leaving, "%s ran %d requests after it had left", r.ID, after-before)
	}
	r.leaving = time.Time{}
	s.enter(r)
	time.Sleep(time.Second)
}

// plant breaks the promise that is to be broken after the callers have gone.
func (s *Soak) plant() {
	r := s.replicas[0]
	again := func(status int, answered bool) {
		for n := range s.record.outcomes {
			o := &s.record.outcomes[n]
			if o.kind == kindPay && o.status == status && !o.closed == answered {
				q, _ := http.NewRequest(http.MethodPost, "http://"+r.addr.String()+"/pay/1", strings.NewReader("")) // a valid address
				q.Header.Set("X-Attempt-Id", o.id)
				if response, err := http.DefaultClient.Do(q); err == nil {
					_ = response.Body.Close()
				}
				return
			}
		}
	}
	switch s.Broken {
	case AtMostOnce:
		again(http.StatusOK, true)
	case TrueRefusal:
		s.record.outcomes[0].kind, s.record.outcomes[0].status = kindPay, http.StatusServiceUnavailable
		again(http.StatusServiceUnavailable, true)
	case WholeAnswer:
		s.record.add(&outcome{body: "half", id: "planted", kind: kindLook, status: http.StatusOK, whole: "half of it"})
	case Freed:
		response, err := http.Post("http://"+r.addr.String()+"/persimmoncart/hold-take", "application/json", strings.NewReader(`{"ttl-ms":60000}`))
		if err == nil {
			_ = response.Body.Close()
		}
	default:
	}
}

// replace stops and starts one instance after the other, as a planned change does.
func (s *Soak) replace() {
	for n, p := range s.processes {
		asked := time.Now()
		if s.Broken == GracefulStop {
			p.signal(syscall.SIGKILL)
		} else {
			p.signal(syscall.SIGTERM)
		}
		code, ended := p.wait(graceTime)
		switch {
		case !ended:
			s.record.violate(GracefulStop, "%s runs %s after it was asked to stop", p.Name, graceTime)
			p.signal(syscall.SIGKILL)
		case code != 0:
			s.record.violate(GracefulStop, "%s ended with code %d", p.Name, code)
		}
		s.logf("%s stopped after %s", p.Name, time.Since(asked).Round(time.Millisecond))
		over := time.Now()
		time.Sleep(200 * time.Millisecond) // callers note how their requests ended
		s.record.checkStop(n, asked, over, s.runs())
		if err := p.start(); err != nil {
			s.logf("%s does not start: %v", p.Name, err)
		}
	}
}
