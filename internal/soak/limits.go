package soak

import (
	"strconv"
	"time"
)

const (
	// limitedRequests is the limit that some replicas state after the faults, requests a
	// second.
	limitedRequests = 10
	// limitWindow is the time over which the requests to a limited replica are counted.
	limitWindow = 4 * time.Second
	// maxLimitedArrivals is the highest number of requests that may reach a limited
	// replica within limitWindow: half as many again as its limit allows, and five more.
	maxLimitedArrivals = int(1.5*limitedRequests*limitWindow/time.Second) + 5
	// arrivalPeriod is the time between two reads of the number of arrivals.
	arrivalPeriod = 100 * time.Millisecond
)

// watchLimits has an application endpoint and a decode engine state a limit, and checks
// that they get no more requests than it allows from contactTime on. The limits end with
// the function that it returns.
func (s *Soak) watchLimits() (end func()) {
	ended, done := make(chan struct{}), make(chan struct{})
	limited := []*replicaProcess{s.replicas[0].running(), s.replicas[len(s.replicas)-1].running()}
	for _, p := range limited {
		p.SetLimit(strconv.Itoa(limitedRequests))
		s.logf("%s states a limit of %d requests a second", p.ID, limitedRequests)
	}
	go func() {
		defer close(done)
		time.Sleep(contactTime)
		s.countLimited(limited, ended)
		for _, p := range limited {
			p.SetLimit("")
		}
	}()
	return func() {
		close(ended)
		<-done
	}
}

// countLimited counts the arrivals at replicas until ended is closed, and records a
// violation for each that gets more than maxLimitedArrivals within limitWindow.
func (s *Soak) countLimited(limited []*replicaProcess, ended <-chan struct{}) {
	arrivals := make([][]int, len(limited))
	for {
		select {
		case <-ended:
			for n, p := range limited {
				if most := mostWithin(arrivals[n], int(limitWindow/arrivalPeriod)); most > maxLimitedArrivals || s.Violate == Limited {
					s.recorder.addViolation(Limited, "%s got %d requests in %s, %d are allowed", p.ID, most, limitWindow, maxLimitedArrivals)
				}
			}
			return
		case <-time.After(arrivalPeriod):
			for n, p := range limited {
				arrivals[n] = append(arrivals[n], p.Arrivals())
			}
		}
	}
}

// mostWithin returns the largest growth of a counter over the given number of reads.
func mostWithin(counts []int, reads int) int {
	most := 0
	for n, count := range counts {
		most = max(most, count-counts[max(0, n-reads)])
	}
	return most
}
