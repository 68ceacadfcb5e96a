package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart/platform/standin"
)

// excusedSendTime is the time after the signal to stop until which a request may be sent
// that the end of the grace time then cuts.
const excusedSendTime = 3 * time.Second

// Invariants that the soak checks.
const (
	Alive          Invariant = "alive"           // a process ends only after a signal
	AtMostOnce     Invariant = "at-most-once"    // a request that may not be repeated runs at most once
	ConfigInForce  Invariant = "config"          // an accepted configuration is in force in time and never reverts to the one before
	CrashesBounded Invariant = "crashes-bounded" // requests that crash replicas run no more often than their route allows, and no longer reach replicas once the cause has to be known
	Freed          Invariant = "freed"           // replicas hold no reservations after all callers have ended
	GracefulStop   Invariant = "graceful-stop"   // a graceful stop interrupts no request and ends in time
	KeysHeld       Invariant = "keys"            // requests run only for the account that holds their key, and replicas get no key
	Leaving        Invariant = "leaving"         // a drained replica gets no new requests
	Limited        Invariant = "limited"         // replicas get no more requests than the limits that they state allow
	OneSoftware    Invariant = "one-software"    // a stream has events of one version of the replicas' software, also over the attempts of its caller
	QuotaHeld      Invariant = "quota"           // an account uses no more than its limit allows, and is not refused below it
	Recovered      Invariant = "recovered"       // a replica that was slow gets requests again
	Resumed        Invariant = "resumed"         // requests are answered again after the last fault
	TrueRefusal    Invariant = "true-refusal"    // a request that was refused as not run never runs
	WholeAnswer    Invariant = "whole-answer"    // a caller gets the response to its own request, complete and in order
)

// Invariants lists all invariants, sorted.
var Invariants = []Invariant{Alive, AtMostOnce, ConfigInForce, CrashesBounded, Freed, GracefulStop, KeysHeld, Leaving, Limited, OneSoftware, QuotaHeld, Recovered, Resumed, TrueRefusal, WholeAnswer}

// An Invariant is the name of a property that callers and replicas can observe.
type Invariant string

// A Violation is one observed violation of an invariant.
type Violation struct {
	Detail    string
	Elapsed   time.Duration // since the start of the run
	Invariant Invariant
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%7.3fs %s: %s", v.Elapsed.Seconds(), v.Invariant, v.Detail)
}

// An outcome is the result of one request, as its caller saw it.
type outcome struct {
	body         string // bytes received
	crashes      bool   // it crashes replicas: no response is expected
	disconnected bool   // the caller cancelled the request
	ended        time.Time
	id           string
	incomplete   bool // the connection ended before the end of the response
	instance     int
	key          string
	kind         string
	otherID      string // ID of another request, to which the response belongs
	sent         time.Time
	software     []string // versions of the replicas that wrote the events of a stream, in their order
	spare        bool     // it may be refused: its key or its account's limit does not allow it, or may not
	status       int      // 0 if no response was received
	resumptions  int      // attempts to resume the stream
	wantBody     string   // complete and correct response body
}

// outlasts reports whether a request is a stream that was sent up to excusedSendTime after
// the signal to stop, and whose replica still writes it in the last sixth of the grace time.
func (o *outcome) outlasts(signalled time.Time) bool {
	if o.kind != kindStream && o.kind != kindResumable {
		return false
	}
	sent := o.sent.Sub(signalled)
	written := sent + time.Duration(eventsOf(o.id))*eventInterval
	return sent <= excusedSendTime && written >= standin.GraceTime*5/6
}

// A recorder collects the outcomes of requests and the violations of a run. It is
// safe for concurrent use.
type recorder struct {
	mutex      sync.Mutex
	outcomes   []outcome
	started    time.Time
	violations []Violation
}

