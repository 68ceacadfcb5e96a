package persimmoncart

import (
	"fmt"
	"time"
)

// Codes of refusals. They are part of the callers' API and values of a label of
// the refusal counter.
const (
	RefusalAccountLimited     RefusalCode = "account_limited"
	RefusalAccountUnknown     RefusalCode = "account_unknown"
	RefusalBodyInvalid        RefusalCode = "body_invalid"
	RefusalBodyTooLarge       RefusalCode = "body_too_large"
	RefusalCapacity           RefusalCode = "capacity"
	RefusalClaimed            RefusalCode = "claimed"
	RefusalDeadline           RefusalCode = "deadline"
	RefusalDraining           RefusalCode = "draining"
	RefusalEndpointFailed     RefusalCode = "endpoint_failed"
	RefusalEndpointInvalid    RefusalCode = "endpoint_invalid"
	RefusalHeadTooLarge       RefusalCode = "head_too_large"
	RefusalInternal           RefusalCode = "internal"
	RefusalKeyInvalid         RefusalCode = "key_invalid"
	RefusalKeyMissing         RefusalCode = "key_missing"
	RefusalMemory             RefusalCode = "memory" // no room for what the caller sends
	RefusalModelUnknown       RefusalCode = "model_unknown"
	RefusalNotReady           RefusalCode = "not_ready"
	RefusalPoolEmpty          RefusalCode = "pool_empty"
	RefusalProgress           RefusalCode = "progress" // the caller stopped to send or to read
	RefusalPromptQuarantined  RefusalCode = "prompt_quarantined"
	RefusalRequestQuarantined RefusalCode = "request_quarantined"
	RefusalRouteUnknown       RefusalCode = "route_unknown"
	RefusalSoftwareGone       RefusalCode = "software_gone"    // no endpoint has the version of the software that began the stream
	RefusalSoftwareUnknown    RefusalCode = "software_unknown" // it is not known which version of the software began the stream
	RefusalStoreDown          RefusalCode = "store_down"
	RefusalStreamBroken       RefusalCode = "stream_broken"
	RefusalTransferStalled    RefusalCode = "transfer_stalled"
)

// RefusalCodes are all codes, sorted.
var RefusalCodes = []RefusalCode{
	RefusalAccountLimited,
	RefusalAccountUnknown,
	RefusalBodyInvalid,
	RefusalBodyTooLarge,
	RefusalCapacity,
	RefusalClaimed,
	RefusalDeadline,
	RefusalDraining,
	RefusalEndpointFailed,
	RefusalEndpointInvalid,
	RefusalHeadTooLarge,
	RefusalInternal,
	RefusalKeyInvalid,
	RefusalKeyMissing,
	RefusalMemory,
	RefusalModelUnknown,
	RefusalNotReady,
	RefusalPoolEmpty,
	RefusalProgress,
	RefusalPromptQuarantined,
	RefusalRequestQuarantined,
	RefusalRouteUnknown,
	RefusalSoftwareGone,
	RefusalSoftwareUnknown,
	RefusalStoreDown,
	RefusalStreamBroken,
	RefusalTransferStalled,
}

// A RefusalCode identifies the cause of a refusal. Codes never change.
type RefusalCode string

// A Refusal is the error of a request that ends without the whole response.
type Refusal struct {
	Code       RefusalCode
	Err        error // cause for the logs; never sent to a caller
	Message    string
	Outcome    Outcome
	RetryAfter time.Duration // zero if a retry would not help
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Err != nil {
		return fmt.Sprintf("%s (%s): %s: %v", r.Code, r.Outcome, r.Message, r.Err)
	}
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// Reasons for another attempt. They are values of a label of the retry counter.
const (
	RetryEndpointDied    RetryReason = "endpoint_died"
	RetryEndpointRefused RetryReason = "endpoint_refused"
	RetryHedge           RetryReason = "hedge"
	RetryKVEvicted       RetryReason = "kv_evicted"
	RetryResume          RetryReason = "resume"
	RetrySlotLost        RetryReason = "slot_lost"
	RetryTransferStalled RetryReason = "transfer_stalled"
)

// RetryReasons are all reasons, sorted.
var RetryReasons = []RetryReason{
	RetryEndpointDied,
	RetryEndpointRefused,
	RetryHedge,
	RetryKVEvicted,
	RetryResume,
	RetrySlotLost,
	RetryTransferStalled,
}

// A RetryReason is the reason for another attempt of a request.
type RetryReason string
