package objectapi

import (
	"strconv"
	"strings"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

const (
	countersPath = "/-/counters"
	faultsPath   = "/-/faults"
	listPath     = "/v1/list"
	objectPath   = "/v1/objects/"
	watchPath    = "/v1/watch"
)

// Codes of error answers.
const (
	codeConflict    = "conflict"
	codeHistory     = "history"
	codeInvalid     = "invalid"
	codeNotFound    = "not_found"
	codeTooLarge    = "too_large"
	codeUnavailable = "unavailable"
)

// A wireFaults sets the faults of a Faulty.
type wireFaults struct {
	Delay transport.Duration `json:"delay,omitzero"` // of each call
	Down  bool               `json:"down,omitempty"`
	Drop  int                `json:"drop,omitempty"` // number of next writes whose requests are lost
	Lose  int                `json:"lose,omitempty"` // number of next writes whose answers are lost
}

// A wireList is the answer to a list call.
type wireList struct {
	Objects []wireObject `json:"objects"`
}

// A wireObject is an object or a watch event.
type wireObject struct {
	Deleted bool                  `json:"deleted,omitempty"`
	Key     string                `json:"key"`
	Value   []byte                `json:"value,omitempty"`
	Version persimmoncart.Version `json:"version"`
}

// A wireVersion is the answer to a write.
type wireVersion struct {
	Version persimmoncart.Version `json:"version"`
}

// formatETag returns the entity tag of a version.
func formatETag(v persimmoncart.Version) string {
	return strconv.Quote(strconv.FormatUint(uint64(v), 10))
}

// parseETag returns the version of an entity tag, or a *RequestError.
func parseETag(s string) (persimmoncart.Version, error) {
	v, err := strconv.ParseUint(strings.Trim(s, `"`), 10, 64)
	if err != nil {
		return 0, &RequestError{Reason: "no version in If-Match " + strconv.Quote(s)}
	}
	return persimmoncart.Version(v), nil
}
