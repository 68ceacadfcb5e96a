package persimmoncart

import "fmt"

// A HistoryError reports a watch from a version that the store no longer has the
// changes after. The caller lists the prefix and watches from the highest
// version it has seen; watching again from the same version fails again. It is
// wrapped in an *UnavailableError.
type HistoryError struct {
	From   Version
	Oldest Version // lowest version that a watch may start from
}

// Error implements error.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("history starts after version %d, later than %d", e.Oldest, e.From)
}
