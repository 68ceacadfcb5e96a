package soak

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/platform/standin"
)

// Guards against a check that accepts a withdrawn or moved key after its time, that blames an
// instance for changes it could not know, and that misses a key or a forged name.
func TestCheckArrival(t *testing.T) {
	start := time.Now().Add(-time.Minute)
	change := start.Add(10 * time.Second)
	for name, c := range map[string]struct {
		account, key string
		after        time.Duration // from the change to the arrival
		cut          bool          // the instance lost the store before the change
		leak         bool          // the key is passed on
		path         string
		restarted    bool // the process started after the change
		violations   int
	}{
		"withdrawn, in time":            {account: accountNorth, key: keyBrief, after: keyApplyTime / 2},
		"withdrawn, late":               {account: accountNorth, key: keyBrief, after: keyApplyTime + 1, violations: 1},
		"withdrawn, cut off":            {account: accountNorth, key: keyBrief, after: 2 * keyApplyTime, cut: true},
		"withdrawn, cut off, restarted": {account: accountNorth, key: keyBrief, after: 2 * keyApplyTime, cut: true, restarted: true, violations: 1},
		"moved, to the new one":         {account: accountNorth, key: keyMoving, after: time.Second},
		"moved, late":                   {account: accountSouth, key: keyMoving, after: keyApplyTime + 1, violations: 1},
		"before it is moved":            {account: accountNorth, key: keyMoving, after: -time.Second, violations: 1},
		"unknown":                       {account: accountNorth, key: keyUnknown, violations: 1},
		"unknown, forged":               {account: forgedAccount, key: keyUnknown, violations: 1},
		"no account":                    {key: keyNorth, violations: 1},
		"forged":                        {account: forgedAccount, key: keyNorth, violations: 1},
		"anonymous":                     {key: keyUnknown, path: "/" + kindAnonymous + "/x"},
		"anonymous, forged":             {account: forgedAccount, key: keyUnknown, path: "/" + kindAnonymous + "/x", violations: 1},
		"key passed on":                 {account: accountNorth, key: keyNorth, leak: true, violations: 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := &accountLog{recorder: &recorder{}, changes: []holderChange{
				{acknowledged: start, holders: keyHolders(1), written: start}, {acknowledged: change, holders: keyHolders(2), written: change},
			}}
			p := &process{started: start.Add(-time.Hour)}
			if c.restarted {
				p.started = change.Add(time.Second)
			}
			l.contacts = map[int]*storeContact{0: {}}
			if c.cut {
				l.contacts[0] = &storeContact{faults: 1, known: start}
			}
			now := change.Add(c.after)
			r := &standin.Request{ID: "q1", Key: c.key, Path: c.path}
			l.register(r, 0, p)
			// The attempt was registered at the present time; its arrival is what is tested.
			kept := l.requests["q1"]
			kept.known = p.started
			l.requests["q1"] = kept
			header := http.Header{"X-Attempt-Id": {"q1"}, "X-Tenant": {c.account}}
			if c.leak {
				header.Set("X-Key", c.key)
			}
			l.checkArrival(header, now)
			assert.Equal(t, len(l.recorder.violations), c.violations, "%v", l.recorder.violations)
		})
	}
}

// Guards against a check that misses the refusal of a valid key, or reports that of a key
// that is withdrawn or moved meanwhile.
func TestCheckRefusal(t *testing.T) {
	start := time.Now().Add(-time.Minute)
	for key, violations := range map[string]int{keyNorth: 1, keyBrief: 0, keyMoving: 0, keyUnknown: 0} {
		l := &accountLog{recorder: &recorder{}, requests: map[string]keyedRequest{"q1": {key: key, known: start}}}
		for n := range 2 {
			at := start.Add(time.Duration(n) * time.Second)
			l.changes = append(l.changes, holderChange{acknowledged: at, holders: keyHolders(n), written: at})
		}
		l.checkRefusal(&outcome{ended: start.Add(2 * time.Second), id: "q1", status: http.StatusUnauthorized})
		assert.Equal(t, len(l.recorder.violations), violations, "%s: %v", key, l.recorder.violations)
	}
}

// Guards against a check of quotas that counts requests which did not run, or misses the
// window with the highest use.
func TestQuotaLog(t *testing.T) {
	start := time.Now()
	l, executions := &quotaLog{}, make(map[string]int)
	for n, at := range []time.Duration{0, 7 * time.Second, 9 * time.Second, 14 * time.Second, 14 * time.Second, 30 * time.Second} {
		id := string(rune('a' + n))
		l.addArrival(http.Header{"X-Attempt-Id": {id}, "X-Tenant": {accountBulk}}, start.Add(at))
		executions[id] = 1
	}
	assert.Equal(t, l.most(executions), 4*streamTokens)
	executions["d"] = 0
	assert.Equal(t, l.most(executions), 3*streamTokens)
	l.addArrival(http.Header{"X-Attempt-Id": {"z"}, "X-Tenant": {accountNorth}}, start.Add(9*time.Second))
	l.addArrival(http.Header{"X-Attempt-Id": {"z"}, "X-Tenant": {accountBulk}, "X-Stage": {"prefill"}}, start.Add(9*time.Second))
	executions["z"] = 1
	assert.Equal(t, l.most(executions), 3*streamTokens)
}
