package config_test

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// A cell connects distributors directly.
type cell struct {
	peers sync.Map // by persimmoncart.InstanceID
}

func (c *cell) peer(to persimmoncart.Instance) (*config.Distributor, error) {
	if d, found := c.peers.Load(to.ID); found {
		return d.(*config.Distributor), nil
	}
	return nil, &persimmoncart.UnavailableError{Err: errors.New("no peer"), Op: "call"}
}

func (c *cell) Digest(_ context.Context, to persimmoncart.Instance, _ persimmoncart.ConfigDigest) (persimmoncart.ConfigDigest, error) {
	d, err := c.peer(to)
	if err != nil {
		return persimmoncart.ConfigDigest{}, err
	}
	return d.Digest(), nil
}

func (c *cell) Pull(_ context.Context, to persimmoncart.Instance, r persimmoncart.ConfigPull) (persimmoncart.ConfigPulled, error) {
	d, err := c.peer(to)
	if err != nil {
		return persimmoncart.ConfigPulled{}, err
	}
	return d.Answer(r), nil
}

func (c *cell) Push(_ context.Context, to persimmoncart.Instance, sets []persimmoncart.ConfigChangeSet) (persimmoncart.ConfigDigest, error) {
	d, err := c.peer(to)
	if err != nil {
		return persimmoncart.ConfigDigest{}, err
	}
	return d.Accept(to, sets), nil
}

// A roster is a fixed list of members.
type roster struct {
	self persimmoncart.InstanceID
	ids  []persimmoncart.InstanceID
}

func (r roster) instance(id persimmoncart.InstanceID) persimmoncart.Instance {
	return persimmoncart.Instance{Addr: netip.MustParseAddrPort("10.0.0.1:1"), DataCentre: "hall1", ID: id, Region: "coast"}
}

func (r roster) Self() persimmoncart.Instance { return r.instance(r.self) }

func (r roster) Subscribe(func([]persimmoncart.Member)) (stop func()) { return func() {} }

func (r roster) View() []persimmoncart.Member {
	var out []persimmoncart.Member
	for _, id := range r.ids {
		out = append(out, persimmoncart.Member{Instance: r.instance(id), State: persimmoncart.MemberAlive})
	}
	return out
}

// newDistributor adds an instance to the cell.
func (c *cell) newDistributor(s persimmoncart.Store, id persimmoncart.InstanceID) *config.Distributor {
	d := &config.Distributor{
		Archive: &config.Archive{Parallel: config.Concurrent, Store: s}, Log: zerolog.Nop(), Members: roster{self: id, ids: []persimmoncart.InstanceID{"a", "b", "c", "d"}},
		Peers: c, Timer: &timer.System{},
	}
	c.peers.Store(id, d)
	return d
}

// Guards against an instance that reports ready without the newest version, one
// that needs the store although a peer has the version, and goroutines that
// outlive Run.
func TestDistributor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &objectapi.Faulty{Store: &objectapi.Memory{Timer: &timer.System{}}, Timer: &timer.System{}}
		c := &cell{}
		ended := make(chan error)
		run := func(id persimmoncart.InstanceID) *config.Distributor {
			d := c.newDistributor(s, id)
			go func() { ended <- d.Run(ctx) }()
			return d
		}
		a, b := run("a"), run("b")
		time.Sleep(10 * time.Second)
		assert.Assert(t, a.Ready() && b.Ready())
		var seen []uint64
		b.Subscribe(func(x *persimmoncart.Snapshot) { seen = append(seen, x.Version) })
		e := &config.Editor{Archive: a.Archive, Local: a.Copy, Timer: &timer.System{}}
		for i := range 3 {
			_, err := e.Apply(ctx, config.Edit{Author: "ann", Changes: []persimmoncart.ConfigChange{{After: account("a", i+1), Key: "account/a"}}, Force: true})
			assert.NilError(t, err)
			time.Sleep(6 * time.Second)
		}
		assert.Equal(t, a.Snapshot().Accounts["a"].Rate, 3.0)
		assert.Equal(t, b.Snapshot().Version, uint64(3))
		assert.DeepEqual(t, seen, []uint64{1, 2, 3})
		s.SetDown(true)
		d := run("c")
		time.Sleep(5 * time.Second)
		assert.Assert(t, d.Ready())
		assert.Equal(t, d.Snapshot().Version, uint64(3))
		c.peers.Clear()
		alone := run("d")
		time.Sleep(time.Minute)
		assert.Assert(t, !alone.Ready())
		s.SetDown(false)
		time.Sleep(20 * time.Second)
		assert.Assert(t, alone.Ready())
		assert.Equal(t, alone.Digest(), d.Digest())
		cancel()
		for range 4 {
			assert.ErrorIs(t, <-ended, context.Canceled)
		}
	})
}

// Guards against versions that go back, skip a set, or take a set whose content
// does not lead to its state.
func TestAccept(t *testing.T) {
	e, s := newEditor()
	for i := range 4 {
		_, err := e.Apply(t.Context(), config.Edit{Author: "ann", Changes: []persimmoncart.ConfigChange{{After: account("a", i+1), Key: "account/a"}}, Force: true})
		assert.NilError(t, err)
	}
	h, err := e.Archive.Head(t.Context())
	assert.NilError(t, err)
	sets, err := e.Archive.History(t.Context(), h, 0, 10)
	assert.NilError(t, err)
	slices.Reverse(sets)
	bad := sets[2]
	bad.Changes = []persimmoncart.ConfigChange{{After: account("a", 99), Key: "account/a"}}
	from := roster{}.instance("b")
	for _, c := range []struct {
		name string
		sets [][]persimmoncart.ConfigChangeSet
		want uint64
	}{
		{"in order", [][]persimmoncart.ConfigChangeSet{sets[:2], sets[2:]}, 4},
		{"twice and late", [][]persimmoncart.ConfigChangeSet{sets[:3], sets[:1], sets[1:3]}, 3},
		{"gap", [][]persimmoncart.ConfigChangeSet{sets[:1], sets[2:]}, 1},
		{"overlap", [][]persimmoncart.ConfigChangeSet{sets[:3], sets[1:]}, 4},
		{"wrong content", [][]persimmoncart.ConfigChangeSet{sets[:2], {bad}}, 2},
		{"fork", [][]persimmoncart.ConfigChangeSet{sets[:1], {{Version: 2, Changes: sets[1].Changes, State: sets[1].State}}}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := (&cell{}).newDistributor(s, "a")
			for _, x := range c.sets {
				d.Accept(from, x)
			}
			assert.Equal(t, d.Snapshot().Version, c.want)
			assert.Equal(t, d.Digest().Version, c.want)
			assert.Assert(t, !d.Ready())
		})
	}
}
