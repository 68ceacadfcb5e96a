package policy

import (
	"slices"
	"time"
)

// lateTokensFactor is how many requests' worth of room a request that is already late
// needs, so that those that can still be in time find a place.
const lateTokensFactor = 2

// A WaitlistEntry is one request that waits for a place.
type WaitlistEntry struct {
	TargetStart time.Time // start that is still in time
	Arrived     time.Time
	LatestStart time.Time // start after which it is of no use
}

// Late reports whether a start at now is too late for the objective.
func (w *WaitlistEntry) Late(now time.Time) bool { return now.After(w.TargetStart) }

// RequiredFreeTokens returns the tokens that have to be free for a request of the given size.
func (w *WaitlistEntry) RequiredFreeTokens(now time.Time, tokens int) int {
	if w.Late(now) {
		return lateTokensFactor * tokens
	}
	return tokens
}

// A Waitlist orders requests that wait for a place. It answers a crest where
// more requests arrive than can be in time: the newest of those that still can be
// goes first, since the oldest would use up its place for a late answer; the
// late ones follow in the order of their arrival once the crest is over.
type Waitlist struct {
	entries []*WaitlistEntry
}

// Add adds a request.
func (l *Waitlist) Add(w *WaitlistEntry) { l.entries = append(l.entries, w) }

// Len returns the number of requests.
func (l *Waitlist) Len() int { return len(l.entries) }

// Next returns the request that goes first, or nil.
func (l *Waitlist) Next(now time.Time) *WaitlistEntry {
	var next *WaitlistEntry
	for _, w := range l.entries {
		switch {
		case next == nil:
			next = w
		case w.Late(now) != next.Late(now):
			if next.Late(now) {
				next = w
			}
		case w.Late(now) && w.Arrived.Before(next.Arrived):
			next = w
		case !w.Late(now) && w.Arrived.After(next.Arrived):
			next = w
		}
	}
	return next
}

// Remove removes a request.
func (l *Waitlist) Remove(w *WaitlistEntry) {
	l.entries = slices.DeleteFunc(l.entries, func(o *WaitlistEntry) bool { return o == w })
}
