// Package soak runs the real program as separate processes before stand-ins of
// the platform, injects faults from outside them, and checks what callers and
// replicas see.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/platform/standin"
)

const (
	// startTimeout bounds the time until all instances are ready.
	startTimeout = 10 * time.Second
	// replicaSlots is the number of requests that a replica runs at once.
	replicaSlots = 16
	// recoveryTime is how long faults are over before promises with a time hold.
	recoveryTime = 6 * time.Second
	// drainTime is how long a replica that is leaving may still get work.
	drainTime = 2500 * time.Millisecond
	// configApplyTime is how long a change of the configuration may take.
	configApplyTime = 2500 * time.Millisecond
	// releaseTime is how long after the last caller something may be held.
	releaseTime = 3 * time.Second
	// minAnsweredShare is the share of requests that are served once faults are over.
	minAnsweredShare = 0.7
)

// Services.
const (
	serviceBooks = "books"
	serviceLLM   = "llm"
)

// zone returns the zone of the n-th instance or replica.
func zone(n int) string { return fmt.Sprintf("z%d", n%3) }

// A Soak is one run. Its fields are set before Run.
type Soak struct {
	Violate       Invariant // a violation of it is planted; empty for none
	Callers       int       // for each instance
	Folder        string    // for settings and logs
	Instances     int
	FaultDuration time.Duration // of the faults
	Log           io.Writer
	Program       string // path of the real program
	Seed          uint64

	group         sync.WaitGroup
	processes     []*process
	random        *rand.Rand
	recorder      recorder
	replicas      []*replica
	store         *standin.Store
	storeProxies  []*Proxy // towards the store, by instance
	configVersion int
}

// A replica is a stand-in behind a proxy.
type replica struct {
	*standin.Endpoint

	addr          netip.AddrPort // of the proxy
	fault         faultSource
	drainingSince time.Time // zero while it stays
	proxy         *Proxy
	service       string
	zone          string
}

// Requests returns the number of requests that callers have sent.
func (s *Soak) Requests() int {
	s.recorder.mutex.Lock()
	defer s.recorder.mutex.Unlock()
	return len(s.recorder.outcomes)
}

// Run runs the soak and returns the violations. The error tells that the run
// itself failed.
func (s *Soak) Run(ctx context.Context) ([]Violation, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.random = rand.New(rand.NewPCG(s.Seed, 1))
	s.recorder.started = time.Now()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	defer s.stop()
	if err := s.awaitReady(startTimeout); err != nil {
		return nil, err
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	s.startCallers(callersCtx)
	s.injectFaults()
	s.endFaults()
	time.Sleep(recoveryTime)
	resumed := time.Now()
	s.checkConfig()
	s.checkLeaving()
	if answered, sent := s.recorder.countAnswered(resumed); float64(answered) < minAnsweredShare*float64(sent) || sent == 0 {
		s.recorder.addViolation(Resumed, "%d of %d requests are answered after the faults", answered, sent)
	}
	s.restartInOrder()
	stopCallers()
	s.group.Wait()
	time.Sleep(releaseTime)
	s.plantViolation()
	for _, r := range s.replicas {
		if held := r.Unreleased(); held > 0 {
			s.recorder.addViolation(Freed, "%s holds %d", r.ID, held)
		}
	}
	s.recorder.checkExecutions(s.executions())
	return s.recorder.violations, nil
}

// startCallers starts the callers.
func (s *Soak) startCallers(ctx context.Context) {
	for n, p := range s.processes {
		for k := range s.Callers {
			c := &caller{
				client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
				instance: n, name: fmt.Sprintf("c%d.%d", n, k), process: p,
				random: rand.New(rand.NewPCG(s.Seed, uint64(100+n*s.Callers+k))), recorder: &s.recorder,
			}
			s.group.Go(func() { c.run(ctx) })
		}
	}
}

// stop ends all processes that the soak started, and its listeners.
func (s *Soak) stop() {
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.wait(standin.GraceTime)
	}
	for _, p := range s.storeProxies {
		p.Close()
	}
	for _, r := range s.replicas {
		r.proxy.Close()
	}
}

