package soak

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a check that counts requests while the instances need not know of
// the part that crashes engines, counts one request twice, or misses late ones.
func TestCrashLogLate(t *testing.T) {
	start := time.UnixMilli(1000)
	for name, c := range map[string]struct {
		crashes     int           // one a second
		faultsEnded time.Duration // after the start
		arrivals    time.Duration // time of each of two arrivals of four requests, after the start
		want        int
	}{
		"too few crashes":     {4, 0, time.Minute, 0},
		"within contact time": {5, 0, 9 * time.Second, 0},
		"later":               {5, 0, 9*time.Second + 1, 4},
		"faults end later":    {5, 8 * time.Second, 12 * time.Second, 0},
		"later than both":     {5, 8 * time.Second, 12*time.Second + 1, 4},
		"further crashes":     {20, 0, 9*time.Second + 1, 4},
	} {
		t.Run(name, func(t *testing.T) {
			l := &crashLog{Learned: 5}
			for n := range c.crashes {
				l.addCrash(start.Add(time.Duration(n+1) * time.Second))
			}
			for n := range 8 {
				l.addArrival(fmt.Sprintf("q%d", n%4), start.Add(c.arrivals))
			}
			assert.Equal(t, l.late(start.Add(c.faultsEnded)), c.want)
		})
	}
}

// Guards against requests that still crash engines after the end of the crashes, while
// instances stop in order.
func TestCrashLogEnds(t *testing.T) {
	l := &crashLog{}
	assert.Assert(t, !l.begin(), "requests are sent before the crashes begin")
	assert.Equal(t, l.setOpen(true), 0)
	assert.Assert(t, l.begin())
	assert.Equal(t, l.setOpen(false), 1)
	assert.Assert(t, !l.begin(), "requests are sent after the crashes have ended")
	l.end()
	assert.Equal(t, l.setOpen(false), 0)
}
