package persimmoncart

import (
	"net/http"
	"time"
)

// A ForwardRequest is one attempt of a caller, which an endpoint receives
// unchanged.
type ForwardRequest struct {
	Arrived     time.Time
	Body        []byte
	Deadline    time.Time       // when the caller stops waiting
	Generation  *GenerationSize // nil for a plain request
	Header      http.Header     // end-to-end headers, without those that the instance sets itself
	Host        string
	ID          RequestID // of this attempt, chosen by the caller
	LastEventID uint64    // last event of a resumed stream that the caller received; zero for none
	Method      string
	Target      string // path and query as received
}

// Path returns the path of the request without its query.
func (r *ForwardRequest) Path() string {
	for i := range len(r.Target) {
		if r.Target[i] == '?' {
			return r.Target[:i]
		}
	}
	return r.Target
}

// A GenerationSize is the size of a generation as stated by its caller.
type GenerationSize struct {
	ExpectedOutputTokens int // zero if the caller does not state it
	MaxOutputTokens      int
	Model                ModelName
	PromptParts          []PromptPart // shared parts of the prompt in order, without the request's own last part
	PromptTokens         int
}
