package control_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/control"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func ExampleLoop() {
	bus, err := control.NewBus()
	if err != nil {
		fmt.Println(err)
		return
	}
	loop := &control.Loop{Bus: bus}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- loop.Run(ctx) }()
	for _, e := range []control.Event{control.ConfigurationChanged{Version: 7}, control.PhaseChanged{Phase: control.PhaseServing}} {
		if err := bus.Publish(e); err != nil {
			fmt.Println(err)
		}
	}
	fmt.Println(loop.State().Version, loop.State().Phase, loop.State().Ready())
	cancel()
	<-done
	_ = bus.Close()
	// Output: 7 serving true
}

// Guards against a configuration that returns to an older version, and against an
// event that makes a draining instance serve again.
func TestLoopGoesForward(t *testing.T) {
	tests := []struct {
		name   string
		events []control.Event
		want   control.State
	}{
		{"older version", []control.Event{control.ConfigurationChanged{Version: 5}, control.ConfigurationChanged{Version: 4}}, control.State{Version: 5}},
		{"serving after draining", []control.Event{control.PhaseChanged{Phase: control.PhaseDraining}, control.PhaseChanged{Phase: control.PhaseServing}}, control.State{Phase: control.PhaseDraining}},
		{"store returns", []control.Event{control.StoreChanged{}, control.StoreChanged{Reachable: true}}, control.State{StoreReachable: true}},
		{"members", []control.Event{control.MembersChanged{Alive: 8}, control.MembersChanged{Alive: 7, Suspect: 1}}, control.State{Members: control.MembersChanged{Alive: 7, Suspect: 1}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bus, err := control.NewBus()
				assert.NilError(t, err)
				loop := &control.Loop{Bus: bus, Logger: zerolog.Nop()}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error)
				go func() { done <- loop.Run(ctx) }()
				synctest.Wait()
				for _, e := range test.events {
					assert.NilError(t, bus.Publish(e))
				}
				assert.DeepEqual(t, *loop.State(), test.want)
				cancel()
				assert.ErrorIs(t, <-done, context.Canceled)
				assert.NilError(t, bus.Close())
			})
		})
	}
}

// Guards against a service that is not restarted after it returned or panicked.
func TestTreeRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var fails, panics atomic.Int64
		tree := &control.SupervisorTree{Name: "t", Logger: zerolog.Nop(), Services: []control.Service{
			{Name: "fails", Run: func(context.Context) error {
				fails.Add(1)
				return errors.New("ended")
			}},
			{Name: "panics", Run: func(ctx context.Context) error {
				if panics.Add(1) == 1 {
					panic("first start")
				}
				<-ctx.Done()
				return ctx.Err()
			}},
		}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		assert.NilError(t, tree.Run(ctx))
		assert.Assert(t, fails.Load() > 1)
		assert.Equal(t, panics.Load(), int64(2))
	})
}
