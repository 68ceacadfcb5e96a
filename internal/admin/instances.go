package admin

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	// maxConcurrentPolls bounds the calls that are open at the same time.
	maxConcurrentPolls = 32
	pollTimeout        = 2 * time.Second
)

// A InstancePoller asks the live instances for their versions.
type InstancePoller struct {
	InstanceList persimmoncart.InstanceList // nil asks only the known members
	LocalVersion func() uint64              // version in force here
	Members      persimmoncart.Members
	Timer        persimmoncart.Timer
	Versions     persimmoncart.ConfigVersions
}

// Poll returns the version in force on each live instance that is not to be
// skipped, by name.
func (f *InstancePoller) Poll(ctx context.Context, skip map[string]bool) []InstanceStatus {
	self := f.Members.Self()
	out := []InstanceStatus{{Centre: string(self.DataCentre), ID: string(self.ID), Region: string(self.Region), Version: f.LocalVersion()}}
	var mutex sync.Mutex
	var g errgroup.Group
	g.SetLimit(maxConcurrentPolls)
	for _, i := range f.liveInstances(ctx) {
		if skip[string(i.ID)] {
			continue
		}
		g.Go(func() error {
			s := InstanceStatus{Centre: string(i.DataCentre), ID: string(i.ID), Region: string(i.Region)}
			ctx, stop := timer.WithTimeout(ctx, f.Timer, pollTimeout, nil)
			defer stop()
			version, err := f.Versions.Version(ctx, i)
			if err != nil {
				s.Error = err.Error()
			}
			s.Version = version
			mutex.Lock()
			defer mutex.Unlock()
			out = append(out, s)
			return nil
		})
	}
	_ = g.Wait() // the functions return no errors
	slices.SortFunc(out, func(a, b InstanceStatus) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// liveInstances returns the other instances that are not leaving: the platform's list
// and the known members together, because the list lags.
func (f *InstancePoller) liveInstances(ctx context.Context) []persimmoncart.Instance {
	found := map[persimmoncart.InstanceID]persimmoncart.Instance{}
	if f.InstanceList != nil {
		// Without the list, the known members are asked.
		listed, _ := f.InstanceList.List(ctx)
		for _, l := range listed {
			if l.Instance != nil && !l.Instance.Leaving {
				found[l.Instance.ID] = *l.Instance
			}
		}
	}
	for _, m := range f.Members.View() {
		switch m.State {
		case persimmoncart.MemberDead, persimmoncart.MemberLeaving:
			delete(found, m.Instance.ID)
		default:
			found[m.Instance.ID] = m.Instance
		}
	}
	delete(found, f.Members.Self().ID)
	out := make([]persimmoncart.Instance, 0, len(found))
	for _, i := range found {
		out = append(out, i)
	}
	return out
}
