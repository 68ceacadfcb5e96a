package soak

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart/platform/standin"
)

const (
	// quotaWindow is the window of bounds.quota-window-s, and quotaOverage the share by
	// which an account may exceed its limit within it.
	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
	// streamTokens is what the stream of a caller takes of its account's limit.
	streamTokens = 2800
	// bulkRate and bulkBurst are the limit of accountBulk, tokens: two streams a second.
	bulkRate  = 2 * streamTokens
	bulkBurst = 2 * streamTokens
	// steadyRate and steadyBurst are the limit of accountSteady, twenty streams a second, of
	// which its only caller at each instance asks for two at most.
	steadyRate  = 20 * streamTokens
	steadyBurst = 40 * streamTokens
	// bulkCallers is the number of callers of accountBulk at each instance, and
	// meanBulkInterval the mean pause of each.
	bulkCallers      = 3
	meanBulkInterval = 150 * time.Millisecond
	// meanSteadyInterval is the mean pause of the caller of accountSteady.
	meanSteadyInterval = time.Second
)

// A quotaLog records the streams of accountBulk. It is safe for concurrent use.
type quotaLog struct {
	arrivals map[string]time.Time // last one at an engine for decode, by identifier
	mutex    sync.Mutex
}

// addArrival records a request that reaches a replica, if accountBulk sent it.
func (l *quotaLog) addArrival(header http.Header, now time.Time) {
	if header.Get("X-Tenant") != accountBulk || header.Get("X-Stage") == "prefill" {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.arrivals == nil {
		l.arrivals = make(map[string]time.Time)
	}
	l.arrivals[standin.RequestID(header)] = now
}

// most returns the highest number of tokens of streams that ran within a window.
func (l *quotaLog) most(executions map[string]int) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var ran []time.Time
	for id, at := range l.arrivals {
		if executions[id] > 0 {
			ran = append(ran, at)
		}
	}
	slices.SortFunc(ran, time.Time.Compare)
	most, first := 0, 0
	for n, at := range ran {
		for at.Sub(ran[first]) >= quotaWindow {
			first++
		}
		most = max(most, n-first+1)
	}
	return most * streamTokens
}

// maxBulkTokens returns the highest number of tokens that accountBulk may use within a
// window: its limit with quotaOverage, one second of its rate, and a stream for each
// instance.
func maxBulkTokens(instances int) int {
	return int((bulkRate*quotaWindow.Seconds()+bulkBurst)*(1+quotaOverage)) + bulkRate + instances*streamTokens
}

// MostBulkTokens returns the highest number of tokens that accountBulk used within a window,
// and the number that its limit allows.
func (s *Soak) MostBulkTokens() (most, allowed int) {
	return s.quotaLog.most(s.executions()), maxBulkTokens(s.Instances)
}

// checkQuota checks that accountBulk did not exceed its limit, and that no other account was
// refused by its own.
func (s *Soak) checkQuota() {
	if !s.Quotas && s.Violate != QuotaHeld {
		return
	}
	most, allowed := s.MostBulkTokens()
	if most > allowed {
		s.recorder.addViolation(QuotaHeld, "%s used %d tokens in %s, %d are allowed", accountBulk, most, quotaWindow, allowed)
	}
	for n := range s.recorder.outcomes {
		if o := &s.recorder.outcomes[n]; o.status == http.StatusTooManyRequests && o.key != keyBulk {
			s.recorder.addViolation(QuotaHeld, "%s with %q was refused with status %d, the account is below its limit", o.id, o.key, o.status)
		}
	}
}
