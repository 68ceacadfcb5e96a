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
	// crashStartShare is the share of FaultDuration after which callers begin to send
	// requests that crash replicas.
	crashStartShare = 0.25
	// maxAttempts is the number of attempts of all routes.
	maxAttempts = 2
	// meanFaultInterval is the mean time between the starts of two faults. Most
	// faults last longer, so that they overlap.
	meanFaultInterval = 350 * time.Millisecond
	// maxFaultDuration is the longest duration of a fault.
	maxFaultDuration = 4 * time.Second
	// faultyRequestShare is the share of requests to a faulty replica that fail.
	faultyRequestShare = 0.4
	// refusedShare is the share of the other requests that are refused during the faults,
	// and repeatedShare that before which the last refusal on the connection is repeated.
	refusedShare  = 0.05
	repeatedShare = 0.2
)

// A faultSource selects the fault of each request to one replica. It is safe for
// concurrent use.
type faultSource struct {
	fault    standin.Fault
	mutex    sync.Mutex
	random   *rand.Rand
	refusals *rand.Rand // of refusals and their repetition; nil outside the time of the faults
}

// next returns the fault of one request, or FaultNone.
func (f *faultSource) next(string) standin.Fault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.fault != standin.FaultNone && f.random.Float64() < faultyRequestShare {
		return f.fault
	}
	if f.refusals == nil {
		return standin.FaultNone
	}
	switch draw := f.refusals.Float64(); {
	case draw < refusedShare:
		return standin.FaultRefuse
	case draw < refusedShare+repeatedShare:
		return standin.FaultRepeatRefusal
	default:
		return standin.FaultNone
	}
}

// setRefusals sets the source of refusals; nil ends them.
func (f *faultSource) setRefusals(random *rand.Rand) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.refusals = random
}

// set sets the fault of later requests; FaultNone ends it.
func (f *faultSource) set(fault standin.Fault) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.fault = fault
}

// An injection is one active fault.
type injection struct {
	cut     []int // instances that it separates from the store, or stops
	endTime time.Time
	name    string // for the log
	revert  func() // ends the fault
}

// injectFaults starts random faults for FaultDuration. Each ends after a random
// time of at most maxFaultDuration.
func (s *Soak) injectFaults() {
	var active []injection
	crashStart := time.Now().Add(time.Duration(crashStartShare * float64(s.FaultDuration)))
	for end := time.Now().Add(s.FaultDuration); time.Now().Before(end); {
		for _, l := range s.crashLogs() {
			l.setOpen(time.Now().After(crashStart))
		}
		time.Sleep(time.Duration(s.random.ExpFloat64() * float64(meanFaultInterval)))
		remaining := active[:0]
		for _, i := range active {
			if time.Now().Before(i.endTime) {
				remaining = append(remaining, i)
				continue
			}
			s.revert(i)
		}
		active = remaining
		i := s.inject()
		i.endTime = time.Now().Add(time.Duration(s.random.Int64N(int64(maxFaultDuration))))
		s.logf("%s until %7.3fs", i.name, i.endTime.Sub(s.recorder.started).Seconds())
		active = append(active, i)
	}
	for _, i := range active {
		s.revert(i)
	}
}

// revert ends a fault.
func (s *Soak) revert(i injection) {
	i.revert()
	s.accounts.endFault(i.cut)
}

// inject starts one random fault.
func (s *Soak) inject() injection {
	n := s.random.IntN(len(s.processes))
	p, r := s.processes[n], s.replicas[s.random.IntN(len(s.replicas))]
	running := r.running()
	noRevert := func() {}
	var one, all []int
	for k := range s.processes {
		all = append(all, k)
	}
	one = all[n : n+1]
	fault := s.random.IntN(12)
	switch fault {
	case 0, 1, 2, 4, 5:
		s.accounts.beginFault(one)
	case 3, 8, 9:
		s.accounts.beginFault(all)
	}
	switch fault {
	case 0:
		p.signal(syscall.SIGKILL)
		return injection{cut: one, name: p.Name + " receives SIGKILL", revert: func() { s.restart(p) }}
	case 1:
		p.signal(syscall.SIGTERM)
		return injection{cut: one, name: p.Name + " receives SIGTERM", revert: func() { s.restart(p) }}
	case 2:
		p.signal(syscall.SIGSTOP)
		return injection{cut: one, name: p.Name + " receives SIGSTOP", revert: func() { p.signal(syscall.SIGCONT) }}
	case 3:
		for _, p := range s.processes {
			p.signal(syscall.SIGKILL)
		}
		return injection{cut: all, name: "all instances receive SIGKILL", revert: func() {
			for _, p := range s.processes {
				s.restart(p)
			}
		}}
	case 4, 5:
		mode := []ProxyMode{ProxyDropRequests, ProxyDelay, ProxyReset, ProxyDropAll}[s.random.IntN(4)]
		s.storeProxies[n].SetMode(mode)
		return injection{cut: one, name: fmt.Sprintf("connections of %s to the store: proxy mode %d", p.Name, mode), revert: func() { s.storeProxies[n].SetMode(ProxyForward) }}
	case 6, 7:
		mode := []ProxyMode{ProxyDropRequests, ProxyDelay, ProxyReset, ProxyDropAll}[s.random.IntN(4)]
		running.proxy.SetMode(mode)
		return injection{name: fmt.Sprintf("connections to %s: proxy mode %d", running.ID, mode), revert: func() { running.proxy.SetMode(ProxyForward) }}
	case 8:
		mode := []standin.StoreMode{standin.StoreUnavailable, standin.StoreResets, standin.StoreHangs}[s.random.IntN(3)]
		s.store.SetMode(mode)
		return injection{cut: all, name: fmt.Sprintf("store: mode %d", mode), revert: func() { s.store.SetMode(standin.StoreHealthy) }}
	case 9:
		s.store.PauseWatches()
		s.writeConfiguration()
		return injection{cut: all, name: "store compacts its history", revert: s.store.Compact}
	case 10:
		s.writeConfiguration()
		return injection{name: fmt.Sprintf("configuration version %d is written", s.configVersion), revert: noRevert}
	default:
		fault := standin.Fault(1 + s.random.IntN(int(standin.FaultUnframedCut)))
		r.fault.set(fault)
		return injection{name: fmt.Sprintf("%s: fault %d", running.ID, fault), revert: func() { r.fault.set(standin.FaultNone) }}
	}
}

