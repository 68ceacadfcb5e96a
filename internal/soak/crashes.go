package soak

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart/platform/standin"
)

const (
	// crashesToLearn is the number of crashes after which the instances have to know
	// which part of a prompt crashes engines.
	crashesToLearn = 5
	// contactTime is the time for which an instance and the store have to be without
	// faults before a bound on time applies, and the time left after the last of
	// crashesToLearn.
	contactTime = 4 * time.Second
	// maxLateCrashing is the highest number of requests with crashPart that may reach
	// replicas after that.
	maxLateCrashing = 3
)

// A crashLog records crashes and the requests with crashPart. It is safe for
// concurrent use.
type crashLog struct {
	arrivals map[string]time.Time // last arrival at a replica, by request
	count    int                  // of the crashes
	learned  time.Time            // time of the last crash of crashesToLearn
	mutex    sync.Mutex
	open     bool // callers may send requests with crashPart
	pending  int  // requests with crashPart that callers wait for
}

// addArrival records that a request with crashPart reached a replica.
func (l *crashLog) addArrival(id string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.arrivals == nil {
		l.arrivals = make(map[string]time.Time)
	}
	l.arrivals[id] = now
}

// addCrash records a crash.
func (l *crashLog) addCrash(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.count++; l.count == crashesToLearn {
		l.learned = now
	}
}

// begin reports whether a caller may send a request with crashPart. The caller then
// calls end after the response.
func (l *crashLog) begin() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.open {
		l.pending++
	}
	return l.open
}

// end ends a request of begin.
func (l *crashLog) end() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pending--
}

// late returns the number of requests that reached replicas later than contactTime
// after the last of crashesToLearn and after the end of the faults. It is zero if
// there were fewer crashes.
func (l *crashLog) late(faultsEnded time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.count < crashesToLearn {
		return 0
	}
	bound := faultsEnded
	if l.learned.After(bound) {
		bound = l.learned
	}
	n := 0
	for _, at := range l.arrivals {
		if at.After(bound.Add(contactTime)) {
			n++
		}
	}
	return n
}

// setOpen sets whether callers may send requests with crashPart, and returns the number
// of those that callers wait for.
func (l *crashLog) setOpen(open bool) (pending int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open = open
	return l.pending
}

// record returns a handler that records arrivals and passes all requests on to h.
func (l *crashLog) record(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.Header.Get("X-Prefix-Hash"), crashPart+":") {
			l.addArrival(standin.RequestID(r.Header), time.Now())
		}
		h.ServeHTTP(w, r)
	})
}

// endCrashes ends the requests with crashPart, and waits until their replicas are back,
// so that they break no other request while instances stop.
func (s *Soak) endCrashes() {
	for s.crashes.setOpen(false) > 0 {
		time.Sleep(20 * time.Millisecond)
	}
	s.restarts.Wait()
}

// checkCrashes checks that requests with crashPart no longer reach replicas once the
// instances have to know of it. The time of the faults is left out: hardly an instance
// is without a fault of its own or of the store for contactTime.
func (s *Soak) checkCrashes(faultsEnded time.Time) {
	if s.Violate == CrashesBounded {
		for range crashesToLearn {
			s.crashes.addCrash(faultsEnded)
		}
		for _, id := range []string{"planted-1", "planted-2", "planted-3", "planted-4"} {
			s.crashes.addArrival(id, time.Now())
		}
	}
	if n := s.crashes.late(faultsEnded); n > maxLateCrashing {
		s.recorder.addViolation(CrashesBounded, "%d requests that crash engines reached replicas later than %s after the fifth crash", n, contactTime)
	}
}