// add records an outcome and checks the invariants that it alone can violate.
func (r *recorder) add(o *outcome) {
	r.mutex.Lock()
	r.outcomes = append(r.outcomes, *o)
	r.mutex.Unlock()
	if versions := slices.Compact(slices.Clone(o.software)); len(versions) > 1 {
		r.addViolation(OneSoftware, "%s has events of %v, resumed %d times", o.id, versions, o.resumptions)
	}
	switch {
	case o.otherID != "":
		r.addViolation(WholeAnswer, "%s got the response to %s", o.id, o.otherID)
	case o.status == http.StatusOK && !o.incomplete && o.body != o.wantBody:
		r.addViolation(WholeAnswer, "%s got a complete response that differs: %s", o.id, describeDifference(o.body, o.wantBody))
	case o.status == http.StatusOK && (o.incomplete || o.disconnected) && (len(o.body) > len(o.wantBody) || o.wantBody[:len(o.body)] != o.body):
		r.addViolation(WholeAnswer, "%s got bytes that are not a prefix of its response: %s", o.id, describeDifference(o.body, o.wantBody))
	}
}

// describeDifference returns where the bytes of a response begin to differ from those
// expected, and what stands there. Responses contain the identifier of their request, so
// that it shows whose bytes they are.
func describeDifference(got, want string) string {
	const excerpt = 200
	offset := 0
	for offset < len(got) && offset < len(want) && got[offset] == want[offset] {
		offset++
	}
	return fmt.Sprintf("%d bytes of %d, from offset %d %q in place of %q",
		len(got), len(want), offset, got[offset:min(len(got), offset+excerpt)], want[offset:min(len(want), offset+excerpt)])
}

// checkExecutions compares outcomes with the number of executions of each request on
// the replicas.
func (r *recorder) checkExecutions(executions map[string]int) {
	r.mutex.Lock()
	outcomes := r.outcomes
	r.mutex.Unlock()
	for n := range outcomes {
		o := &outcomes[n]
		once := o.kind == kindNonIdempotent || o.kind == kindStream
		if !once && !o.crashes {
			continue
		}
		count := executions[o.id]
		switch {
		case once && count > 1:
			r.addViolation(AtMostOnce, "%s ran %d times", o.id, count)
		case o.crashes && count > maxAttempts:
			r.addViolation(CrashesBounded, "%s crashed replicas and ran %d times, the route allows %d", o.id, count, maxAttempts)
		}
		refused := o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests || o.status == http.StatusUnauthorized
		if refused && count > 0 {
			r.addViolation(TrueRefusal, "%s was refused with status %d but ran", o.id, o.status)
		}
	}
}

// checkGracefulStop checks that the graceful stop of an instance interrupted no
// request that was passed on to a replica, given the number of executions of each
// request. Streams that outlast the stop are excused. A request that reached the
// connection as it closed, and was not passed on, may be sent again by its caller.
func (r *recorder) checkGracefulStop(instance int, signalled, ended time.Time, executions map[string]int) {
	r.mutex.Lock()
	outcomes := r.outcomes
	r.mutex.Unlock()
	for n := range outcomes {
		o := &outcomes[n]
		if o.instance != instance || o.disconnected || !o.incomplete || o.ended.Before(signalled) || o.sent.After(ended) {
			continue
		}
		if o.outlasts(signalled) {
			continue
		}
		if o.status != 0 || executions[o.id] > 0 {
			r.addViolation(GracefulStop, "%s was interrupted by the stop of instance %d", o.id, instance)
		}
	}
}

// countAnswered returns the number of requests that were sent after the given time
// and crash no replica and may not be refused, and how many of them got a complete response with status 200.
func (r *recorder) countAnswered(after time.Time) (answered, sent int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for n := range r.outcomes {
		o := &r.outcomes[n]
		if o.sent.Before(after) || o.crashes || o.spare {
			continue
		}
		sent++
		if o.status == http.StatusOK && !o.incomplete {
			answered++
		}
	}
	return answered, sent
}

// addViolation records a violation.
func (r *recorder) addViolation(invariant Invariant, format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.violations = append(r.violations, Violation{
		Detail: fmt.Sprintf(format, arguments...), Elapsed: time.Since(r.started), Invariant: invariant,
	})
}