// endFaults ends all faults and restarts the instances that do not run. To violate
// Resumed, it kills all instances instead.
func (s *Soak) endFaults() {
	s.logf("all faults end")
	s.store.SetMode(standin.StoreHealthy)
	s.store.Compact()
	for _, p := range s.storeProxies {
		p.SetMode(ProxyForward)
	}
	for _, r := range s.replicas {
		r.running().proxy.SetMode(ProxyForward)
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

// restart starts an instance again after it has ended or was signalled to stop.
func (s *Soak) restart(p *process) {
	p.signal(syscall.SIGCONT)
	if _, ended := p.wait(0); !ended && !p.isStopping() {
		return // the end of another fault has started it
	}
	if _, ended := p.wait(standin.GraceTime); !ended {
		s.recorder.addViolation(GracefulStop, "%s still runs %s after a signal to stop", p.Name, standin.GraceTime)
		p.signal(syscall.SIGKILL)
		p.wait(standin.GraceTime)
	}
	if err := p.start(); err != nil {
		s.logf("%s does not start: %v", p.Name, err)
	}
}

// writeConfiguration writes the next version of the configuration. Its route "vN"
// exists in version N only.
func (s *Soak) writeConfiguration() {
	s.configVersion++
	engineRoute := standin.Route{Kind: standin.KindStreaming, LatencyTarget: 900 * time.Millisecond, MaxAttempts: maxAttempts, Pool: serviceLLM, Timeout: 14 * time.Second}
	booksRoute := standin.Route{LatencyTarget: 300 * time.Millisecond, MaxAttempts: maxAttempts, Pool: serviceBooks, Timeout: 6 * time.Second}
	var routes []standin.Route
	for name, r := range map[string]standin.Route{kindStream: engineRoute, kindResumable: engineRoute, kindIdempotent: booksRoute, kindNonIdempotent: booksRoute, fmt.Sprintf("v%d", s.configVersion): booksRoute, kindAnonymous: booksRoute} {
		r.Anonymous, r.Name, r.Resumable = name == kindAnonymous, name, name == kindResumable
		switch {
		case name == kindNonIdempotent:
			r.Kind = standin.KindNonIdempotent
		case r.Pool == serviceBooks:
			r.Kind = standin.KindIdempotent
		}
		routes = append(routes, r)
	}
	s.accounts.change(keyHolders(s.configVersion), func() {
		s.store.PutConfiguration(s.configVersion, routes, map[string]standin.EngineCapacity{serviceLLM: {KVTokens: 60000, Slots: replicaSlots}}, accounts(s.configVersion)...)
	})
}

// checkConfig checks that a change of the configuration is in force within
// configApplyTime, and that the version before it no longer is.
func (s *Soak) checkConfig() {
	oldVersion := s.configVersion
	if s.Violate != ConfigInForce {
		s.writeConfiguration()
	}
	time.Sleep(configApplyTime)
	for n, p := range s.processes {
		for version, want := range map[int]int{oldVersion: http.StatusNotFound, oldVersion + 1: http.StatusOK} {
			status, err := s.probe(n, p, fmt.Sprintf("v%d", version), keyNorth)
			if err != nil {
				s.recorder.addViolation(ConfigInForce, "%s does not respond: %v", p.Name, err)
				continue
			}
			if status != want {
				s.recorder.addViolation(ConfigInForce, "%s responds with status %d for version %d, want %d", p.Name, status, version, want)
			}
		}
		s.checkKeys(n, p)
	}
}

// probe sends a request to an instance on a new connection and returns the status.
func (s *Soak) probe(n int, p *process, route, key string) (int, error) {
	s.probes++
	request := &standin.Request{Addr: p.Callers, ID: fmt.Sprintf("probe%d-%d", n, s.probes), Key: key, Path: "/" + route + "/x", Timeout: 2 * time.Second}
	s.accounts.register(request, n, p)
	httpRequest, err := request.HTTP(context.Background())
	if err != nil {
		panic(err) // the address is valid
	}
	response, err := (&http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(httpRequest)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// checkLeaving drains a replica and checks that it gets no new requests after
// drainTime.
func (s *Soak) checkLeaving() {
	r := s.replicas[s.random.IntN(3)]
	if s.Violate != Leaving {
		r.drainingSince = time.Now()
	}
	s.putEndpoint(r)
	p := r.running()
	s.logf("%s is draining", p.ID)
	time.Sleep(drainTime)
	before := len(p.Executions())
	time.Sleep(drainTime)
	if after := len(p.Executions()); after > before {
		s.recorder.addViolation(Leaving, "%s ran %d requests after %s of draining", p.ID, after-before, drainTime)
	}
	r.drainingSince = time.Time{}
	s.putEndpoint(r)
	time.Sleep(time.Second)
}

// plantViolation causes the violation that Violate selects, after the callers have
// ended. Violations that need callers are caused elsewhere.
func (s *Soak) plantViolation() {
	r := s.replicas[0].running()
	repeat := func(status int, answered bool) {
		for n := range s.recorder.outcomes {
			o := &s.recorder.outcomes[n]
			if o.kind == kindNonIdempotent && o.status == status && !o.incomplete == answered {
				httpRequest, err := (&standin.Request{Addr: r.addr, ID: o.id, Path: "/pay/1", Timeout: time.Second}).HTTP(context.Background())
				if err != nil {
					panic(err) // the address is valid
				}
				if response, err := http.DefaultClient.Do(httpRequest); err == nil {
					_ = response.Body.Close()
				}
				return
			}
		}
	}
	switch s.Violate {
	case Alive:
		p := s.processes[0]
		_ = p.command.Process.Kill() // not by signal, which announces the end
		p.wait(standin.GraceTime)
		time.Sleep(100 * time.Millisecond) // until the end is counted
	case AtMostOnce:
		repeat(http.StatusOK, true)
	case TrueRefusal:
		o := &s.recorder.outcomes[0]
		o.incomplete, o.kind, o.status = false, kindNonIdempotent, http.StatusServiceUnavailable
		repeat(http.StatusServiceUnavailable, true)
	case WholeAnswer:
		s.recorder.add(&outcome{body: "half", id: "planted", kind: kindIdempotent, status: http.StatusOK, wantBody: "half of it"})
	case OneSoftware:
		s.recorder.add(&outcome{id: "planted", kind: kindResumable, software: []string{"v1", "v2"}})
	case KeysHeld:
		request := &standin.Request{Addr: r.addr, ID: "planted", Key: keyNorth, Path: "/look/1", Timeout: time.Second}
		if httpRequest, err := request.HTTP(context.Background()); err == nil {
			if response, err := http.DefaultClient.Do(httpRequest); err == nil {
				_ = response.Body.Close()
			}
		}
	case QuotaHeld:
		for id := range s.executions() { // as if all requests were those of accountBulk
			s.quotaLog.addArrival(http.Header{"X-Attempt-Id": {id}, "X-Tenant": {accountBulk}}, time.Now())
		}
	case Freed:
		r.Reserve(time.Minute)
	default:
	}
}

// restartInOrder stops and starts one instance after the other, as a rolling update
// does, and checks that each stops gracefully.
func (s *Soak) restartInOrder() {
	for n, p := range s.processes {
		load := s.startStopLoad(n, p)
		signalled := time.Now()
		load.begin()
		if s.Violate == GracefulStop {
			p.signal(syscall.SIGKILL)
		} else {
			p.signal(syscall.SIGTERM)
		}
		code, exited := p.wait(standin.GraceTime)
		switch {
		case !exited:
			s.recorder.addViolation(GracefulStop, "%s still runs %s after a signal to stop", p.Name, standin.GraceTime)
			p.signal(syscall.SIGKILL)
		case code != 0:
			s.recorder.addViolation(GracefulStop, "%s ended with exit code %d", p.Name, code)
		}
		s.logf("%s stopped after %s", p.Name, time.Since(signalled).Round(time.Millisecond))
		ended := time.Now()
		load.wait()
		time.Sleep(200 * time.Millisecond) // callers record the outcomes of their requests
		s.recorder.checkGracefulStop(n, signalled, ended, s.executions())
		if err := p.start(); err != nil {
			s.logf("%s does not start: %v", p.Name, err)
		}
	}
}
