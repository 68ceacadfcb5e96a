package policy

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// firstTrialPause is the time from the last crash until the first trial of a
	// quarantined part. It doubles with each trial, up to maxTrialPause: each trial of a
	// harmful part ends one more endpoint.
	firstTrialPause = 30 * time.Second
	maxTrialPause   = 10 * time.Minute
	// maxTrialDoublings is the number of doublings after which the pause is longer than
	// maxTrialPause.
	maxTrialDoublings = 5
	// trialClaimPause is the time between two attempts of an instance to claim a trial,
	// in which it learns of the claims of others.
	trialClaimPause = 2 * time.Second
)

// crashTrials are the trials of a quarantined part: requests that are let through, one at
// a time over all instances, to find out whether the part still crashes endpoints.
type crashTrials struct {
	claimed time.Time // last attempt of this instance to claim a trial
	count   int       // trials of all instances
	last    time.Time // when the last trial became known; zero if there was none
}

// next returns the time of the next trial of a part whose last crash was reported at the
// given time.
func (t *crashTrials) next(lastReport time.Time) time.Time {
	pause := min(firstTrialPause<<min(t.count, maxTrialDoublings), maxTrialPause)
	next := lastReport
	if t.last.After(next) {
		next = t.last
	}
	next = next.Add(pause)
	if retry := t.claimed.Add(trialClaimPause); retry.After(next) {
		return retry
	}
	return next
}

// BeginTrial records that this instance attempts to claim a trial of a part, and returns
// the number of the trial. It reports false if none is due.
func (c *CrashSuspects) BeginTrial(now time.Time, part persimmoncart.RequestPart) (number int, due bool) {
	s, found := c.suspects[part]
	if !found || s.trials.next(s.lastReport).After(now) {
		return 0, false
	}
	s.trials.claimed = now
	return s.trials.count + 1, true
}

// SetTrials records that all instances have made the given number of trials of a part. A
// smaller number than is known changes nothing.
func (c *CrashSuspects) SetTrials(now time.Time, part persimmoncart.RequestPart, count int) {
	if s, found := c.suspects[part]; found && count > s.trials.count {
		s.trials.count, s.trials.last = count, now
	}
}

// Trials returns the number of trials of a part that all instances have made.
func (c *CrashSuspects) Trials(part persimmoncart.RequestPart) int {
	if s, found := c.suspects[part]; found {
		return s.trials.count
	}
	return 0
}
