package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Promises that the soak checks.
const (
	AtMostOnce   Promise = "at-most-once"  // a request that may not be repeated runs at most once
	ConfigForce  Promise = "config"        // an accepted configuration is in force and never reverts
	Freed        Promise = "freed"         // nothing is held on a replica after all callers are gone
	GracefulStop Promise = "graceful-stop" // a planned stop cuts nothing and ends in time
	Leaving      Promise = "leaving"       // a replica that is leaving gets no new work
	Resumed      Promise = "resumed"       // service is back after the last fault
	TrueRefusal  Promise = "true-refusal"  // a refusal that says not run is true
	WholeAnswer  Promise = "whole-answer"  // a caller gets its own answer, whole and in order
)

// Promises are all promises, sorted.
var Promises = []Promise{AtMostOnce, ConfigForce, Freed, GracefulStop, Leaving, Resumed, TrueRefusal, WholeAnswer}

// A Promise is an invariant that callers and replicas can see.
type Promise string

// A Violation is a promise that was broken.
type Violation struct {
	At      time.Duration // since the start
	Detail  string
	Promise Promise
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%7.3fs %s: %s", v.At.Seconds(), v.Promise, v.Detail)
}

// An outcome is how one request ended for its caller.
type outcome struct {
	body      string
	closed    bool // the connection ended without a whole answer
	id        string
	instance  int
	kind      string
	left      bool // the caller gave up
	sent      time.Time
	status    int
	ended     time.Time
	whole     string // what a whole answer is
	wrongFrom string // identifier of another request in the answer
}

// A record collects what callers and replicas saw. It is safe for concurrent use.
type record struct {
	mutex      sync.Mutex
	outcomes   []outcome
	started    time.Time
	violations []Violation
}

// add keeps an outcome and checks what it alone shows.
func (r *record) add(o *outcome) {
	r.mutex.Lock()
	r.outcomes = append(r.outcomes, *o)
	r.mutex.Unlock()
	switch {
	case o.wrongFrom != "":
		r.violate(WholeAnswer, "%s got the answer to %s", o.id, o.wrongFrom)
	case o.status == http.StatusOK && !o.closed && o.body != o.whole:
		r.violate(WholeAnswer, "%s got %d bytes that look whole, of %d", o.id, len(o.body), len(o.whole))
	case o.status == http.StatusOK && (o.closed || o.left) && (len(o.body) > len(o.whole) || o.whole[:len(o.body)] != o.body):
		r.violate(WholeAnswer, "%s got bytes that are not the start of its answer", o.id)
	}
}

// checkRuns compares outcomes with what replicas ran.
func (r *record) checkRuns(runs map[string]int) {
	r.mutex.Lock()
	outcomes := r.outcomes
	r.mutex.Unlock()
	for n := range outcomes {
		o := &outcomes[n]
		if o.kind != kindPay && o.kind != kindCert {
			continue
		}
		ran := runs[o.id]
		if ran > 1 {
			r.violate(AtMostOnce, "%s ran %d times", o.id, ran)
		}
		refused := o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests
		if refused && ran > 0 {
			r.violate(TrueRefusal, "%s got %d and ran", o.id, o.status)
		}
	}
}

// checkStop checks that the planned stop of an instance cut nothing, given what
// replicas ran. Requests that crossed the end of a connection and were not passed
// on may be sent again by their callers.
func (r *record) checkStop(instance int, asked, ended time.Time, runs map[string]int) {
	r.mutex.Lock()
	outcomes := r.outcomes
	r.mutex.Unlock()
	for n := range outcomes {
		o := &outcomes[n]
		if o.instance != instance || o.left || !o.closed || o.ended.Before(asked) || o.sent.After(ended) {
			continue
		}
		if o.status != 0 || runs[o.id] > 0 {
			r.violate(GracefulStop, "%s was cut by the stop of instance %d", o.id, instance)
		}
	}
}

// served returns how many requests sent after a moment were answered, and how
// many were sent.
func (r *record) served(after time.Time) (answered, sent int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for n := range r.outcomes {
		o := &r.outcomes[n]
		if o.sent.Before(after) {
			continue
		}
		sent++
		if o.status == http.StatusOK && !o.closed {
			answered++
		}
	}
	return answered, sent
}

// violate notes a violation.
func (r *record) violate(p Promise, format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.violations = append(r.violations, Violation{
		At: time.Since(r.started), Detail: fmt.Sprintf(format, arguments...), Promise: p,
	})
}