// logf writes a line about the run.
func (s *Soak) logf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.Log, "%7.3fs %s\n", time.Since(s.recorder.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// start starts the stand-ins and the processes.
func (s *Soak) start(ctx context.Context) error {
	clock := &timer.System{}
	s.store = &standin.Store{Timer: clock}
	storeAddr, err := serve(ctx, s.store)
	if err != nil {
		return err
	}
	for n, stage := range []string{"", "", "", "prefill", "prefill", "decode", "decode", "decode"} {
		r := &replica{service: serviceBooks, zone: zone(n)}
		if stage != "" {
			r.service = serviceLLM
		}
		r.Endpoint = &standin.Endpoint{
			EndpointAt: s.endpointAt, EventInterval: 30 * time.Millisecond, Events: streamEvents, Fault: r.fault.next, ID: fmt.Sprintf("i-%d", n),
			Role: stage, RoleChanged: func() { s.putEndpoint(r) }, Slots: replicaSlots, Timer: clock, WorkTime: 15 * time.Millisecond,
		}
		r.fault.random = rand.New(rand.NewPCG(s.Seed, uint64(10+n)))
		addr, err := serve(ctx, r.Endpoint)
		if err != nil {
			return err
		}
		r.proxy = &Proxy{Server: addr}
		if r.addr, err = r.proxy.Listen(ctx); err != nil {
			return err
		}
		s.replicas = append(s.replicas, r)
		s.putEndpoint(r)
	}
	s.writeConfiguration()
	for n := range s.Instances {
		proxy := &Proxy{Server: storeAddr}
		store, err := proxy.Listen(ctx)
		if err != nil {
			return err
		}
		s.storeProxies = append(s.storeProxies, proxy)
		p := &process{Folder: s.Folder, Instance: standin.Instance{DataCentre: zone(n), Name: fmt.Sprintf("edge-%d", n), Store: store}, Program: s.Program}
		if p.Callers, err = s.freeAddr(ctx); err != nil {
			return err
		}
		if p.Health, err = s.freeAddr(ctx); err != nil {
			return err
		}
		s.processes = append(s.processes, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// endpointAt returns the replica endpointAt an address of the list.
func (s *Soak) endpointAt(addr string) *standin.Endpoint {
	for _, r := range s.replicas {
		if r.addr.String() == addr {
			return r.Endpoint
		}
	}
	return nil
}

// awaitReady waits until all instances are awaitReady.
func (s *Soak) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for n := 0; n < len(s.processes); {
		if standin.Ready(s.processes[n].Health) {
			n++
			continue
		}
		if time.Now().After(deadline) {
			return errors.Errorf("%s is not ready after %s", s.processes[n].Name, limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// executions returns how often each request has run on all replicas.
func (s *Soak) executions() map[string]int {
	runs := make(map[string]int)
	for _, r := range s.replicas {
		for id, n := range r.Executions() {
			runs[id] += n
		}
	}
	return runs
}

// freeAddr returns an address on the loopback interface that nothing listens on.
// Its port is below those that the system gives to outgoing connections, which
// could take it while the instance is down.
func (s *Soak) freeAddr(ctx context.Context) (netip.AddrPort, error) {
	const (
		first = 12000
		ports = 18000
		tries = 100
	)
	var c net.ListenConfig
	for range tries {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(first+rand.IntN(ports)))
		l, err := c.Listen(ctx, "tcp4", addr.String())
		if err != nil {
			continue // another program has it
		}
		if err := l.Close(); err != nil {
			return netip.AddrPort{}, errors.Wrap(err, "find port")
		}
		return addr, nil
	}
	return netip.AddrPort{}, errors.Errorf("no free port in %d tries", tries)
}

// serve serves a handler on the loopback interface until the soak ends.
func serve(ctx context.Context, h http.Handler) (netip.AddrPort, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // ends with the listener
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}
