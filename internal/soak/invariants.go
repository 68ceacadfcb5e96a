package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Promises that the soak checks.
const (
	AtMostOnce   Invariant = "at-most-once"  // a request that may not be repeated runs at most once
	ConfigForce  Invariant = "config"        // an accepted configuration is in force and never reverts
	Freed        Invariant = "freed"         // nothing is held on a replica after all callers are gone
	GracefulStop Invariant = "graceful-stop" // a planned stop cuts nothing and ends in time
	Leaving      Invariant = "leaving"       // a replica that is leaving gets no new work
	Resumed      Invariant = "resumed"       // service is back after the last fault
	TrueRefusal  Invariant = "true-refusal"  // a refusal that says not run is true
	WholeAnswer  Invariant = "whole-answer"  // a caller gets its own answer, whole and in order
)

// Invariants are all promises, sorted.
var Invariants = []Invariant{AtMostOnce, ConfigForce, Freed, GracefulStop, Leaving, Resumed, TrueRefusal, WholeAnswer}

// A Invariant is an invariant that callers and replicas can see.
type Invariant string

// A Violation is a promise that was broken.
type Violation struct {
	Elapsed   time.Duration // since the start
	Detail    string
	Invariant Invariant
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%7.3fs %s: %s", v.Elapsed.Seconds(), v.Invariant, v.Detail)
}

// An outcome is how one request ended for its caller.
type outcome struct {
	body         string
	incomplete   bool // the connection ended without a whole answer
	id           string
	instance     int
	kind         string
	disconnected bool // the caller gave up
	sent         time.Time
	status       int
	ended        time.Time
	wantBody     string // what a whole answer is
	otherID      string // identifier of another request in the answer
}

// A recorder collects what callers and replicas saw. It is safe for concurrent use.
type recorder struct {
	mutex      sync.Mutex
	outcomes   []outcome
	started    time.Time
	violations []Violation
}

// add keeps an outcome and checks what it alone shows.
func (r *recorder) add(o *outcome) {
	r.mutex.Lock()
	r.outcomes = append(r.outcomes, *o)
	r.mutex.Unlock()
	switch {
	case o.otherID != "":
		r.addViolation(WholeAnswer, "%s got the answer to %s", o.id, o.otherID)
	case o.status == http.StatusOK && !o.incomplete && o.body != o.wantBody:
		r.addViolation(WholeAnswer, "%s got %d bytes that look whole, of %d", o.id, len(o.body), len(o.wantBody))
	case o.status == http.StatusOK && (o.incomplete || o.disconnected) && (len(o.body) > len(o.wantBody) || o.wantBody[:len(o.body)] != o.body):
		r.addViolation(WholeAnswer, "%s got bytes that are not the start of its answer", o.id)
	}
}

// checkExecutions compares outcomes with what replicas ran.
func (r *recorder) checkExecutions(runs map[string]int) {
	r.mutex.Lock()
	outcomes := r.outcomes
	r.mutex.Unlock()
	for n := range outcomes {
		o := &outcomes[n]
		if o.kind != kindNonIdempotent && o.kind != kindStream {
			continue
		}
		ran := runs[o.id]
		if ran > 1 {
			r.addViolation(AtMostOnce, "%s ran %d times", o.id, ran)
		}
		refused := o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests
		if refused && ran > 0 {
			r.addViolation(TrueRefusal, "%s got %d and ran", o.id, o.status)
		}
	}
}

// checkGracefulStop checks that the planned stop of an instance cut nothing, given what
// replicas ran. Requests that crossed the end of a connection and were not passed
// on may be sent again by their callers.
func (r *recorder) checkGracefulStop(instance int, asked, ended time.Time, runs map[string]int) {
	r.mutex.Lock()
	outcomes := r.outcomes
	r.mutex.Unlock()
	for n := range outcomes {
		o := &outcomes[n]
		if o.instance != instance || o.disconnected || !o.incomplete || o.ended.Before(asked) || o.sent.After(ended) {
			continue
		}
		if o.status != 0 || runs[o.id] > 0 {
			r.addViolation(GracefulStop, "%s was cut by the stop of instance %d", o.id, instance)
		}
	}
}

// countAnswered returns how many requests sent after a moment were answered, and how
// many were sent.
func (r *recorder) countAnswered(after time.Time) (answered, sent int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for n := range r.outcomes {
		o := &r.outcomes[n]
		if o.sent.Before(after) {
			continue
		}
		sent++
		if o.status == http.StatusOK && !o.incomplete {
			answered++
		}
	}
	return answered, sent
}

// addViolation notes a violation.
func (r *recorder) addViolation(p Invariant, format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.violations = append(r.violations, Violation{
		Elapsed: time.Since(r.started), Detail: fmt.Sprintf(format, arguments...), Invariant: p,
	})
}
