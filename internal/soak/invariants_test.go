package soak

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a check that misses a request that ran too often, or ran although it
// was refused, and against one that reports requests that were allowed to run again.
func TestCheckExecutions(t *testing.T) {
	for name, c := range map[string]struct {
		outcome    outcome
		executions int
		want       Invariant // empty for none
	}{
		"once":                             {outcome{kind: kindNonIdempotent, status: http.StatusOK}, 1, ""},
		"twice":                            {outcome{kind: kindNonIdempotent, status: http.StatusOK}, 2, AtMostOnce},
		"idempotent, often":                {outcome{kind: kindIdempotent, status: http.StatusOK}, 5, ""},
		"refused":                          {outcome{kind: kindStream, status: http.StatusTooManyRequests}, 0, ""},
		"refused but ran":                  {outcome{kind: kindStream, status: http.StatusTooManyRequests}, 1, TrueRefusal},
		"resumed often":                    {outcome{kind: kindResumable, status: http.StatusOK}, 5, ""},
		"crashing stream, once":            {outcome{crashes: true, kind: kindStream}, 1, ""},
		"crashing stream, twice":           {outcome{crashes: true, kind: kindStream}, 2, AtMostOnce},
		"crashing resumable, all attempts": {outcome{crashes: true, kind: kindResumable}, maxAttempts, ""},
		"crashing resumable, one more":     {outcome{crashes: true, kind: kindResumable}, maxAttempts + 1, CrashesBounded},
		"crashing resumable, refused":      {outcome{crashes: true, kind: kindResumable, status: http.StatusServiceUnavailable}, 1, TrueRefusal},
	} {
		t.Run(name, func(t *testing.T) {
			c.outcome.id = "q1"
			r := &recorder{outcomes: []outcome{c.outcome}}
			r.checkExecutions(map[string]int{"q1": c.executions})
			if c.want == "" {
				assert.Equal(t, len(r.violations), 0, "%v", r.violations)
				return
			}
			assert.Equal(t, len(r.violations), 1, "%v", r.violations)
			assert.Equal(t, r.violations[0].Invariant, c.want)
		})
	}
}

// Guards against a stop that cuts or loses a request and is excused although its replica
// had long ended its work, and against blaming a stop for work that outlasts it.
func TestGracefulStopExcuse(t *testing.T) {
	signalled := time.Now()
	const cut = 7600 * time.Millisecond
	for _, c := range []struct {
		name, id, kind string
		sent           time.Duration // after the signal
		violations     int
	}{
		{name: "long stream", id: "a-e220", kind: kindStream, sent: 2 * time.Second},
		{name: "long stream, sent late", id: "a-e220", kind: kindStream, sent: 3100 * time.Millisecond, violations: 1},
		{name: "short stream", id: "a-e20", kind: kindStream, sent: 2 * time.Second, violations: 1},
		{name: "plain", id: "a", kind: kindNonIdempotent, sent: 2 * time.Second, violations: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &recorder{started: signalled}
			r.outcomes = []outcome{{id: c.id, kind: c.kind, incomplete: true, sent: signalled.Add(c.sent), ended: signalled.Add(cut), status: 200}}
			r.checkGracefulStop(0, signalled, signalled.Add(8*time.Second), map[string]int{c.id: 1})
			assert.Equal(t, len(r.violations), c.violations)
		})
	}
}
