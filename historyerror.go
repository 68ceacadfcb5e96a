package persimmoncart

import "fmt"

// A HistoryError reports that the store no longer keeps the changes since the
// version that a watch was to start from. The caller lists the prefix and watches
// from the highest version that it has received; watching from the same version
// again fails again. The error is wrapped in an *UnavailableError.
type HistoryError struct {
	From   Version
	Oldest Version // lowest version that a watch may start from
}

// Error implements error.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("history starts after version %d, later than %d", e.Oldest, e.From)
}
