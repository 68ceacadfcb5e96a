package persimmoncart

import "strconv"

// Outcomes of a request.
const (
	OutcomeAnswered Outcome = iota + 1 // an endpoint answered it
	OutcomeNotRun                      // it was provably never run
	OutcomeUnknown                     // it was dispatched and no answer is known
)

// An Outcome says what is known about the effect of a request.
type Outcome uint8

// String returns the outcome's name in answers and logs.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not_run"
	case OutcomeUnknown:
		return "unknown"
	default:
		return "outcome(" + strconv.Itoa(int(o)) + ")"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) {
	return []byte(o.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns an
// *OutcomeError for the name of no outcome.
func (o *Outcome) UnmarshalText(text []byte) error {
	for _, p := range []Outcome{OutcomeAnswered, OutcomeNotRun, OutcomeUnknown} {
		if p.String() == string(text) {
			*o = p
			return nil
		}
	}
	return &OutcomeError{Value: string(text)}
}

// An OutcomeError reports the name of no outcome.
type OutcomeError struct {
	Value string
}

// Error implements error.
func (e *OutcomeError) Error() string {
	return "unknown outcome " + strconv.Quote(e.Value)
}
