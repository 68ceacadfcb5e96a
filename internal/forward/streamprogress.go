package forward

import (
	"bytes"
	"strconv"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// eventEnd terminates every event.
var eventEnd = []byte("\n\n")

// A streamProgress is what the caller of a stream has received. It is the only owner of
// whether the stream has events, and of which was the last.
type streamProgress struct {
	events   int                          // passed on in this response
	first    time.Time                    // when the first of them was passed on; zero before
	position persimmoncart.StreamPosition // of the caller, what it had before included
	unknown  bool                         // the last event has no identifier, so that position is behind it
}

// Add adds a number of whole events that are passed on.
func (p *streamProgress) Add(t persimmoncart.Timer, events []byte, count int) {
	if count == 0 {
		return
	}
	if p.events == 0 {
		p.first = t.Now()
	}
	p.events += count
	id, found := lastEventID(events)
	if p.unknown = !found; found {
		p.position = persimmoncart.AfterEvent(id)
	}
}

// MayResume reports whether another engine can go on where the stream ended: an event
// without an identifier would be repeated.
func (p *streamProgress) MayResume() bool { return !p.unknown }

// dropReceived returns the given events without those at their start that the caller has.
func (p *streamProgress) dropReceived(events []byte) []byte {
	for len(events) > 0 {
		end := bytes.Index(events, eventEnd) + len(eventEnd)
		id, found := lastEventID(events[:end])
		if !found || !p.position.Includes(id) {
			return events
		}
		events = events[end:]
	}
	return nil
}

// lastEventID returns the identifier of the last of some whole events. It reports false if
// that has none or it is not a number.
func lastEventID(events []byte) (uint64, bool) {
	rest := bytes.TrimRight(events, "\n")
	for len(rest) > 0 {
		start := bytes.LastIndexByte(rest, '\n') + 1
		line := rest[start:]
		if len(line) == 0 { // the end of the event before
			return 0, false
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
		rest = rest[:max(0, start-1)]
	}
	return 0, false
}
