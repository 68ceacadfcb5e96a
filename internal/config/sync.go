package config

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// copyAttempts bounds the restarts of a paged copy whose version changed.
	copyAttempts = 10
	// bootstrapPeers is the number of cell peers asked for their version at start.
	bootstrapPeers = 3
	// pushPeers is the number of cell peers to which a watcher pushes. At 10,000
	// changes a day of 700 bytes, a push to all ten would take 800 B/s.
	pushPeers = 3
	// storeGrace is the time in which instances that do not watch leave new
	// versions to the watchers.
	storeGrace = 4 * time.Second
	// storePauseLow and storePauseHigh bound the pause after a failed call of
	// the store, so that instances do not return together. The longest pause
	// leaves 3 s of the 11 s bound for the rest of the way.
	storePauseLow  = time.Second
	storePauseHigh = 8 * time.Second
)

// bootstrap takes the first version from the peers or the store, whichever is
// newer, and then reports ready.
func (d *Distributor) bootstrap(ctx context.Context) {
	for ctx.Err() == nil {
		answered := d.askPeers(ctx)
		if err := d.readHead(ctx); err == nil {
			answered = true
		}
		for answered && d.held().copied.Version < d.Highest() && ctx.Err() == nil {
			if !d.sync(ctx) {
				break
			}
		}
		if answered && d.held().copied.Version >= d.Highest() {
			d.ready.Store(true)
			d.Log.Info().Uint64("version", d.held().copied.Version).Msg("first configuration in force")
			return
		}
		if d.Timer.Sleep(ctx, d.between(500*time.Millisecond, 1500*time.Millisecond)) != nil {
			return
		}
	}
}

// askPeers asks some members for their digests and reports whether one answered.
func (d *Distributor) askPeers(ctx context.Context) bool {
	near, far := d.others()
	d.shuffle(near)
	d.shuffle(far)
	answered := 0
	for _, m := range append(near, far...) {
		if answered >= bootstrapPeers || ctx.Err() != nil {
			break
		}
		if d.exchange(ctx, m) == nil {
			answered++
		}
	}
	return answered > 0
}

// exchange exchanges digests with a member.
func (d *Distributor) exchange(ctx context.Context, to persimmoncart.Instance) error {
	return d.call(ctx, callTimeout, func(ctx context.Context) error {
		digest, err := d.Peers.Digest(ctx, to, d.Digest())
		if err == nil {
			d.Heard(to, digest)
		}
		return err
	})
}

// gossip exchanges digests with members of other data centres until ctx is done.
func (d *Distributor) gossip(ctx context.Context) {
	for d.Timer.Sleep(ctx, d.between(gossipPeriod/2, gossipPeriod*3/2)) == nil {
		if to, ok := d.outsider(); ok {
			err := d.exchange(ctx, to)
			if to.Region != d.Members.Self().Region {
				d.mark(to.Region, err)
			}
		}
		d.startSync()
	}
}

// mark remembers whether a region answered.
func (d *Distributor) mark(region persimmoncart.Region, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.failed == nil {
		d.failed = map[persimmoncart.Region]time.Time{}
	}
	if err == nil {
		delete(d.failed, region)
	} else {
		d.failed[region] = d.Timer.Now()
	}
}

// outsider returns a random member of another data centre.
func (d *Distributor) outsider() (persimmoncart.Instance, bool) {
	self := d.Members.Self()
	_, far := d.others()
	now := d.Timer.Now()
	d.mutex.Lock()
	var region, remote []persimmoncart.Instance
	for _, m := range far {
		if m.Region == self.Region {
			region = append(region, m)
		} else if at, failed := d.failed[m.Region]; !failed || now.Sub(at) > regionPause {
			remote = append(remote, m)
		}
	}
	d.mutex.Unlock()
	if len(region) == 0 || (len(remote) > 0 && d.random() < remoteShare) {
		region = remote
	}
	if len(region) == 0 {
		return persimmoncart.Instance{}, false
	}
	return region[min(int(d.random()*float64(len(region))), len(region)-1)], true
}

// others returns the live members of this data centre and of others.
func (d *Distributor) others() (near, far []persimmoncart.Instance) {
	if d.Peers == nil {
		return nil, nil // an instance on its own
	}
	self := d.Members.Self()
	for _, m := range d.Members.View() {
		if m.Instance.ID == self.ID || m.State != persimmoncart.MemberAlive {
			continue
		}
		if m.Instance.DataCentre == self.DataCentre {
			near = append(near, m.Instance)
		} else {
			far = append(far, m.Instance)
		}
	}
	return near, far
}

// shuffle puts members in random order.
func (d *Distributor) shuffle(s []persimmoncart.Instance) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.Random.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}

// startSync starts a synchronisation if a newer version is known and none runs.
func (d *Distributor) startSync() {
	if d.Highest() <= d.held().copied.Version {
		return
	}
	d.spawn(func(ctx context.Context) { d.sync(ctx) })
}

