package persimmoncart

import "strconv"

// Outcomes of a request.
const (
	OutcomeAnswered Outcome = iota + 1 // an endpoint answered the request
	OutcomeNotRun                      // the request provably did not run
	OutcomeUnknown                     // the request was dispatched and has no known response
)

// An Outcome states whether a request ran, as far as the router can prove it.
type Outcome uint8

// String returns the outcome's name in responses and logs.
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
// *OutcomeError for an unknown name.
func (o *Outcome) UnmarshalText(text []byte) error {
	for _, p := range []Outcome{OutcomeAnswered, OutcomeNotRun, OutcomeUnknown} {
		if p.String() == string(text) {
			*o = p
			return nil
		}
	}
	return &OutcomeError{Value: string(text)}
}

// An OutcomeError reports an unknown outcome name.
type OutcomeError struct {
	Value string
}

// Error implements error.
func (e *OutcomeError) Error() string {
	return "unknown outcome " + strconv.Quote(e.Value)
}
