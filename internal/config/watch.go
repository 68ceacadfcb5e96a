package config

import (
	"context"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/rendezvous"
)

const (
	// maxRegionWatches bounds the waiting watches of a region; one is kept free
	// for the time in which a watcher changes.
	maxRegionWatches = 8
	// centreWatches is the number of watchers of a data centre in small regions.
	centreWatches = 2
	watchCheck    = time.Second
	// headPoll is the period in which a watcher reads the head besides its
	// watch, which ends a watch that hangs without an error.
	headPoll = 5 * time.Second
	// watcherDelay gives a former watcher time to see that it is no longer one.
	watcherDelay = 2 * time.Second
)

// watchers returns the watchers of this data centre, by rank.
func (d *Distributor) watchers() []persimmoncart.InstanceID {
	self := d.Members.Self()
	centres := []persimmoncart.DataCentre{self.DataCentre}
	cell := []persimmoncart.InstanceID{}
	if !self.Leaving {
		cell = append(cell, self.ID)
	}
	for _, m := range d.Members.View() {
		if m.Instance.Region == self.Region && !slices.Contains(centres, m.Instance.DataCentre) {
			centres = append(centres, m.Instance.DataCentre)
		}
		if m.Instance.DataCentre == self.DataCentre && m.Instance.ID != self.ID && m.State == persimmoncart.MemberAlive {
			cell = append(cell, m.Instance.ID)
		}
	}
	cell = rendezvous.Rank("config/"+string(self.DataCentre), cell)
	count := centreWatches
	if len(centres)*centreWatches >= maxRegionWatches {
		count = 1
	}
	return cell[:min(count, len(cell))]
}

// watcherRank returns this instance's rank among the watchers, or -1.
func (d *Distributor) watcherRank() int {
	return slices.Index(d.watchers(), d.Members.Self().ID)
}

// watch keeps a watch on the head while this instance is a watcher.
func (d *Distributor) watch(ctx context.Context) {
	since := time.Time{}
	for ctx.Err() == nil {
		now := d.Timer.Now()
		switch {
		case d.watcherRank() < 0:
			since = time.Time{}
		case since.IsZero():
			since = now
		}
		if !since.IsZero() && now.Sub(since) >= watcherDelay && d.storeAllowed() {
			d.watchOnce(ctx)
		}
		if d.Timer.Sleep(ctx, watchCheck) != nil {
			return
		}
	}
}

// watchOnce reads the head and follows it until the watch breaks or this
// instance is no longer a watcher.
func (d *Distributor) watchOnce(ctx context.Context) {
	if d.readHead(ctx) != nil {
		return
	}
	d.startSync()
	d.mutex.Lock()
	from := d.head.store
	d.mutex.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	late := d.Timer.After(callTimeout, func(time.Time) { cancel() })
	w, err := d.Archive.Store.Watch(ctx, headKey, from)
	late()
	if err != nil {
		d.noteStore(err)
		return
	}
	d.metrics.watches.Inc()
	defer d.metrics.watches.Dec()
	defer func() {
		if err := w.Close(); err != nil {
			d.Log.Debug().Err(err).Msg("close watch")
		}
	}()
	d.spawn(func(context.Context) { d.guard(ctx, cancel, w) })
	for {
		ev, err := w.Next(ctx)
		if err != nil {
			if ctx.Err() == nil {
				d.noteStore(err)
			}
			return
		}
		if ev.Deleted || ev.Object.Key != headKey {
			continue
		}
		h, err := decodeHead(ev.Object)
		if err != nil {
			d.Log.Error().Err(err).Msg("watch of the head")
			continue
		}
		d.sawHead(h)
		d.startSync()
	}
}

// guard ends a watch when this instance is no longer a watcher, and when the
// store does not answer a read, because a cut path may leave the watch hanging.
func (d *Distributor) guard(ctx context.Context, cancel context.CancelFunc, w persimmoncart.Watch) {
	polled := d.Timer.Now()
	period := d.between(headPoll*3/4, headPoll*5/4)
	for d.Timer.Sleep(ctx, watchCheck) == nil {
		end := d.watcherRank() < 0
		if now := d.Timer.Now(); !end && now.Sub(polled) >= period {
			polled = now
			end = d.readHead(ctx) != nil
			d.startSync()
		}
		if end {
			cancel()
			if err := w.Close(); err != nil {
				d.Log.Debug().Err(err).Msg("close watch")
			}
			return
		}
	}
}
