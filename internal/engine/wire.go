package engine

import (
	"net/netip"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// CountersPath serves the counters of a Fake as a JSON object.
const CountersPath = "/-/counters"

const (
	cachePath   = "/v1/cache"
	cancelPath  = "/v1/cancel"
	decodePath  = "/v1/decode"
	faultsPath  = "/-/faults"
	importPath  = "/v1/import"
	kvPath      = "/v1/kv"
	loadPath    = "/v1/load"
	orderPath   = "/v1/order"
	prefillPath = "/v1/prefill"
	releasePath = "/v1/release"
	workPath    = "/v1/work"
)

// Codes of error answers.
const (
	codeFailed      = "failed"
	codeKVMissing   = "kv_missing"
	codeRefused     = "refused"
	codeUnavailable = "unavailable"
)

// A KV is the exported KV cache of a prompt, as one engine gives it to another.
type KV struct {
	Attempt   persimmoncart.AttemptID `json:"attempt"`
	Computed  int                     `json:"computed"`  // tokens that were not in the prefix cache
	Generated int                     `json:"generated"` // tokens of the answer that it covers
	Prompt    string                  `json:"prompt"`
	Size      int64                   `json:"size"` // bytes
}

// A wireAttempt names one attempt.
type wireAttempt struct {
	Attempt persimmoncart.AttemptID `json:"attempt"`
}

// A wireCacheEvent is a change of the prefix cache.
type wireCacheEvent struct {
	Evicted  bool   `json:"evicted,omitempty"`
	Prefix   uint64 `json:"prefix,string"`
	Sequence uint64 `json:"seq"`
}

// A wireDecode is a request to decode.
type wireDecode struct {
	Attempt         persimmoncart.AttemptID `json:"attempt"`
	Class           persimmoncart.Class     `json:"class,omitzero"`
	Deadline        time.Time               `json:"deadline,omitzero"`
	MaxOutputTokens int                     `json:"limit"`
	Start           int                     `json:"start,omitempty"`
	Tag             wireTag                 `json:"tag"`
}

// A wireImport is a request to import KV cache.
type wireImport struct {
	Attempt  persimmoncart.AttemptID `json:"attempt"`
	Blocks   int                     `json:"blocks"`
	Deadline time.Time               `json:"deadline,omitzero"`
	From     netip.AddrPort          `json:"from"`
	Handle   string                  `json:"handle"`
	Size     int64                   `json:"size"`
	Tag      wireTag                 `json:"tag"`
}

// A wireOrder is an order.
type wireOrder struct {
	Fence  uint64                   `json:"fence,omitempty"`
	Kind   persimmoncart.OrderKind  `json:"kind"`
	Model  persimmoncart.ModelName  `json:"model,omitempty"`
	Role   persimmoncart.Role       `json:"role,omitzero"`
	Sender persimmoncart.InstanceID `json:"sender"`
}

// A wirePrefill is a request to prefill.
type wirePrefill struct {
	Attempt   persimmoncart.AttemptID `json:"attempt"`
	Class     persimmoncart.Class     `json:"class,omitzero"`
	Deadline  time.Time               `json:"deadline,omitzero"`
	Generated []string                `json:"generated,omitempty"`
	Model     persimmoncart.ModelName `json:"model"`
	Prompt    string                  `json:"prompt"`
	Tag       wireTag                 `json:"tag"`
}

// A wirePrefillResult is the answer to a request to prefill.
type wirePrefillResult struct {
	Attempt      persimmoncart.AttemptID `json:"attempt"`
	CachedTokens int                     `json:"cached"`
	Handle       string                  `json:"handle"`
	Size         int64                   `json:"size"`
	Tokens       int                     `json:"tokens"`
}

// A wireTag names who started a piece of work.
type wireTag struct {
	Incarnation persimmoncart.Incarnation `json:"incarnation"`
	Instance    persimmoncart.InstanceID  `json:"instance"`
}

// A wireToken is one generated token.
type wireToken struct {
	Attempt persimmoncart.AttemptID `json:"attempt"`
	Index   int                     `json:"index"`
	Text    string                  `json:"text"`
	Last    bool                    `json:"last,omitempty"`
}

// A wireWorkItem is one piece of work.
type wireWorkItem struct {
	Attempt  persimmoncart.AttemptID `json:"attempt"`
	Blocks   int                     `json:"blocks"`
	Deadline time.Time               `json:"deadline,omitzero"`
	Tag      wireTag                 `json:"tag"`
}

// A wireWorkList is the answer to a request for the list of work.
type wireWorkList struct {
	Work []wireWorkItem `json:"work"`
}
