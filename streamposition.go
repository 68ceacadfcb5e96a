package persimmoncart

import "strconv"

// A StreamPosition is how much of a stream somebody has: nothing, or all events up to and
// including one. Events have increasing identifiers, of which the first may be any number,
// zero too. The zero value is the position before the first event.
type StreamPosition struct {
	begun bool
	last  uint64
}

// AfterEvent returns the position after the event with the given identifier.
func AfterEvent(id uint64) StreamPosition { return StreamPosition{begun: true, last: id} }

// ParseStreamPosition parses the identifier of the last event that was received. A text
// that is not a number gives the position before the first event, and false.
func ParseStreamPosition(text string) (StreamPosition, bool) {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return StreamPosition{}, false
	}
	return AfterEvent(id), true
}

// Begun reports whether an event was received.
func (p StreamPosition) Begun() bool { return p.begun }

// Includes reports whether the event with the given identifier was received.
func (p StreamPosition) Includes(id uint64) bool { return p.begun && id <= p.last }

// String returns the identifier of the last event, or an empty text before the first.
func (p StreamPosition) String() string {
	if !p.begun {
		return ""
	}
	return strconv.FormatUint(p.last, 10)
}
