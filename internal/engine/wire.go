package engine

import (
	"net/netip"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// CountersPath is the path at which the counters of a Fake are served as JSON.
const CountersPath = "/-/counters"

// Paths of the engine protocol; those below /-/ control a Fake.
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

// Codes of error responses.
const (
	codeFailed      = "failed"
	codeKVMissing   = "kv_missing"
	codeRefused     = "refused"
	codeUnavailable = "unavailable"
)

// A KV describes exported KV cache that an engine transfers to another.
type KV struct {
	Attempt   persimmoncart.AttemptID `json:"attempt"`
	Computed  int                     `json:"computed"`  // tokens that were not in the prefix cache
	Generated int                     `json:"generated"` // generated tokens that it covers
	Prompt    string                  `json:"prompt"`
	Size      int64                   `json:"size"` // bytes
}

// A wireAttempt is a request that applies to one attempt.
type wireAttempt struct {
	Attempt persimmoncart.AttemptID `json:"attempt"`
}

// A wireCacheEvent is a persimmoncart.CacheEvent.
type wireCacheEvent struct {
	Evicted  bool   `json:"evicted,omitempty"`
	Prefix   uint64 `json:"prefix,string"`
	Sequence uint64 `json:"seq"`
}

// A wireDecode is a decode request.
type wireDecode struct {
	Attempt         persimmoncart.AttemptID `json:"attempt"`
	Class           persimmoncart.Class     `json:"class,omitzero"`
	Deadline        time.Time               `json:"deadline,omitzero"`
	MaxOutputTokens int                     `json:"limit"`
	Start           int                     `json:"start,omitempty"`
	Tag             wireTag                 `json:"tag"`
}

// A wireImport is an import request.
type wireImport struct {
	Attempt  persimmoncart.AttemptID `json:"attempt"`
	Blocks   int                     `json:"blocks"`
	Deadline time.Time               `json:"deadline,omitzero"`
	From     netip.AddrPort          `json:"from"`
	Handle   string                  `json:"handle"`
	Size     int64                   `json:"size"`
	Tag      wireTag                 `json:"tag"`
}

// A wireOrder is a persimmoncart.Order.
type wireOrder struct {
	Fence  uint64                   `json:"fence,omitempty"`
	Kind   persimmoncart.OrderKind  `json:"kind"`
	Model  persimmoncart.ModelName  `json:"model,omitempty"`
	Role   persimmoncart.Role       `json:"role,omitzero"`
	Sender persimmoncart.InstanceID `json:"sender"`
}

// A wirePrefill is a prefill request.
type wirePrefill struct {
	Attempt   persimmoncart.AttemptID `json:"attempt"`
	Class     persimmoncart.Class     `json:"class,omitzero"`
	Deadline  time.Time               `json:"deadline,omitzero"`
	Generated []string                `json:"generated,omitempty"`
	Model     persimmoncart.ModelName `json:"model"`
	Prompt    string                  `json:"prompt"`
	Tag       wireTag                 `json:"tag"`
}

// A wirePrefillResult is the response to a prefill request.
type wirePrefillResult struct {
	Attempt      persimmoncart.AttemptID `json:"attempt"`
	CachedTokens int                     `json:"cached"`
	Handle       string                  `json:"handle"`
	Size         int64                   `json:"size"`
	Tokens       int                     `json:"tokens"`
}

// A wireTag identifies the run of the instance that started a work item.
type wireTag struct {
	Incarnation persimmoncart.Incarnation `json:"incarnation"`
	Instance    persimmoncart.InstanceID  `json:"instance"`
}

// A wireToken is one token of a decode response.
type wireToken struct {
	Attempt persimmoncart.AttemptID `json:"attempt"`
	Index   int                     `json:"index"`
	Text    string                  `json:"text"`
	Last    bool                    `json:"last,omitempty"`
}

// A wireWorkItem is one element of a wireWorkList.
type wireWorkItem struct {
	Attempt  persimmoncart.AttemptID `json:"attempt"`
	Blocks   int                     `json:"blocks"`
	Deadline time.Time               `json:"deadline,omitzero"`
	Tag      wireTag                 `json:"tag"`
}

// A wireWorkList is the response to a request for the work list.
type wireWorkList struct {
	Work []wireWorkItem `json:"work"`
}
