package persimmoncart

import "strconv"

// Classes of requests, most urgent first.
const (
	ClassInteractive Class = iota + 1 // a user waits for the response
	ClassBatch                        // no user waits; the response is due by the deadline
)

// A Class is the urgency of a request. Engines use it as the request's priority.
type Class uint8

// String returns the class's name in configuration files.
func (c Class) String() string {
	switch c {
	case ClassBatch:
		return "batch"
	case ClassInteractive:
		return "interactive"
	default:
		return "class(" + strconv.Itoa(int(c)) + ")"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns a *ClassError
// for an unknown name.
func (c *Class) UnmarshalText(text []byte) error {
	for _, d := range []Class{ClassInteractive, ClassBatch} {
		if d.String() == string(text) {
			*c = d
			return nil
		}
	}
	return &ClassError{Value: string(text)}
}

// A ClassError reports an unknown class name.
type ClassError struct {
	Value string
}

// Error implements error.
func (e *ClassError) Error() string {
	return "unknown class " + strconv.Quote(e.Value)
}
