package policy

import (
	"slices"
	"time"
)

// lateRoom is how many requests' worth of room a request that is already late
// needs, so that those that can still be in time find a place.
const lateRoom = 2

// A Waiting is one request that waits for a place.
type Waiting struct {
	Due   time.Time // start that is still in time
	Since time.Time
	Until time.Time // start after which it is of no use
}

// Late reports whether a start at now is too late for the objective.
func (w *Waiting) Late(now time.Time) bool { return now.After(w.Due) }

// Room returns the tokens that have to be free for a request of the given size.
func (w *Waiting) Room(now time.Time, tokens int) int {
	if w.Late(now) {
		return lateRoom * tokens
	}
	return tokens
}

// A Waitlist orders requests that wait for a place. It answers a crest where
// more requests arrive than can be in time: the newest of those that still can be
// goes first, since the oldest would use up its place for a late answer; the
// late ones follow in the order of their arrival once the crest is over.
type Waitlist struct {
	list []*Waiting
}

// Add adds a request.
func (l *Waitlist) Add(w *Waiting) { l.list = append(l.list, w) }

// Len returns the number of requests.
func (l *Waitlist) Len() int { return len(l.list) }

// Next returns the request that goes first, or nil.
func (l *Waitlist) Next(now time.Time) *Waiting {
	var next *Waiting
	for _, w := range l.list {
		switch {
		case next == nil:
			next = w
		case w.Late(now) != next.Late(now):
			if next.Late(now) {
				next = w
			}
		case w.Late(now) && w.Since.Before(next.Since):
			next = w
		case !w.Late(now) && w.Since.After(next.Since):
			next = w
		}
	}
	return next
}

// Remove removes a request.
func (l *Waitlist) Remove(w *Waiting) {
	l.list = slices.DeleteFunc(l.list, func(o *Waiting) bool { return o == w })
}
