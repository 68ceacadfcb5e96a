package policy

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// DefaultLinkRate is the rate of a path without a configured link, bytes a second.
const DefaultLinkRate = 2.5e9

// Links keeps the budget of the links that KV cache is transferred over.
//
// Each path keeps the time until which the transfers granted here occupy it.
// Share is this instance's part of the rate, because others use the link too.
type Links struct {
	RateShare float64

	paths map[path]*pathState
}

// A path is an ordered pair of data centres.
type path struct {
	from, to persimmoncart.DataCentre
}

// A pathState is the occupation of one path.
type pathState struct {
	busyUntil time.Time
	rate      float64
}

// NewLinks returns Links without configured rates.
func NewLinks(share float64) *Links {
	return &Links{RateShare: share, paths: make(map[path]*pathState)}
}

// Reserve occupies the path for size bytes from start on and returns when the
// transfer is expected to end.
func (l *Links) Reserve(start time.Time, from, to persimmoncart.DataCentre, size float64) time.Time {
	s := l.state(from, to)
	end := start.Add(l.transferTime(s, start, size))
	s.busyUntil = end
	return end
}

// SetRate sets the rate of a path in bytes a second.
func (l *Links) SetRate(from, to persimmoncart.DataCentre, rate float64) {
	l.state(from, to).rate = rate
}

// TransferTime returns how long size bytes take from start on, the wait for earlier
// transfers included.
func (l *Links) TransferTime(start time.Time, from, to persimmoncart.DataCentre, size float64) time.Duration {
	return l.transferTime(l.state(from, to), start, size)
}

// transferTime returns the time from start to the end of a transfer of size bytes.
func (l *Links) transferTime(s *pathState, start time.Time, size float64) time.Duration {
	wait := max(s.busyUntil.Sub(start), 0)
	return wait + time.Duration(size/(s.rate*l.RateShare)*float64(time.Second))
}

// state returns the state of a path.
func (l *Links) state(from, to persimmoncart.DataCentre) *pathState {
	k := path{from: from, to: to}
	s, found := l.paths[k]
	if !found {
		s = &pathState{rate: DefaultLinkRate}
		l.paths[k] = s
	}
	return s
}
