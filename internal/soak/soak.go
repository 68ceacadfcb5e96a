// Package soak runs the real program as separate processes against stand-ins of the
// platform, injects faults from outside the processes, and checks invariants that
// callers and replicas observe.
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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/platform/standin"
)

const (
	// startTimeout is the longest time until all instances are ready.
	startTimeout = 10 * time.Second
	// recoveryTime is the time after the last fault from which invariants with a time
	// limit are checked.
	recoveryTime = 6 * time.Second
	// drainTime is the longest time for which a draining replica may get new requests.
	drainTime = 2500 * time.Millisecond
	// configApplyTime is the longest time until a change of the configuration is in
	// force.
	configApplyTime = 2500 * time.Millisecond
	// limitsTime is the time for which limits of replicas are counted after the drain.
	limitsTime = 6 * time.Second
	// releaseTime is the longest time after the last request for which replicas may
	// hold reservations.
	releaseTime = 3 * time.Second
	// minAnsweredShare is the share of requests that have to be answered after the
	// faults.
	minAnsweredShare = 0.7
)

// Names of the pools.
const (
	serviceBooks = "books"
	serviceLLM   = "llm"
)

// zone returns the zone of the n-th instance or replica, one of three in turn.
func zone(n int) string { return fmt.Sprintf("z%d", n%3) }

// A Soak is one run. Its exported fields are set before Run.
type Soak struct {
	Callers       int // of each instance
	FaultDuration time.Duration
	Folder        string // for settings and logs
	Instances     int
	Log           io.Writer // of faults and checks
	Program       string    // path of the real program
	Quotas        bool      // limits of accounts are enforced and checked
	Seed          uint64
	Violate       Invariant // violated on purpose; empty for none

	accounts       accountLog
	configVersion  int
	group          sync.WaitGroup // of the callers
	logMutex       sync.Mutex
	partCrashes    crashLog // under a part of a prompt
	probes         int      // number of probes sent
	processes      []*process
	quotaLog       quotaLog
	random         *rand.Rand
	recorder       recorder
	replicas       []*replica
	requestCrashes crashLog       // under a plain request
	restarts       sync.WaitGroup // of replicas that crashed
	store          *standin.Store
	storeProxies   []*Proxy    // between each instance and the store
	resuming       atomic.Bool // callers resume broken streams
}

// Requests returns the number of requests that have ended.
func (s *Soak) Requests() int {
	s.recorder.mutex.Lock()
	defer s.recorder.mutex.Unlock()
	return len(s.recorder.outcomes)
}

// ResumedStreams returns the number of streams that callers have resumed, and of those that were
// then complete.
func (s *Soak) ResumedStreams() (resumptions, completed int) {
	s.recorder.mutex.Lock()
	defer s.recorder.mutex.Unlock()
	for n := range s.recorder.outcomes {
		if o := &s.recorder.outcomes[n]; o.resumptions > 0 {
			resumptions++
			if !o.incomplete {
				completed++
			}
		}
	}
	return resumptions, completed
}

