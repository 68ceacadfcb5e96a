package instancelist

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

var _ persimmoncart.InstanceList = (*Fake)(nil)

var errDown = errors.New("instance list is down")

// A Fake is an in-memory instance list. Set the exported fields before the first
// call.
//
// The first list is visible at once, and each later change after Lag.
type Fake struct {
	Lag   time.Duration // delay of changes
	Timer persimmoncart.Timer

	changes []timedList // oldest first; the first one is visible now
	down    bool
	mutex   sync.Mutex
}

// A timedList is a list and the time from which it is visible.
type timedList struct {
	list        []persimmoncart.ListEntry
	visibleFrom time.Time
}

// Change replaces the list with the result of change, which is called with a copy
// of the newest list.
func (f *Fake) Change(change func([]persimmoncart.ListEntry) []persimmoncart.ListEntry) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var newest []persimmoncart.ListEntry
	if n := len(f.changes); n > 0 {
		newest = slices.Clone(f.changes[n-1].list)
	}
	visibleFrom := f.Timer.Now()
	if len(f.changes) > 0 {
		visibleFrom = visibleFrom.Add(f.Lag)
	}
	f.changes = append(f.changes, timedList{list: change(newest), visibleFrom: visibleFrom})
	f.trim()
}

// List implements persimmoncart.InstanceList.
func (f *Fake) List(ctx context.Context) ([]persimmoncart.ListEntry, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	err := ctx.Err()
	if f.down {
		err = errDown
	}
	if err != nil {
		return nil, &persimmoncart.UnavailableError{Err: err, Operation: "list instances"}
	}
	f.trim()
	if len(f.changes) == 0 || f.changes[0].visibleFrom.After(f.Timer.Now()) {
		return nil, nil
	}
	return slices.Clone(f.changes[0].list), nil
}

// SetDown starts or ends an outage.
func (f *Fake) SetDown(down bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.down = down
}

// trim removes the lists before the one that is visible now. The mutex must be held.
func (f *Fake) trim() {
	now := f.Timer.Now()
	for len(f.changes) > 1 && !f.changes[1].visibleFrom.After(now) {
		f.changes = slices.Delete(f.changes, 0, 1)
	}
}