// sync takes newer versions from peers, or from the store if no peer has them.
// It reports whether the version went forward. One sync runs at a time.
func (d *Distributor) sync(ctx context.Context) bool {
	d.init()
	d.mutex.Lock()
	if d.syncing {
		d.mutex.Unlock()
		return false
	}
	d.syncing = true
	d.mutex.Unlock()
	defer func() {
		d.mutex.Lock()
		d.syncing = false
		d.mutex.Unlock()
	}()
	forward := false
	for d.held().copied.Version < d.Highest() && ctx.Err() == nil {
		if !d.syncPeers(ctx) && !d.syncStore(ctx) {
			break
		}
		forward = true
	}
	return forward
}

// syncPeers pulls from the peers that were heard to have a newer version.
func (d *Distributor) syncPeers(ctx context.Context) bool {
	for {
		s, ok := d.bestSource()
		if !ok {
			return false
		}
		have := d.held().copied.Version
		err := d.pull(ctx, s.instance)
		if d.held().copied.Version > have {
			return true
		}
		if err != nil {
			d.Log.Debug().Err(err).Str("peer", string(s.instance.ID)).Msg("pull failed")
		}
		d.mutex.Lock()
		delete(d.sources, s.instance.ID)
		d.mutex.Unlock()
	}
}

// bestSource returns one of the sources with the newest version, at random, so
// that instances that start together do not all ask the same peer.
func (d *Distributor) bestSource() (source, bool) {
	have := d.held().copied.Version
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var best []source
	for _, s := range d.sources {
		if s.version <= have || (len(best) > 0 && s.version < best[0].version) {
			continue
		}
		if len(best) > 0 && s.version > best[0].version {
			best = best[:0]
		}
		best = append(best, s)
	}
	if len(best) == 0 {
		return source{}, false
	}
	// The order of a map must not show in a run with a seed.
	slices.SortFunc(best, func(a, b source) int { return strings.Compare(string(a.instance.ID), string(b.instance.ID)) })
	return best[d.Random.IntN(len(best))], true
}

// pull takes change sets, or a full copy, from a peer.
func (d *Distributor) pull(ctx context.Context, from persimmoncart.Instance) error {
	for {
		have := d.held().copied.Version
		var got persimmoncart.ConfigPulled
		err := d.call(ctx, pullTimeout, func(ctx context.Context) (err error) {
			got, err = d.Peers.Pull(ctx, from, persimmoncart.ConfigPull{Have: have})
			return err
		})
		if err != nil {
			return err
		}
		if d.install(got.Sets) {
			d.metrics.sources.WithLabelValues(sourcePull).Inc()
			if got.More {
				continue
			}
			return nil
		}
		if got.Digest.Version <= d.held().copied.Version {
			return nil
		}
		return d.pullCopy(ctx, from)
	}
}

// pullCopy takes a full copy, page by page. The pages come from all members of the
// region in turn, because a copy of the plan's size from one peer would exceed that peer's
// bound on control traffic for some minutes. Pages of another version than the
// first one's are asked from the first peer again.
func (d *Distributor) pullCopy(ctx context.Context, from persimmoncart.Instance) error {
	near, far := d.others()
	for _, m := range far {
		if m.Region == d.Members.Self().Region {
			near = append(near, m)
		}
	}
	if len(near) == 0 {
		near = far // the whole region starts anew
	}
	d.shuffle(near)
	for range copyAttempts {
		first, err := d.page(ctx, from, "")
		if err != nil {
			return err
		}
		changes, complete := d.pages(ctx, from, near, first)
		if !complete {
			continue // the first peer went forward or left
		}
		state := (&State{}).With(changes)
		if state.Hash() != first.State {
			return errors.Wrapf(&CorruptError{Key: "full copy"}, "pull from %s", from.ID)
		}
		if d.replace(&Copy{Hash: first.Hash, State: state, Version: first.Digest.Version}) {
			d.metrics.sources.WithLabelValues(sourceCopy).Inc()
		}
		return nil
	}
	return errors.Errorf("pull from %s: no copy of one version in %d attempts", from.ID, copyAttempts)
}

// pages takes the pages after the first one. It reports whether all of them
// belong to the first one's version.
func (d *Distributor) pages(ctx context.Context, from persimmoncart.Instance, near []persimmoncart.Instance, first persimmoncart.ConfigPulled) ([]persimmoncart.ConfigChange, bool) {
	var changes []persimmoncart.ConfigChange
	got := first
	for turn := 0; ; turn++ {
		for _, o := range got.Objects {
			changes = append(changes, persimmoncart.ConfigChange{After: o.Value, Key: o.Key})
		}
		if !got.More || len(got.Objects) == 0 {
			return changes, true
		}
		after := got.Objects[len(got.Objects)-1].Key
		peer := from
		if len(near) > 0 {
			peer = near[turn%len(near)]
		}
		next, err := d.page(ctx, peer, after)
		if (err != nil || next.Hash != first.Hash) && peer.ID != from.ID {
			next, err = d.page(ctx, from, after)
		}
		if err != nil || next.Hash != first.Hash {
			return nil, false
		}
		got = next
	}
}

