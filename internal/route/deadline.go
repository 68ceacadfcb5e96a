package route

import "github.com/go-faster/errors"

// Causes of cancelled contexts, as returned by context.Cause.
var (
	errDeadline        = errors.New("request deadline passed")
	errHedged          = errors.New("the other hedged call completed first")
	errStalled         = errors.New("no token within the stall timeout")
	errTransferTimeout = errors.New("KV cache transfer timed out")
)
