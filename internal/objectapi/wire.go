package objectapi

import (
	"strconv"
	"strings"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// Paths of the object API; those below /-/ control a fake.
const (
	countersPath = "/-/counters"
	faultsPath   = "/-/faults"
	listPath     = "/v1/list"
	objectPath   = "/v1/objects/"
	watchPath    = "/v1/watch"
)

// Codes of error responses.
const (
	codeConflict    = "conflict"
	codeHistory     = "history"
	codeInvalid     = "invalid"
	codeNotFound    = "not_found"
	codeTooLarge    = "too_large"
	codeUnavailable = "unavailable"
)

// A wireFaults is a request to set the faults of a Faulty.
type wireFaults struct {
	Delay transport.Duration `json:"delay,omitzero"` // delay of each call
	Down  bool               `json:"down,omitempty"`
	Drop  int                `json:"drop,omitempty"` // number of writes whose requests are dropped
	Lose  int                `json:"lose,omitempty"` // number of writes whose responses are lost
}

// A wireList is the response to a list request.
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

// A wireVersion is the response to a write.
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
