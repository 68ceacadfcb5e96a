package route_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/route"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// newApplicationRouter returns a router with two application endpoints.
func newApplicationRouter() (*route.Router, fakeApplications, *fakeClaims) {
	applications := fakeApplications{p1: {}, p2: {}}
	claims := &fakeClaims{records: make(map[persimmoncart.ClaimKey]persimmoncart.ClaimRecord)}
	endpoints := []persimmoncart.Endpoint{{Addr: p1, ID: "one"}, {Addr: p2, ID: "two"}}
	return &route.Router{
		Applications: applications,
		Balancer:     &fakeBalancer{endpoints: endpoints},
		Claims:       claims,
		RetryBudgets: &route.RetryBudgets{Seed: 1, Timer: &timer.System{}},
		Timer:        &timer.System{},
	}, applications, claims
}

// callApplication serves one call of an idempotent or non-idempotent route.
func callApplication(ctx context.Context, r *route.Router, idempotent bool) (*persimmoncart.CallResponse, error) {
	response, _, err := r.Call(ctx, route.ApplicationRequest{
		Account:        &persimmoncart.Account{Name: "a"},
		Arrived:        time.Now(),
		Deadline:       time.Now().Add(10 * time.Second),
		ID:             "r",
		IdempotencyKey: "k",
		Route:          &persimmoncart.Route{Hedge: true, Name: "books", Pool: "yard", Idempotent: idempotent},
	})
	r.Wait()
	return response, err
}

// Guards against running a non-idempotent call twice, such as a payment, and against
// reporting a wrong outcome.
func TestCallOnce(t *testing.T) {
	broken := errors.New("connection reset")
	tests := []struct {
		name    string
		first   error // error of the first endpoint
		set     func(*fakeClaims)
		code    persimmoncart.RefusalCode // empty if the call succeeds
		outcome persimmoncart.Outcome
		runs    [2]int
		state   persimmoncart.ClaimState
	}{
		{name: "answered", runs: [2]int{1, 0}, state: persimmoncart.ClaimAnswered},
		{
			name: "proven not run goes elsewhere", first: &persimmoncart.EndpointRefusedError{Addr: p1},
			runs: [2]int{1, 1}, state: persimmoncart.ClaimAnswered,
		},
		{
			name: "never sent goes elsewhere", first: &persimmoncart.UnavailableError{Err: broken, Operation: "dial"},
			runs: [2]int{1, 1}, state: persimmoncart.ClaimAnswered,
		},
		{
			name: "no answer is not repeated", first: broken, code: persimmoncart.RefusalEndpointFailed,
			outcome: persimmoncart.OutcomeUnknown, runs: [2]int{1, 0}, state: persimmoncart.ClaimUnknown,
		},
		{
			name: "crossed answer is not repeated", first: &persimmoncart.AttemptMismatchError{}, code: persimmoncart.RefusalEndpointInvalid,
			outcome: persimmoncart.OutcomeUnknown, runs: [2]int{1, 0}, state: persimmoncart.ClaimUnknown,
		},
		{
			name: "store down", set: func(c *fakeClaims) { c.claimErr = &persimmoncart.UnavailableError{Err: broken, Operation: "create"} },
			code: persimmoncart.RefusalStoreDown, outcome: persimmoncart.OutcomeNotRun,
		},
		{
			name: "claim lapsed while paused", set: func(c *fakeClaims) { c.expiredBy = time.Millisecond },
			code: persimmoncart.RefusalDeadline, outcome: persimmoncart.OutcomeNotRun, state: persimmoncart.ClaimNotRun,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, applications, claims := newApplicationRouter()
				if test.first != nil {
					applications[p1].call = func(context.Context, persimmoncart.CallRequest) (*persimmoncart.CallResponse, error) {
						return nil, test.first
					}
				}
				if test.set != nil {
					test.set(claims)
				}
				response, err := callApplication(t.Context(), r, false)
				if test.code == "" {
					assert.NilError(t, err)
					assert.Equal(t, string(response.Body), "done")
				} else {
					refusal := &persimmoncart.Refusal{}
					assert.Assert(t, errors.As(err, &refusal), "%v", err)
					assert.Equal(t, refusal.Code, test.code)
					assert.Equal(t, refusal.Outcome, test.outcome)
				}
				assert.Equal(t, [2]int{applications[p1].runs, applications[p2].runs}, test.runs)
				assert.Equal(t, claims.records[route.ClaimKey("a", "books", "k")].State, test.state)
			})
		})
	}
}

