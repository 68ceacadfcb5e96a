package persimmoncart

import (
	"net/http"
	"time"
)

// A ForwardRequest is one caller attempt that an endpoint gets unchanged.
type ForwardRequest struct {
	Arrived     time.Time
	Body        []byte
	Deadline    time.Time       // when the caller leaves
	Generation  *GenerationSize // nil for a plain request
	Header      http.Header     // end to end, without what the instance sets itself
	Host        string
	ID          RequestID // of this attempt, chosen by the caller
	LastEventID uint64    // last event that the caller has of a resumed stream; zero for none
	Method      string
	Target      string // path and query as sent
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

// A GenerationSize is the size of a generation, as its caller states it.
type GenerationSize struct {
	ExpectedOutputTokens int // output tokens that the caller expects; zero if unknown
	MaxOutputTokens      int // highest number of output tokens
	Model                ModelName
	PromptTokens         int // prompt tokens
}

// ExpectedKVTokens returns the tokens that the generation is expected to hold in memory at
// its end. Callers' expectations are right at the median, so that those of
// several generations on one engine even out.
func (p *GenerationSize) ExpectedKVTokens() int {
	if p.ExpectedOutputTokens <= 0 {
		return p.PromptTokens + p.MaxOutputTokens/2
	}
	return p.PromptTokens + min(int(1.25*float64(p.ExpectedOutputTokens)), p.MaxOutputTokens)
}
