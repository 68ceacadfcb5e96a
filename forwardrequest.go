package persimmoncart

import (
	"net/http"
	"time"
)

// A ForwardRequest is one caller attempt that an endpoint gets unchanged.
type ForwardRequest struct {
	Arrived  time.Time
	Body     []byte
	Deadline time.Time   // when the caller leaves
	Header   http.Header // end to end, without what the instance sets itself
	Host     string
	ID       RequestID // of this attempt, chosen by the caller
	Last     uint64    // last event that the caller has of a resumed stream; zero for none
	Method   string
	Prompt   *Prompt // nil for a plain request
	Target   string  // path and query as sent
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

// A Prompt is the size of a generation, as its caller states it.
type Prompt struct {
	Expected int // output tokens that the caller expects; zero if unknown
	Limit    int // highest number of output tokens
	Model    ModelName
	Tokens   int // prompt tokens
}

// Total returns the tokens that the generation holds in memory at its end.
func (p *Prompt) Total() int { return p.Tokens + p.Limit }
