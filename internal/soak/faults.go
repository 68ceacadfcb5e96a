package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/persimmoncart/persimmoncart/platform/standin"
)

const (
	// meanFaultInterval is the mean time between two faults. They last longer, so that
	// they overlap.
	meanFaultInterval = 350 * time.Millisecond
	// maxFaultDuration is the longest time of a fault.
	maxFaultDuration = 4 * time.Second
	// faultyRequestShare is the share of requests that a faulty replica spoils.
	faultyRequestShare = 0.4
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
	if f.fault != standin.FaultNone && f.random.Float64() < faultyRequestShare {
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
	revert  func()
	name    string
	endTime time.Time
}

// injectFaults injects random injectFaults for the length of the run.
func (s *Soak) injectFaults() {
	var open []injection
	for end := time.Now().Add(s.FaultDuration); time.Now().Before(end); {
		time.Sleep(time.Duration(s.random.ExpFloat64() * float64(meanFaultInterval)))
		kept := open[:0]
		for _, i := range open {
			if time.Now().Before(i.endTime) {
				kept = append(kept, i)
				continue
			}
			i.revert()
		}
		open = kept
		i := s.inject()
		i.endTime = time.Now().Add(time.Duration(s.random.Int64N(int64(maxFaultDuration))))
		s.logf("%s until %7.3fs", i.name, i.endTime.Sub(s.recorder.started).Seconds())
		open = append(open, i)
	}
	for _, i := range open {
		i.revert()
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
		return injection{name: p.Name + " is killed", revert: func() { s.restart(p) }}
	case 1:
		p.signal(syscall.SIGTERM)
		return injection{name: p.Name + " is asked to stop", revert: func() { s.restart(p) }}
	case 2:
		p.signal(syscall.SIGSTOP)
		return injection{name: p.Name + " is paused", revert: func() { p.signal(syscall.SIGCONT) }}
	case 3:
		for _, p := range s.processes {
			p.signal(syscall.SIGKILL)
		}
		return injection{name: "all instances are killed", revert: func() {
			for _, p := range s.processes {
				s.restart(p)
			}
		}}
	case 4, 5:
		way := []ProxyMode{ProxyDropRequests, ProxyDelay, ProxyReset, ProxyDropAll}[s.random.IntN(4)]
		s.storeProxies[n].SetMode(way)
		return injection{name: fmt.Sprintf("%s to the store: way %d", p.Name, way), revert: func() { s.storeProxies[n].SetMode(ProxyForward) }}
	case 6, 7:
		way := []ProxyMode{ProxyDropRequests, ProxyDelay, ProxyReset, ProxyDropAll}[s.random.IntN(4)]
		r.proxy.SetMode(way)
		return injection{name: fmt.Sprintf("to %s: way %d", r.ID, way), revert: func() { r.proxy.SetMode(ProxyForward) }}
	case 8:
		mode := []standin.StoreMode{standin.StoreUnavailable, standin.StoreResets, standin.StoreHangs}[s.random.IntN(3)]
		s.store.SetMode(mode)
		return injection{name: fmt.Sprintf("store: mode %d", mode), revert: func() { s.store.SetMode(standin.StoreHealthy) }}
	case 9:
		s.store.PauseWatches()
		s.writeConfiguration()
		return injection{name: "store drops its history", revert: s.store.Compact}
	case 10:
		s.writeConfiguration()
		return injection{name: fmt.Sprintf("configuration %d", s.configVersion), revert: nothing}
	default:
		fault := standin.Fault(1 + s.random.IntN(int(standin.FaultUnauthenticated)))
		r.fault.set(fault)
		return injection{name: fmt.Sprintf("%s: fault %d", r.ID, fault), revert: func() { r.fault.set(standin.FaultNone) }}
	}
}

// endFaults ends all faults and starts what does not run.
func (s *Soak) endFaults() {
	s.logf("all faults end")
	s.store.SetMode(standin.StoreHealthy)
	s.store.Compact()
	for _, p := range s.storeProxies {
		p.SetMode(ProxyForward)
	}
	for _, r := range s.replicas {
		r.proxy.SetMode(ProxyForward)
		r.fault.set(standin.FaultNone)
	}
	if s.Violate == Resumed {
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
	if _, ended := p.wait(0); !ended && !p.isStopping() {
		return // another fault's end has started it
	}
	if _, ended := p.wait(standin.GraceTime); !ended {
		s.recorder.addViolation(GracefulStop, "%s runs %s after it was asked to stop", p.Name, standin.GraceTime)
		p.signal(syscall.SIGKILL)
		p.wait(standin.GraceTime)
	}
	if err := p.start(); err != nil {
		s.logf("%s does not start: %v", p.Name, err)
	}
}

// writeConfiguration writes the next version of the configuration. Its route "vN" exists
// in version N only.
func (s *Soak) writeConfiguration() {
	s.configVersion++
	engine := standin.Route{Kind: standin.KindStreaming, LatencyTarget: 900 * time.Millisecond, MaxAttempts: 2, Pool: serviceLLM, Timeout: 6 * time.Second}
	books := standin.Route{LatencyTarget: 300 * time.Millisecond, MaxAttempts: 2, Pool: serviceBooks, Timeout: 6 * time.Second}
	var routes []standin.Route
	for name, r := range map[string]standin.Route{kindStream: engine, kindResumable: engine, kindIdempotent: books, kindNonIdempotent: books, fmt.Sprintf("v%d", s.configVersion): books} {
		r.Name, r.Resumable = name, name == kindResumable
		switch {
		case name == kindNonIdempotent:
			r.Kind = standin.KindNonIdempotent
		case r.Pool == serviceBooks:
			r.Kind = standin.KindIdempotent
		}
		routes = append(routes, r)
	}
	s.store.PutConfiguration(s.configVersion, routes, map[string]standin.EngineCapacity{serviceLLM: {KVTokens: 60000, Slots: replicaSlots}})
}

// putEndpoint writes the entry of a replica.
func (s *Soak) putEndpoint(r *replica) {
	s.store.PutEndpoint(&standin.EndpointRecord{
		Addr: r.addr, DataCentre: r.zone, Draining: !r.drainingSince.IsZero(), ID: r.ID, Pool: r.service, Role: r.CurrentRole(), Slots: replicaSlots,
	})
}

// checkConfig checks that a change is in force in time and that the version
// before it is gone.
func (s *Soak) checkConfig() {
	old := s.configVersion
	if s.Violate != ConfigForce {
		s.writeConfiguration()
	}
	time.Sleep(configApplyTime)
	for n, p := range s.processes {
		for version, want := range map[int]int{old: http.StatusNotFound, old + 1: http.StatusOK} {
			r := &standin.Request{Addr: p.Callers, ID: fmt.Sprintf("config-%d-%d", n, version), Path: fmt.Sprintf("/v%d/x", version), Timeout: 2 * time.Second}
			q, err := r.HTTP(context.Background())
			if err != nil {
				panic(err) // the address is a valid one
			}
			response, err := (&http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
			if err != nil {
				s.recorder.addViolation(ConfigForce, "%s does not answer: %v", p.Name, err)
				continue
			}
			_ = response.Body.Close() // only the status counts
			if response.StatusCode != want {
				s.recorder.addViolation(ConfigForce, "%s answers %d for version %d, want %d", p.Name, response.StatusCode, version, want)
			}
		}
	}
}

// checkLeaving lets a replica leave and checks that it gets no new work in time.
func (s *Soak) checkLeaving() {
	r := s.replicas[s.random.IntN(3)]
	if s.Violate != Leaving {
		r.drainingSince = time.Now()
	}
	s.putEndpoint(r)
	s.logf("%s leaves", r.ID)
	time.Sleep(drainTime)
	before := len(r.Executions())
	time.Sleep(drainTime)
	if after := len(r.Executions()); after > before {
		s.recorder.addViolation(Leaving, "%s ran %d requests after it had left", r.ID, after-before)
	}
	r.drainingSince = time.Time{}
	s.putEndpoint(r)
	time.Sleep(time.Second)
}

// plantViolation breaks the promise that is to be broken after the callers have gone.
func (s *Soak) plantViolation() {
	r := s.replicas[0]
	again := func(status int, answered bool) {
		for n := range s.recorder.outcomes {
			o := &s.recorder.outcomes[n]
			if o.kind == kindNonIdempotent && o.status == status && !o.incomplete == answered {
				q, err := (&standin.Request{Addr: r.addr, ID: o.id, Path: "/pay/1", Timeout: time.Second}).HTTP(context.Background())
				if err != nil {
					panic(err) // the address is a valid one
				}
				if response, err := http.DefaultClient.Do(q); err == nil {
					_ = response.Body.Close()
				}
				return
			}
		}
	}
	switch s.Violate {
	case AtMostOnce:
		again(http.StatusOK, true)
	case TrueRefusal:
		o := &s.recorder.outcomes[0]
		o.incomplete, o.kind, o.status = false, kindNonIdempotent, http.StatusServiceUnavailable
		again(http.StatusServiceUnavailable, true)
	case WholeAnswer:
		s.recorder.add(&outcome{body: "half", id: "planted", kind: kindIdempotent, status: http.StatusOK, wantBody: "half of it"})
	case Freed:
		r.Reserve(time.Minute)
	default:
	}
}

// restartInOrder stops and starts one instance after the other, as a planned change does.
func (s *Soak) restartInOrder() {
	for n, p := range s.processes {
		asked := time.Now()
		if s.Violate == GracefulStop {
			p.signal(syscall.SIGKILL)
		} else {
			p.signal(syscall.SIGTERM)
		}
		code, ended := p.wait(standin.GraceTime)
		switch {
		case !ended:
			s.recorder.addViolation(GracefulStop, "%s runs %s after it was asked to stop", p.Name, standin.GraceTime)
			p.signal(syscall.SIGKILL)
		case code != 0:
			s.recorder.addViolation(GracefulStop, "%s ended with code %d", p.Name, code)
		}
		s.logf("%s stopped after %s", p.Name, time.Since(asked).Round(time.Millisecond))
		over := time.Now()
		time.Sleep(200 * time.Millisecond) // callers note how their requests ended
		s.recorder.checkGracefulStop(n, asked, over, s.executions())
		if err := p.start(); err != nil {
			s.logf("%s does not start: %v", p.Name, err)
		}
	}
}