// Run runs the soak and returns the violations. It returns an error if the processes
// or stand-ins do not start.
func (s *Soak) Run(ctx context.Context) ([]Violation, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.random = rand.New(rand.NewPCG(s.Seed, 1))
	s.accounts.recorder, s.recorder.started = &s.recorder, time.Now()
	s.partCrashes.Learned, s.requestCrashes.Learned = partCrashes, requestCrashes
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	defer s.stop()
	if err := s.awaitReady(startTimeout); err != nil {
		return nil, err
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	s.resuming.Store(true)
	s.startCallers(callersCtx)
	s.startSlowCallers(callersCtx)
	endSlowdown := s.startSlowdown(ctx)
	endReleases := s.startReleases(ctx)
	s.injectFaults()
	s.endFaults()
	endReleases()
	endSlowdown()
	lastFault := time.Now()
	time.Sleep(recoveryTime)
	faultsEnded := time.Now()
	time.Sleep(contactTime)
	s.endCrashes() // before limits and a drain take further replicas away
	s.checkCrashes(lastFault)
	endLimits := s.watchLimits()
	checkRecovered := s.watchRecovered()
	s.checkConfig()
	s.checkLeaving()
	time.Sleep(limitsTime)
	endLimits()
	if answered, sent := s.recorder.countAnswered(faultsEnded); float64(answered) < minAnsweredShare*float64(sent) || sent == 0 {
		s.recorder.addViolation(Resumed, "%d of %d requests were answered after the faults", answered, sent)
	}
	s.resuming.Store(false) // a stream that a stop breaks must show
	s.restartInOrder()
	checkRecovered()
	stopCallers()
	s.group.Wait()
	time.Sleep(releaseTime)
	s.plantViolation()
	for _, r := range s.replicas {
		if held := r.running().Unreleased(); held > 0 {
			s.recorder.addViolation(Freed, "%s still holds %d reservations", r.running().ID, held)
		}
	}
	s.recorder.checkExecutions(s.executions())
	s.checkQuota()
	for _, p := range s.processes {
		if n := p.failures(); n > 0 {
			s.recorder.addViolation(Alive, "%s ended %d times without a signal", p.Name, n)
		}
	}
	return s.recorder.violations, nil
}

// startCallers starts the callers of all instances, which run until ctx is done.
func (s *Soak) startCallers(ctx context.Context) {
	for n, p := range s.processes {
		for k := range s.Callers {
			s.startCaller(ctx, uint64(100+n*s.Callers+k), &caller{instance: n, interval: meanRequestInterval, name: fmt.Sprintf("c%d.%d", n, k), process: p})
		}
		if !s.Quotas {
			continue
		}
		for k := range bulkCallers {
			s.startCaller(ctx, uint64(2000+n*bulkCallers+k), &caller{instance: n, interval: meanBulkInterval, key: keyBulk, kind: kindStream, name: fmt.Sprintf("bulk%d.%d", n, k), process: p})
		}
		s.startCaller(ctx, uint64(3000+n), &caller{instance: n, interval: meanSteadyInterval, key: keySteady, kind: kindStream, name: fmt.Sprintf("steady%d", n), process: p})
	}
}

// startCaller starts a caller.
func (s *Soak) startCaller(ctx context.Context, stream uint64, c *caller) {
	c.accounts, c.client, c.firstEvent = &s.accounts, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}, s.firstEvent()
	c.others, c.partCrashes, c.random, c.recorder = s.processes, &s.partCrashes, rand.New(rand.NewPCG(s.Seed, stream)), &s.recorder
	c.requestCrashes, c.resuming, c.sentEndless = &s.requestCrashes, &s.resuming, s.sentEndless
	s.group.Go(func() { c.run(ctx) })
}

// stop kills all processes that the soak started and closes its proxies.
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
		r.running().proxy.Close()
	}
}

// logf writes one line to Log, with the time since the start of the run.
func (s *Soak) logf(format string, arguments ...any) {
	s.logMutex.Lock()
	defer s.logMutex.Unlock()
	_, _ = fmt.Fprintf(s.Log, "%7.3fs %s\n", time.Since(s.recorder.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// start starts the stand-ins, the proxies and the processes.
func (s *Soak) start(ctx context.Context) error {
	s.store = &standin.Store{Timer: &timer.System{}}
	storeAddr, err := serve(ctx, s.store)
	if err != nil {
		return err
	}
	if err := s.startReplicas(ctx); err != nil {
		return err
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
		if s.Quotas {
			if p.Internal, err = s.freeAddr(ctx); err != nil {
				return err
			}
		}
		s.processes = append(s.processes, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all instances are ready, and returns an error after limit.
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

// freeAddr returns a free address on the loopback interface. Its port is below the
// range of ephemeral ports: another program's outgoing connection could take one of
// those while the instance is down.
func (s *Soak) freeAddr(ctx context.Context) (netip.AddrPort, error) {
	const (
		firstPort = 12000
		portCount = 18000
		maxTries  = 100
	)
	var c net.ListenConfig
	for range maxTries {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+rand.IntN(portCount)))
		l, err := c.Listen(ctx, "tcp4", addr.String())
		if err != nil {
			continue // the port is in use
		}
		if err := l.Close(); err != nil {
			return netip.AddrPort{}, errors.Wrap(err, "find port")
		}
		return addr, nil
	}
	return netip.AddrPort{}, errors.Errorf("no free port in %d tries", maxTries)
}

// serve serves a handler on a free port of the loopback interface until ctx is done,
// and returns its address.
func serve(ctx context.Context, h http.Handler) (netip.AddrPort, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen")
	}
	server := &http.Server{ConnContext: standin.ConnContext, Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // returns when the server is closed
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}