// page asks a peer for the page after a key.
func (d *Distributor) page(ctx context.Context, from persimmoncart.Instance, after string) (got persimmoncart.ConfigPulled, err error) {
	err = d.call(ctx, pullTimeout, func(ctx context.Context) (err error) {
		got, err = d.Peers.Pull(ctx, from, persimmoncart.ConfigPull{After: after, Full: true})
		return err
	})
	return got, err
}

// syncStore takes newer versions from the store.
func (d *Distributor) syncStore(ctx context.Context) bool {
	have := d.held().copied
	d.mutex.Lock()
	h := d.head
	d.mutex.Unlock()
	if !d.storeAllowed() || !d.storeTurn() {
		return false
	}
	if h == nil || h.Version < d.Highest() {
		if d.readHead(ctx) != nil {
			return false
		}
		d.mutex.Lock()
		h = d.head
		d.mutex.Unlock()
	}
	if h.Version <= have.Version {
		return false
	}
	if have.Version > 0 && h.names(have.Version+1) {
		return d.syncSets(ctx, h)
	}
	var c *Copy
	err := d.call(ctx, copyTimeout, func(ctx context.Context) (err error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer d.Timer.Subscribe(time.Second, func(time.Time) {
			if _, found := d.bestSource(); found {
				cancel() // a peer has the version by now
			}
		})()
		c, err = d.Archive.Copy(ctx, h, have)
		return err
	})
	d.noteStore(err)
	if err != nil || !d.replace(c) {
		return false
	}
	d.metrics.sources.WithLabelValues(sourceStore).Inc()
	return true
}

// syncSets takes change sets from the store, each into force as it arrives. It
// ends early when a peer has a newer version: with a slow store, the change sets
// of a long outage would take longer one by one than all of them from a peer.
func (d *Distributor) syncSets(ctx context.Context, h *Head) bool {
	var taken []persimmoncart.ConfigChangeSet
	for have := d.held().copied.Version; have < h.Version; have = d.held().copied.Version {
		if _, found := d.bestSource(); found && len(taken) > 0 {
			break
		}
		var s persimmoncart.ConfigChangeSet
		err := d.call(ctx, callTimeout, func(ctx context.Context) (err error) {
			s, err = d.Archive.next(ctx, h, have)
			return err
		})
		d.noteStore(err)
		if err != nil || !d.install([]persimmoncart.ConfigChangeSet{s}) {
			break
		}
		taken = append(taken, s)
	}
	if len(taken) == 0 {
		return false
	}
	d.metrics.sources.WithLabelValues(sourceStore).Inc()
	if d.watcherRank() >= 0 {
		d.push(taken)
	}
	return true
}

// readHead reads the head and remembers its version as seen.
func (d *Distributor) readHead(ctx context.Context) error {
	if !d.storeAllowed() {
		return &persimmoncart.UnavailableError{Err: errors.New("paused after a failure"), Op: "read head"}
	}
	err := d.call(ctx, callTimeout, func(ctx context.Context) error {
		h, err := d.Archive.Head(ctx)
		if err == nil {
			d.sawHead(h)
		}
		return err
	})
	d.noteStore(err)
	return err
}

// sawHead remembers a head.
func (d *Distributor) sawHead(h *Head) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.head == nil || h.Version >= d.head.Version {
		d.head = h
	}
	d.saw(h.Version)
}

// storeAllowed reports whether the pause after a failed call is over.
func (d *Distributor) storeAllowed() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return !d.Timer.Now().Before(d.storeAt)
}

// storeTurn reports whether this instance may read versions from the store:
// watchers at once, others only when the peers have not had them for a while.
// Without it, all instances would read everything when all start together.
func (d *Distributor) storeTurn() bool {
	if d.watcherRank() >= 0 {
		return true
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.Timer.Now().Sub(d.lagging) >= storeGrace
}

// noteStore starts a pause after a failed call.
func (d *Distributor) noteStore(err error) {
	if err == nil {
		return
	}
	pause := d.between(storePauseLow, storePauseHigh)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.storeAt = d.Timer.Now().Add(pause)
}

// push gives change sets to some cell peers. The others hear of the version with
// the digests of probes and pull it from whoever has it, which spreads the
// bytes over the cell instead of loading the watcher.
func (d *Distributor) push(sets []persimmoncart.ConfigChangeSet) {
	if len(sets) == 0 {
		return
	}
	near, _ := d.others()
	d.shuffle(near)
	for _, m := range near[:min(pushPeers, len(near))] {
		d.spawn(func(ctx context.Context) {
			err := d.call(ctx, callTimeout, func(ctx context.Context) error {
				digest, err := d.Peers.Push(ctx, m, sets)
				if err == nil {
					d.Heard(m, digest)
				}
				return err
			})
			if err != nil {
				d.Log.Debug().Err(err).Str("peer", string(m.ID)).Msg("push failed")
			}
			d.metrics.pushes.Inc()
		})
	}
}
