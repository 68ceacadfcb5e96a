package policy

import (
	"slices"
	"time"
)

// lateTokensFactor is the multiple of its own tokens that must be free for a late
// request to start. It leaves room for requests that can still be in time.
const lateTokensFactor = 2

// A WaitlistEntry is a request that waits for a slot.
type WaitlistEntry struct {
	Arrived     time.Time // when the request arrived
	LatestStart time.Time // a later start is of no use to the caller
	TargetStart time.Time // latest start that still meets the target for the first token
}

// Late reports whether a start at now is later than TargetStart.
func (w *WaitlistEntry) Late(now time.Time) bool { return now.After(w.TargetStart) }

// RequiredFreeTokens returns how many tokens an engine must have free to take the
// request, which itself needs tokens.
func (w *WaitlistEntry) RequiredFreeTokens(now time.Time, tokens int) int {
	if w.Late(now) {
		return lateTokensFactor * tokens
	}
	return tokens
}

// A Waitlist orders requests that wait for a slot. In an overload, more requests
// arrive than can start in time. Then the newest request that can still be in time
// goes first, because the oldest one would take its slot for a late response. Late
// requests follow in the order of arrival once the overload is over.
type Waitlist struct {
	entries []*WaitlistEntry
}

// Add adds a request.
func (l *Waitlist) Add(w *WaitlistEntry) { l.entries = append(l.entries, w) }

// Len returns the number of requests.
func (l *Waitlist) Len() int { return len(l.entries) }

// Next returns the request that goes first, or nil if there is none.
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
