package metrics_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/metrics"
)

func ExampleMetrics() {
	m := metrics.New()
	m.CountRefusal(persimmoncart.RefusalCapacity)
	count, err := testutil.GatherAndCount(m.Registry, "persimmoncart_refusals_total")
	fmt.Println(count == len(persimmoncart.RefusalCodes), err)
	// Output: true <nil>
}

// Guards against a refusal code or retry reason without a counter, and against an
// unbounded number of label values.
func TestLabels(t *testing.T) {
	m := metrics.New()
	for _, r := range persimmoncart.RetryReasons {
		m.CountRetry(r)
	}
	m.CountRetry("unknown")
	m.CountRefusal("unknown")
	for n := range 1000 {
		m.ObserveCall(persimmoncart.RouteName(fmt.Sprint("route-", n)), time.Millisecond)
		m.StartRequest()(persimmoncart.RouteName(fmt.Sprint("route-", n)), persimmoncart.OutcomeAnswered)
	}
	m.ExportConcurrency(func() (groups []metrics.GroupConcurrency) {
		for n := range 1000 { // the first name has a label value already
			groups = append(groups, metrics.GroupConcurrency{Pool: persimmoncart.PoolName(fmt.Sprint("route-", n)), Role: persimmoncart.RoleDecode})
		}
		return groups
	})
	for name, want := range map[string]int{
		"persimmoncart_call_seconds":               65,
		"persimmoncart_endpoint_concurrency_limit": 64,
		"persimmoncart_refusals_total":             len(persimmoncart.RefusalCodes),
		"persimmoncart_requests_total":             65,
		"persimmoncart_retries_total":              len(persimmoncart.RetryReasons),
	} {
		count, err := testutil.GatherAndCount(m.Registry, name)
		assert.NilError(t, err)
		assert.Equal(t, count, want, name)
	}
	problems, err := testutil.GatherAndLint(m.Registry)
	assert.NilError(t, err)
	assert.Equal(t, len(problems), 0, "%v", problems)
}

// Guards against a panic of a method on a nil *Metrics.
func TestNil(*testing.T) {
	var m *metrics.Metrics
	m.ObserveCall("r", 0)
	m.CountDiscarded()
	m.ObserveFirstToken("r", 0)
	m.CountRefusal(persimmoncart.RefusalCapacity)
	m.StartRequest()("r", persimmoncart.OutcomeAnswered)
	m.CountRetry(persimmoncart.RetryHedge)
	m.EndStream(2, 0)
	m.ExportConcurrency(nil)
	m.SetConfigurationVersion(1)
	m.CountWastedPrefill(1)
}
