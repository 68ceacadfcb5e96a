package persimmoncart

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"time"
)

// fingerprintBytes is the length of a fingerprint before its encoding.
const fingerprintBytes = 16

// A ByteHold counts bytes that a request makes the process hold.
type ByteHold interface {
	// Give gives back n bytes.
	Give(n int)
	// Take takes n bytes and reports whether there is room for them.
	Take(n int) bool
}

// A ForwardRequest is one attempt of a caller, which an endpoint receives
// unchanged.
type ForwardRequest struct {
	Arrived    time.Time
	Body       []byte
	Deadline   time.Time       // when the caller stops waiting
	Generation *GenerationSize // nil for a plain request
	Header     http.Header     // end-to-end headers, without those that the instance sets itself
	Host       string
	ID         RequestID // of this attempt, chosen by the caller
	Key        KeyHash   // of the caller's account; zero for none
	Memory     ByteHold  // for the response; nil if nobody counts
	Method     string
	Position   StreamPosition // of the caller in a stream that it resumes
	Resumes    RequestID      // attempt that brought the first event of a resumed stream; empty if the caller does not state it
	Target     string         // path and query as received
}

// Fingerprint returns a hash of what is asked for and with which credentials, which is
// the same in each attempt of a request and in no other request. The address that an
// attempt comes from does not count.
func (r *ForwardRequest) Fingerprint() string {
	h := sha256.New()
	for _, field := range []string{r.Header.Get("Authorization"), r.Method, r.Host, r.Target} {
		// With the length, no two lists of fields give the same bytes.
		_ = binary.Write(h, binary.BigEndian, uint64(len(field))) // writes to a hash do not fail
		_, _ = h.Write([]byte(field))
	}
	if r.Key != (KeyHash{}) {
		_, _ = h.Write(r.Key[:])
	}
	_, _ = h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
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
	PromptParts          []RequestPart // shared parts of the prompt in order, without the request's own last part
	PromptTokens         int
}
