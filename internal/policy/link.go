package policy

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// DefaultLinkRate is the rate of a path without a configured link, in bytes a
// second.
const DefaultLinkRate = 2.5e9

// Links estimates how long transfers of KV cache between data centres take.
//
// Each path keeps the time until which the transfers granted by this instance
// occupy it. RateShare is this instance's part of a link's rate, because other
// instances use the link too.
type Links struct {
	RateShare float64

	paths map[path]*pathState
}

// A path is an ordered pair of data centres.
type path struct {
	from, to persimmoncart.DataCentre
}

// A pathState is the rate and the occupation of one path.
type pathState struct {
	busyUntil time.Time // expected end of the last reserved transfer
	rate      float64   // bytes a second
}

// NewLinks returns Links without configured rates. The share is this instance's
// part of each link's rate.
func NewLinks(share float64) *Links {
	return &Links{RateShare: share, paths: make(map[path]*pathState)}
}

// Reserve occupies the path with a transfer of size bytes, which begins at
// start or after earlier transfers, and returns its expected end.
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

// TransferTime returns how long a transfer of size bytes takes from start on,
// including the wait for earlier transfers.
func (l *Links) TransferTime(start time.Time, from, to persimmoncart.DataCentre, size float64) time.Duration {
	return l.transferTime(l.state(from, to), start, size)
}

// state returns the state of a path, with the default rate if the path is new.
func (l *Links) state(from, to persimmoncart.DataCentre) *pathState {
	k := path{from: from, to: to}
	s, found := l.paths[k]
	if !found {
		s = &pathState{rate: DefaultLinkRate}
		l.paths[k] = s
	}
	return s
}

// transferTime returns the time from start to the end of a transfer of size
// bytes.
func (l *Links) transferTime(s *pathState, start time.Time, size float64) time.Duration {
	wait := max(s.busyUntil.Sub(start), 0)
	return wait + time.Duration(size/(s.rate*l.RateShare)*float64(time.Second))
}
