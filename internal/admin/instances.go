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
	// maxConcurrentPolls is the maximum number of concurrent calls to other
	// instances.
	maxConcurrentPolls = 32
	pollTimeout        = 2 * time.Second
)

// InstancePoller requests the configuration versions in force from the live
// instances.
type InstancePoller struct {
	InstanceList persimmoncart.InstanceList // if nil, only known members are polled
	LocalVersion func() uint64              // version in force on this instance
	Members      persimmoncart.Members
	Timer        persimmoncart.Timer
	Versions     persimmoncart.ConfigVersions
}

// Poll returns the version in force on this instance and on each live one whose ID is
// not in skip, sorted by ID. The status of an instance that does not respond in time
// has an Error.
func (p *InstancePoller) Poll(ctx context.Context, skip map[string]bool) []InstanceStatus {
	self := p.Members.Self()
	out := []InstanceStatus{{DataCentre: string(self.DataCentre), ID: string(self.ID), Region: string(self.Region), Version: p.LocalVersion()}}
	var mutex sync.Mutex
	var g errgroup.Group
	g.SetLimit(maxConcurrentPolls)
	for _, i := range p.liveInstances(ctx) {
		if skip[string(i.ID)] {
			continue
		}
		g.Go(func() error {
			s := InstanceStatus{DataCentre: string(i.DataCentre), ID: string(i.ID), Region: string(i.Region)}
			ctx, stop := timer.WithTimeout(ctx, p.Timer, pollTimeout, nil)
			defer stop()
			version, err := p.Versions.Version(ctx, i)
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

// liveInstances returns the other instances that are not leaving. It merges the
// platform's list with the known members, because the list lags.
func (p *InstancePoller) liveInstances(ctx context.Context) []persimmoncart.Instance {
	found := map[persimmoncart.InstanceID]persimmoncart.Instance{}
	if p.InstanceList != nil {
		// If the list is unavailable, only known members are polled.
		listed, _ := p.InstanceList.List(ctx)
		for _, l := range listed {
			if l.Instance != nil && !l.Instance.Leaving {
				found[l.Instance.ID] = *l.Instance
			}
		}
	}
	for _, m := range p.Members.View() {
		switch m.State {
		case persimmoncart.MemberDead, persimmoncart.MemberLeaving:
			delete(found, m.Instance.ID)
		default:
			found[m.Instance.ID] = m.Instance
		}
	}
	delete(found, p.Members.Self().ID)
	out := make([]persimmoncart.Instance, 0, len(found))
	for _, i := range found {
		out = append(out, i)
	}
	return out
}
