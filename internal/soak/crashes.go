package soak

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart/platform/standin"
)

const (
	// partCrashes and requestCrashes are the numbers of crashes after which the
	// instances have to know which part of a prompt, or which request, crashes replicas.
	partCrashes    = 5
	requestCrashes = 3
	// contactTime is the time for which an instance and the store have to be without
	// faults before a bound on time applies, and the time left after the
	// crashes from which the instances have to know.
	contactTime = 4 * time.Second
	// maxLateCrashing is the highest number of requests that crash replicas and may
	// reach them after that.
	maxLateCrashing = 3
)

// A crashLog records crashes of one cause and the requests that cause them. Its exported
// field is set before use. It is safe for concurrent use.
type crashLog struct {
	Learned int // number of crashes after which the instances have to know the cause

	arrivals map[string]time.Time // last arrival at a replica, by request
	count    int                  // of the crashes
	learned  time.Time            // time of the crash with number Learned
	mutex    sync.Mutex
	open     bool // callers may send the requests
	pending  int  // requests that callers wait for
}

// addArrival records that a request reached a replica.
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
	if l.count++; l.count == l.Learned {
		l.learned = now
	}
}

// crashes returns the number of crashes.
func (l *crashLog) crashes() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.count
}

// begin reports whether a caller may send a request. The caller then
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
// after the crash with number Learned and after the end of the faults. It is zero if
// there were fewer crashes.
func (l *crashLog) late(faultsEnded time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.count < l.Learned {
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

// setOpen sets whether callers may send the requests, and returns the number
// of those that callers wait for.
func (l *crashLog) setOpen(open bool) (pending int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open = open
	return l.pending
}

// crashLogs returns the logs of both causes.
func (s *Soak) crashLogs() []*crashLog { return []*crashLog{&s.partCrashes, &s.requestCrashes} }

// recordArrivals returns a handler that records the requests of callers that reach a
// replica, checks their accounts, and passes all requests on to h.
func (s *Soak) recordArrivals(to *replica, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/persimmoncart/") {
			to.requests.Add(1)
			s.accounts.checkArrival(r.Header, time.Now())
			s.quotaLog.addArrival(r.Header, time.Now())
		}
		switch {
		case strings.Contains(r.Header.Get("X-Prefix-Hash"), crashPart+":"):
			s.partCrashes.addArrival(standin.RequestID(r.Header), time.Now())
		case r.URL.Path == crashPath:
			s.requestCrashes.addArrival(standin.RequestID(r.Header), time.Now())
		}
		h.ServeHTTP(w, r)
	})
}

// endCrashes ends the requests that crash replicas, and waits until these are back, so
// that they break no other request while instances stop.
func (s *Soak) endCrashes() {
	for _, l := range s.crashLogs() {
		for l.setOpen(false) > 0 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	s.restarts.Wait()
}

// checkCrashes checks that requests that crash replicas no longer reach these once the
// instances have to know of it. The time of the faults is left out: hardly an instance
// is without a fault of its own or of the store for contactTime.
func (s *Soak) checkCrashes(faultsEnded time.Time) {
	if s.Violate == CrashesBounded {
		for range s.partCrashes.Learned {
			s.partCrashes.addCrash(faultsEnded)
		}
		for _, id := range []string{"planted-1", "planted-2", "planted-3", "planted-4"} {
			s.partCrashes.addArrival(id, time.Now())
		}
	}
	for _, l := range s.crashLogs() {
		if n := l.late(faultsEnded); n > maxLateCrashing {
			s.recorder.addViolation(CrashesBounded, "%d requests that crash replicas reached these later than %s after crash %d", n, contactTime, l.Learned)
		}
	}
}
