package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/platform/standin"
)

const (
	// crashDownTime is the time for which a replica that crashed is down.
	crashDownTime = 2 * time.Second
	// crashBody and crashPath are the body and the path of the request under which
	// application endpoints crash.
	crashBody = "crash"
	crashPath = "/" + kindIdempotent + "/crash"
	// crashPart is the part of a prompt under which the engines crash.
	crashPart = "bad0"
	// firstSoftware is the version of the replicas' software.
	firstSoftware = "v1"
	// replicaSlots is the number of requests that a replica runs at the same time.
	replicaSlots = 16
)

// A replica is an endpoint of the soak. After a crash another process takes its
// place.
type replica struct {
	drainingSince time.Time // zero while it is not draining
	fault         faultSource
	number        int
	requests      atomic.Int64 // of callers, at all processes
	service       string       // name of its pool
	zone          string

	mutex     sync.Mutex
	processes []*replicaProcess // the last one is running
	software  string            // version of the next process
}

// A replicaProcess is one process of a replica, behind a proxy.
type replicaProcess struct {
	*standin.Endpoint

	addr  netip.AddrPort // of the proxy
	proxy *Proxy
}

// add makes a process the running one.
func (r *replica) add(p *replicaProcess) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.processes = append(r.processes, p)
}

// all returns the processes, the running one last.
func (r *replica) all() []*replicaProcess {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.processes
}

// setSoftware sets the version of the next process.
func (r *replica) setSoftware(version string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.software = version
}

// nextSoftware returns the version of the next process.
func (r *replica) nextSoftware() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.software
}

// running returns the running process, or the one that crashed while it is down.
func (r *replica) running() *replicaProcess {
	all := r.all()
	return all[len(all)-1]
}

// Crashes returns the number of replicas' processes that crashed.
func (s *Soak) Crashes() int {
	n := 0
	for _, l := range s.crashLogs() {
		n += l.crashes()
	}
	return n
}

// endpointAt returns the stand-in of the replica whose proxy has the given address,
// or nil.
func (s *Soak) endpointAt(addr string) *standin.Endpoint {
	for _, r := range s.replicas {
		if p := r.running(); p.addr.String() == addr {
			return p.Endpoint
		}
	}
	return nil
}

// executions returns the number of executions of each request on all replicas.
func (s *Soak) executions() map[string]int {
	executions := make(map[string]int)
	for _, r := range s.replicas {
		for _, p := range r.all() {
			for id, n := range p.Executions() {
				executions[id] += n
			}
		}
	}
	return executions
}

// sentEndless reports whether a replica has sent an endless body to a request.
func (s *Soak) sentEndless(id string) bool {
	for _, r := range s.replicas {
		for _, p := range r.all() {
			if p.SentEndless(id) {
				return true
			}
		}
	}
	return false
}

// handleCrash closes the connections of a process that crashed, so that others are
// refused, and starts another one after crashDownTime.
func (s *Soak) handleCrash(ctx context.Context, r *replica, p *replicaProcess) {
	crashes := &s.requestCrashes
	if r.service == serviceLLM {
		crashes = &s.partCrashes
	}
	crashes.addCrash(time.Now())
	p.proxy.Close()
	s.logf("%s crashes", p.ID)
	if p != r.running() {
		s.store.Delete("servers", p.ID) // a release has replaced it
		return
	}
	s.restarts.Go(func() {
		if (&timer.System{}).Sleep(ctx, crashDownTime) != nil {
			return // the soak ends
		}
		s.store.Delete("servers", p.ID)
		if err := s.startReplica(ctx, r, p.CurrentRole()); err != nil {
			s.logf("%s does not start again: %v", p.ID, err)
			return
		}
		s.logf("%s is back as %s", p.ID, r.running().ID)
	})
}

// putEndpoint writes the record of a replica's running process to the store.
func (s *Soak) putEndpoint(r *replica) {
	p := r.running()
	s.store.PutEndpoint(&standin.EndpointRecord{
		Addr: p.addr, Born: p.Born, DataCentre: r.zone, Draining: !r.drainingSince.IsZero(), ID: p.ID, Pool: r.service, Role: p.CurrentRole(), Slots: replicaSlots,
		Software: p.Software,
	})
}

// startReplica starts a process of a replica and writes its record. The process has
// another identifier, address and start time than those before it.
func (s *Soak) startReplica(ctx context.Context, r *replica, role string) error {
	p := &replicaProcess{}
	p.Endpoint = &standin.Endpoint{
		Born: time.Now(), CrashBody: crashBody, CrashPart: crashPart, EndpointAt: s.endpointAt,
		EventInterval: eventInterval, EventsOf: eventsOf, Fault: r.fault.next, FromZero: s.firstEvent() == 0, ID: fmt.Sprintf("i-%d", r.number),
		OnCrash: func() { s.handleCrash(ctx, r, p) }, Role: role, RoleChanged: func() { s.putEndpoint(r) },
		Slots: replicaSlots, Software: r.nextSoftware(), StateSoftware: true, Timer: &timer.System{}, WorkTime: workTime(r.number),
	}
	if n := len(r.all()); n > 0 {
		p.ID = fmt.Sprintf("i-%d-%d", r.number, n)
	}
	addr, err := serve(ctx, s.recordArrivals(r, p.Endpoint))
	if err != nil {
		return err
	}
	p.proxy = &Proxy{Server: addr}
	if p.addr, err = p.proxy.Listen(ctx); err != nil {
		return err
	}
	r.add(p)
	s.putEndpoint(r)
	return nil
}

// firstEvent returns the number of the first event of each stream: engines count from
// zero in every other run.
func (s *Soak) firstEvent() int { return int((s.Seed + 1) % 2) }

// startReplicas starts the replicas: three application endpoints, two engines for
// prefill and three for decode.
func (s *Soak) startReplicas(ctx context.Context) error {
	for n, role := range []string{"", "", "", "prefill", "prefill", "decode", "decode", "decode"} {
		r := &replica{number: n, service: serviceBooks, software: firstSoftware, zone: zone(n)}
		if role != "" {
			r.service = serviceLLM
		}
		r.fault.random = rand.New(rand.NewPCG(s.Seed, uint64(10+n)))
		s.replicas = append(s.replicas, r)
		if err := s.startReplica(ctx, r, role); err != nil {
			return err
		}
	}
	return nil
}
