package route

import "github.com/go-faster/errors"

// Causes of cancelled contexts.
var (
	errDeadline        = errors.New("request deadline passed")
	errHedged          = errors.New("the other call answered first")
	errStalled         = errors.New("no token within the stall timeout")
	errTransferTimeout = errors.New("transfer deadline passed")
)
