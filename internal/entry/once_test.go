package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/application"
)

// post sends a call that may run only once and returns its outcome, or "none" if no
// response arrives.
func (f *fleet) post(ctx context.Context, t *testing.T, key string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://entry/post/pay", strings.NewReader("body"))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer key")
	request.Header.Set("Idempotency-Key", key)
	response, err := f.client.Do(request)
	if err != nil {
		return "none"
	}
	text := read(t, response)
	if response.Header.Get("Persimmoncart-Outcome") == "answered" {
		assert.Equal(t, text, string(application.FakeReceipt(key, []byte("body"))))
		return "answered"
	}
	var body struct{ Error struct{ Outcome string } }
	assert.NilError(t, json.Unmarshal([]byte(text), &body), text)
	return body.Error.Outcome
}

// Guards against a call that runs twice, and against a reported outcome that is
// wrong, under faults of the application and of the store.
func TestFleetCallsRunOnce(t *testing.T) {
	applications := map[string]application.Faults{
		"none": {}, "crossed answers": {Cross: true}, "fails": {Fail: true}, "garbage": {Garbage: true},
		"refuses": {Refuse: true}, "slow": {Slow: 2000}, "truncated": {Truncate: true},
	}
	stores := map[string]func(*fleet){
		"none":             func(*fleet) {},
		"answers lost":     func(f *fleet) { f.store.LoseResponses(2) },
		"down":             func(f *fleet) { f.store.SetDown(true) },
		"requests lost":    func(f *fleet) { f.store.DropRequests(2) },
		"slow":             func(f *fleet) { f.store.SetDelay(3 * time.Second) },
		"slow to dispatch": func(f *fleet) { f.store.SetDelay(900 * time.Millisecond) },
	}
	for applicationFault, faults := range applications {
		for storeFault, setStoreFault := range stores {
			t.Run(applicationFault+", store "+storeFault, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t)
					for _, fake := range f.applications {
						fake.Change(func(current *application.Faults) { *current = faults })
					}
					setStoreFault(f)
					for n := range 4 {
						f.checkRunsOnce(t, fmt.Sprint("k", n))
					}
					f.store.SetDown(true) // the same calls are sent again
					for n := range 4 {
						f.checkRunsOnce(t, fmt.Sprint("k", n))
					}
					f.store.SetDown(false)
					f.store.SetDelay(0)
					assert.NilError(t, f.stop())
				})
			})
		}
	}
}

// checkRunsOnce sends the same call three times, the second time with a short timeout,
// and compares each outcome with the number of runs.
func (f *fleet) checkRunsOnce(t *testing.T, key string) {
	t.Helper()
	for n := range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		if n == 1 {
			cancel()
			ctx, cancel = context.WithTimeout(t.Context(), 2*time.Millisecond)
		}
		outcome := f.post(ctx, t, key)
		cancel()
		runs := f.records.All()[key].Runs
		assert.Check(t, runs <= 1, "%s ran %d times", key, runs)
		switch outcome {
		case "answered":
			assert.Check(t, runs == 1, "%s has outcome answered but did not run", key)
		case "not_run":
			assert.Check(t, runs == 0, "%s has outcome not_run but ran", key)
		}
	}
}
