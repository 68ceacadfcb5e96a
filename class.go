package persimmoncart

import "strconv"

// Classes of requests, most urgent first.
const (
	ClassInteractive Class = iota + 1 // somebody waits for the answer
	ClassBatch                        // nobody waits; the deadline counts
)

// A Class is the urgency of a request. Engines honour it as a priority.
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
// for the name of no class.
func (c *Class) UnmarshalText(text []byte) error {
	for _, d := range []Class{ClassInteractive, ClassBatch} {
		if d.String() == string(text) {
			*c = d
			return nil
		}
	}
	return &ClassError{Value: string(text)}
}

// A ClassError reports the name of no class.
type ClassError struct {
	Value string
}

// Error implements error.
func (e *ClassError) Error() string {
	return "unknown class " + strconv.Quote(e.Value)
}
