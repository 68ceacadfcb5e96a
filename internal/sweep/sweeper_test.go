package sweep_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/sweep"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// An engine is a fake engine that lists work and removes cancelled work.
type engine struct {
	persimmoncart.Engine
	work []persimmoncart.WorkItem
}

// engines implements persimmoncart.Engines with one engine.
type engines struct{ engine *engine }

func (e engines) Engine(netip.AddrPort) persimmoncart.Engine { return e.engine }

func (e *engine) ListWork(context.Context) ([]persimmoncart.WorkItem, error) { return e.work, nil }

func (e *engine) Cancel(_ context.Context, attempt persimmoncart.AttemptID) error {
	var left []persimmoncart.WorkItem
	for _, w := range e.work {
		if w.Attempt != attempt {
			left = append(left, w)
		}
	}
	e.work = left
	return nil
}

// members implements persimmoncart.Members; tests call notify to report changes.
type members struct {
	persimmoncart.Members
	notify func([]persimmoncart.Member)
	self   persimmoncart.Instance
	view   []persimmoncart.Member
}

func (m *members) Self() persimmoncart.Instance { return m.self }

func (m *members) Subscribe(f func([]persimmoncart.Member)) func() {
	m.notify = f
	return func() {}
}

func (m *members) View() []persimmoncart.Member { return m.view }

// start starts a sweeper of one engine, which has one work item of each of the
// instances a and b with a deadline in a minute.
func start() (*timer.Virtual, *engine, *members, *sweep.Sweeper) {
	v := timer.NewVirtual(time.Unix(1e9, 0))
	e, m := &engine{}, &members{}
	for _, id := range []persimmoncart.InstanceID{"a", "b"} {
		e.work = append(e.work, persimmoncart.WorkItem{
			Attempt:  persimmoncart.AttemptID{Request: persimmoncart.RequestID(id)},
			Deadline: v.Now().Add(time.Minute),
			Tag:      persimmoncart.Tag{Incarnation: 2, Instance: id},
		})
	}
	s := &sweep.Sweeper{
		AssignedEngines: func() []persimmoncart.Endpoint { return []persimmoncart.Endpoint{{Role: persimmoncart.RoleDecode}} },
		Engines:         engines{e},
		Members:         m,
		Spawn:           func(f func()) { f() },
		Timer:           v,
	}
	s.Start(context.Background())
	return v, e, m, s
}

func ExampleSweeper() {
	v, e, m, s := start()
	m.notify([]persimmoncart.Member{{Instance: persimmoncart.Instance{ID: "a", Incarnation: 2}, State: persimmoncart.MemberDead}})
	v.Advance(3 * time.Second)
	fmt.Println(s.Cancelled(), e.work[0].Attempt)
	// Output: 1 b/0
}

// Guards against work that holds memory after its instance has ended, and against
// cancelling the work of an instance that may still run.
func TestSweep(t *testing.T) {
	tests := []struct {
		name   string
		member persimmoncart.Member
		after  time.Duration
		left   int
	}{
		{"dead", persimmoncart.Member{Instance: persimmoncart.Instance{ID: "a", Incarnation: 2}, State: persimmoncart.MemberDead}, 3 * time.Second, 1},
		{"replaced", persimmoncart.Member{Instance: persimmoncart.Instance{ID: "a", Incarnation: 3}, State: persimmoncart.MemberAlive}, 3 * time.Second, 1},
		{"old incarnation dead", persimmoncart.Member{Instance: persimmoncart.Instance{ID: "a", Incarnation: 1}, State: persimmoncart.MemberDead}, 30 * time.Second, 2},
		{"suspect before its deadline", persimmoncart.Member{Instance: persimmoncart.Instance{ID: "a", Incarnation: 2}, State: persimmoncart.MemberSuspect}, 54 * time.Second, 2},
		{"suspect after its deadline", persimmoncart.Member{Instance: persimmoncart.Instance{ID: "a", Incarnation: 2}, State: persimmoncart.MemberSuspect}, 70 * time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v, e, m, _ := start()
			v.Advance(5 * time.Second)
			m.view = []persimmoncart.Member{tt.member}
			m.notify(m.view)
			v.Advance(tt.after)
			assert.Equal(t, len(e.work), tt.left)
		})
	}
}

// Guards against work of the earlier incarnation of the only instance that keeps
// its memory: no other instance reports that incarnation as dead.
func TestSweepAfterOwnRestart(t *testing.T) {
	v, e, m, _ := start()
	m.self = persimmoncart.Instance{ID: "b", Incarnation: 3}
	v.Advance(15 * time.Second)
	assert.Equal(t, len(e.work), 1)
}