// Guards against dispatching a call again when the first call with the same key was
// answered, is running or has an unknown outcome.
func TestCallOnceRepeatedKey(t *testing.T) {
	tests := map[persimmoncart.ClaimState]struct {
		outcome  persimmoncart.Outcome
		response *persimmoncart.CallResponse
		runs     int
	}{
		persimmoncart.ClaimAnswered: {response: &persimmoncart.CallResponse{Body: []byte("done")}},
		persimmoncart.ClaimClaimed:  {outcome: persimmoncart.OutcomeUnknown},
		persimmoncart.ClaimNotRun:   {response: &persimmoncart.CallResponse{Body: []byte("done")}, runs: 1},
		persimmoncart.ClaimUnknown:  {outcome: persimmoncart.OutcomeUnknown},
	}
	for state, test := range tests {
		t.Run(string(state), func(t *testing.T) {
			r, applications, claims := newApplicationRouter()
			claims.records[route.ClaimKey("a", "books", "k")] = persimmoncart.ClaimRecord{Response: test.response, State: state}
			response, err := callApplication(t.Context(), r, false)
			if test.response != nil {
				assert.NilError(t, err)
				assert.Equal(t, string(response.Body), "done")
			} else {
				refusal := &persimmoncart.Refusal{}
				assert.Assert(t, errors.As(err, &refusal), "%v", err)
				assert.Equal(t, refusal.Outcome, test.outcome)
			}
			assert.Equal(t, applications[p1].runs, test.runs)
		})
	}
}

// Guards against recording an unknown outcome for a call that was answered after its
// caller had disconnected.
func TestCallOnceCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, applications, claims := newApplicationRouter()
		ctx, cancel := context.WithCancel(t.Context())
		applications[p1].call = func(own context.Context, q persimmoncart.CallRequest) (*persimmoncart.CallResponse, error) {
			cancel()
			return &persimmoncart.CallResponse{Attempt: q.Attempt, Status: 200}, own.Err()
		}
		_, err := callApplication(ctx, r, false)
		assert.NilError(t, err)
		assert.Equal(t, claims.records[route.ClaimKey("a", "books", "k")].State, persimmoncart.ClaimAnswered)
		_, err = callApplication(ctx, r, false)
		assert.NilError(t, err)
		assert.Equal(t, applications[p1].runs, 1)
	})
}

// Guards against idempotent calls that fail with one endpoint, wait for a slow one,
// or are retried and hedged without a budget.
func TestCallIdempotent(t *testing.T) {
	slow := func(ctx context.Context, _ persimmoncart.CallRequest) (*persimmoncart.CallResponse, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	fails := func(context.Context, persimmoncart.CallRequest) (*persimmoncart.CallResponse, error) {
		return nil, errors.New("connection reset")
	}
	tests := []struct {
		name   string
		one    func(context.Context, persimmoncart.CallRequest) (*persimmoncart.CallResponse, error)
		two    func(context.Context, persimmoncart.CallRequest) (*persimmoncart.CallResponse, error)
		within time.Duration
		code   persimmoncart.RefusalCode
		runs   [2]int
	}{
		{"answered", nil, nil, 0, "", [2]int{1, 0}},
		{"retried elsewhere", fails, nil, 100 * time.Millisecond, "", [2]int{1, 1}},
		{"hedged elsewhere", slow, nil, 100 * time.Millisecond, "", [2]int{1, 1}},
		{"both fail", fails, fails, time.Second, persimmoncart.RefusalPoolEmpty, [2]int{1, 1}},
		{"both hang", slow, slow, 10 * time.Second, persimmoncart.RefusalDeadline, [2]int{1, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, applications, _ := newApplicationRouter()
				applications[p1].call, applications[p2].call = test.one, test.two
				for range 100 {
					r.RetryBudgets.HedgeDelay("yard") // adds to the hedge budget
					r.RetryBudgets.RecordLatency("yard", 50*time.Millisecond)
				}
				start := time.Now()
				_, err := callApplication(t.Context(), r, true)
				assert.Assert(t, time.Since(start) <= test.within, "%s", time.Since(start))
				refusal := &persimmoncart.Refusal{}
				if errors.As(err, &refusal) {
					assert.Equal(t, refusal.Code, test.code)
				} else {
					assert.NilError(t, err)
				}
				assert.Equal(t, [2]int{applications[p1].runs, applications[p2].runs}, test.runs)
			})
		})
	}
}

// Guards against more retries and hedges than their share of the calls while a pool
// fails.
func TestBudgets(t *testing.T) {
	b := &route.RetryBudgets{Seed: 1, Timer: &timer.System{}}
	retries, hedges := 0, 0
	for range 1000 {
		b.RecordFirst("r", "a")
		if _, ok := b.TakeRetry("r", "a", 1, time.Now().Add(time.Hour)); ok {
			retries++
		}
		b.RecordLatency("p", time.Millisecond)
		b.HedgeDelay("p")
		if b.TakeHedge("p") {
			hedges++
		}
	}
	assert.Assert(t, retries <= 100+10, "%d retries of 1000 calls", retries)
	assert.Assert(t, hedges <= 50+3, "%d hedges of 1000 calls", hedges)
	_, ok := b.TakeRetry("r", "another account", 1, time.Now().Add(time.Hour))
	assert.Assert(t, ok)
	_, ok = b.TakeRetry("r", "third account", 1, time.Now())
	assert.Assert(t, !ok, "the pause of a retry reaches beyond the deadline")
}
