package order_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/order"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// leaseTerm is the term of the leases of fakeLeases.
const leaseTerm = 15 * time.Second

var errLeases = errors.New("leases are unavailable")

// A fakeLeases grants leases of leaseTerm, or refuses them with err.
type fakeLeases struct {
	persimmoncart.Leases // panics on calls that the package does not make

	err   error
	timer *timer.Virtual
}

func (l *fakeLeases) Acquire(_ context.Context, name string) (persimmoncart.Lease, error) {
	if l.err != nil {
		return persimmoncart.Lease{}, l.err
	}
	return persimmoncart.Lease{Expires: l.timer.Now().Add(leaseTerm), Fence: 1, Name: name}, nil
}

// Guards against a failed renewal that ends the tick while the lease lasts or leaves
// no trace, an error that does not name the lease, and a pause between two attempts
// that is reported as an error.
func TestTickLease(t *testing.T) {
	for name, newTick := range map[string]func(s *persimmoncart.Snapshot, l *fakeLeases, log zerolog.Logger) func(context.Context) error{
		"orders": func(s *persimmoncart.Snapshot, l *fakeLeases, log zerolog.Logger) func(context.Context) error {
			return (&order.Reconciler{
				Configuration: &staticConfiguration{s}, DataCentre: "hall1", Leases: l, Logger: log, Store: &objectapi.Memory{Timer: l.timer}, Timer: l.timer,
			}).Tick
		},
		"plan": func(s *persimmoncart.Snapshot, l *fakeLeases, log zerolog.Logger) func(context.Context) error {
			return (&order.Planner{
				Configuration: &staticConfiguration{s}, Leases: l, Logger: log, Store: &objectapi.Memory{Timer: l.timer}, Timer: l.timer,
			}).Tick
		},
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			leases := &fakeLeases{timer: timer.NewVirtual(noon)}
			tick := newTick(&persimmoncart.Snapshot{}, leases, zerolog.New(&log))
			assert.NilError(t, tick(t.Context()))
			leases.err = errLeases
			leases.timer.Advance(leaseTerm - 1)
			assert.NilError(t, tick(t.Context()))
			assert.Equal(t, strings.Count(log.String(), name+" lease not renewed"), 1, log.String())
			leases.timer.Advance(1)
			err := tick(t.Context())
			assert.ErrorIs(t, err, errLeases)
			assert.ErrorContains(t, err, "acquire "+name+" lease")
			assert.NilError(t, tick(t.Context()), "no attempt is due")
			assert.Equal(t, strings.Count(log.String(), "not renewed"), 1, log.String())
		})
	}
}
