package quotanet_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/metrics"
	"github.com/persimmoncart/persimmoncart/internal/pipe"
	"github.com/persimmoncart/persimmoncart/internal/quota"
	"github.com/persimmoncart/persimmoncart/internal/quotanet"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// limited and free are the accounts of the tests. An instance of two holds 20,000 units of
// limited at most, and gets 10,000 a second.
var (
	limited = &persimmoncart.Account{Keys: []persimmoncart.KeyHash{{1}}, Name: "limited", TokenBurst: 40_000, TokenRate: 20_000}
	free    = &persimmoncart.Account{Keys: []persimmoncart.KeyHash{{2}}, Name: "free"}
)

// A serviceFixture runs the services of some instances, all of which hold limits from the
// start on.
type serviceFixture struct {
	logs     strings.Builder
	mutex    sync.Mutex // guards logs
	network  pipe.Packets
	services []*quotanet.Service
}

// Write implements io.Writer for the logs.
func (f *serviceFixture) Write(b []byte) (int, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.logs.Write(b)
}

// addr returns the address of an instance.
func addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n + 1)}), 7000)
}

// withServices runs a test with the services of some instances in virtual time. Their
// buckets are full.
func withServices(t *testing.T, count int, test func(t *testing.T, f *serviceFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f, clock := &serviceFixture{}, &timer.System{}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		table := &persimmoncart.ForwardTable{Accounts: map[persimmoncart.KeyHash]*persimmoncart.Account{{1}: limited, {2}: free}}
		for n := range count {
			id := persimmoncart.InstanceID(fmt.Sprintf("edge-%d", n))
			ring := &quota.Ring{Self: id}
			s := &quotanet.Service{
				Addr: addr(n), Conn: f.network.Listen(addr(n)), DataCentre: "d1", Logger: zerolog.New(f), Metrics: metrics.New(),
				Table: func() *persimmoncart.ForwardTable { return table }, Timer: clock,
				Instance: quota.NewInstance(clock.Now(), ring, 1, 720*time.Millisecond, rand.New(rand.NewPCG(1, uint64(n)))),
			}
			s.Found(&quota.Record{Holds: true}, 0)
			for other := range count {
				s.Observe(persimmoncart.InstanceID(fmt.Sprintf("edge-%d", other)), 1, &quota.Record{Addr: addr(other), DataCentre: "d1", Holds: true})
			}
			s.Listed()
			s.Written(clock.Now(), s.Record(), false, 1)
			f.services = append(f.services, s)
			running.Go(func() { _ = s.Run(ctx) })
		}
		time.Sleep(10 * time.Second)
		for _, s := range f.services {
			s.Contact(1)
		}
		test(t, f)
		cancel()
		running.Wait()
	})
}

// take takes units and returns the code of a refusal; empty for none.
func take(t *testing.T, s *quotanet.Service, units int) (persimmoncart.QuotaTicket, *persimmoncart.Refusal) {
	t.Helper()
	ticket, err := s.Take(t.Context(), limited, units)
	refusal := (*persimmoncart.Refusal)(nil)
	if err != nil {
		assert.Assert(t, errors.As(err, &refusal), "%v", err)
		assert.Equal(t, refusal.Outcome, persimmoncart.OutcomeNotRun)
		assert.Assert(t, refusal.RetryAfter > 0)
	}
	return ticket, refusal
}

// Guards against units that instances do not get from each other, a limit that each has
// for itself, and a cost for accounts without limits.
func TestServices(t *testing.T) {
	withServices(t, 2, func(t *testing.T, f *serviceFixture) {
		for range 8 {
			_, refusal := take(t, f.services[0], 5000)
			assert.Assert(t, refusal == nil)
		}
		for _, s := range f.services {
			_, refusal := take(t, s, 5000)
			assert.Equal(t, refusal.Code, persimmoncart.RefusalAccountLimited)
		}
		ticket, err := f.services[0].Take(t.Context(), free, 1<<30)
		assert.NilError(t, err)
		assert.Equal(t, ticket, persimmoncart.QuotaTicket{})
		time.Sleep(500 * time.Millisecond)
		for _, s := range f.services {
			_, refusal := take(t, s, 5000)
			assert.Assert(t, refusal == nil)
		}
	})
}

// Guards against requests that wait longer than the limit, are let through, or are refused
// for good while no instance answers.
func TestServiceWithoutAnswers(t *testing.T) {
	withServices(t, 2, func(t *testing.T, f *serviceFixture) {
		f.network.Lost = func(netip.AddrPort, netip.AddrPort) bool { return true }
		for range 4 { // what the instance holds itself
			_, refusal := take(t, f.services[0], 5000)
			assert.Assert(t, refusal == nil)
		}
		sent := time.Now()
		_, refusal := take(t, f.services[0], 5000)
		assert.Equal(t, refusal.Code, persimmoncart.RefusalAccountLimited)
		assert.Assert(t, time.Since(sent) <= quota.WaitLimit)
		f.services[0].Gone("edge-0") // it holds nothing itself
		f.services[0].Observe("edge-0", 1, nil)
		time.Sleep(2 * time.Second)
		sent = time.Now()
		_, refusal = take(t, f.services[0], 5000)
		assert.Equal(t, refusal.Code, persimmoncart.RefusalNotReady)
		assert.Assert(t, time.Since(sent) <= quota.WaitLimit)

		ctx, cancel := context.WithCancel(t.Context())
		time.Sleep(10 * time.Second) // the silent one is asked again
		time.AfterFunc(20*time.Millisecond, cancel)
		_, err := f.services[0].Take(ctx, limited, 5000)
		assert.Assert(t, errors.Is(err, context.Canceled))
	})
}

// Guards against units that a request gives back and that are lost, or are counted twice.
func TestServiceReturns(t *testing.T) {
	withServices(t, 2, func(t *testing.T, f *serviceFixture) {
		for range 3 {
			var tickets []persimmoncart.QuotaTicket
			for range 8 {
				ticket, refusal := take(t, f.services[0], 5000)
				assert.Assert(t, refusal == nil)
				tickets = append(tickets, ticket)
			}
			_, refusal := take(t, f.services[0], 5000)
			assert.Equal(t, refusal.Code, persimmoncart.RefusalAccountLimited)
			for _, ticket := range tickets {
				ticket.Return()
			}
			time.Sleep(2500 * time.Millisecond) // the pauses that the holders stated are over
		}
	})
}

// Guards against datagrams of strangers, damaged ones, and ones about unknown accounts,
// which are answered, change something, or end the service, and against log lines for each
// of them.
func TestServiceIgnoresDatagrams(t *testing.T) {
	withServices(t, 2, func(t *testing.T, f *serviceFixture) {
		key := quota.Key(limited.Name)
		stranger, member := f.network.Listen(addr(8)), f.network.Listen(addr(1)) // in the place of edge-1
		to := net.UDPAddrFromAddrPort(addr(0))
		ask := quotanet.AskDatagram(key, 1, 1, 10_000)
		for _, data := range [][]byte{
			nil, []byte("nonsense"), make([]byte, quotanet.MaxDatagram+1), ask[:len(ask)-1], append(ask[:len(ask):len(ask)], 0),
			quotanet.AskDatagram(7, 1, 1, 10_000), quotanet.AskDatagram(quota.Key(free.Name), 1, 1, 10_000),
			quotanet.ReplyDatagram(key, 1, 10_000), quotanet.ReturnDatagram(key, 1, 9, 10_000),
		} {
			for range 50 {
				_, err := member.WriteTo(data, to)
				assert.NilError(t, err)
				synctest.Wait()
			}
		}
		for range 50 {
			_, err := stranger.WriteTo(ask, to)
			assert.NilError(t, err)
			synctest.Wait()
		}
		answers := make(chan string)
		for _, c := range []net.PacketConn{stranger, member} {
			go func() {
				if _, _, err := c.ReadFrom(make([]byte, 256)); err == nil {
					answers <- c.LocalAddr().String()
				}
			}()
		}
		synctest.Wait()
		select {
		case from := <-answers:
			t.Fatalf("%s was answered", from)
		default:
		}
		_, err := member.WriteTo(ask, to)
		assert.NilError(t, err)
		assert.Equal(t, <-answers, addr(1).String())
		assert.NilError(t, stranger.Close())
		f.mutex.Lock()
		defer f.mutex.Unlock()
		lines := strings.Count(f.logs.String(), "ignored")
		assert.Assert(t, lines > 0 && lines <= 4, "%d lines", lines)
	})
}

// Guards against memory that is allocated for requests that a batch covers.
func TestTakeDoesNotAllocate(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(1_000_000, 0))
	s := newLoneService(clock)
	for range 20 {
		_, refusal := take(t, s, 500)
		assert.Assert(t, refusal == nil)
	}
	ctx := t.Context()
	allocations := testing.AllocsPerRun(10, func() {
		if _, err := s.Take(ctx, limited, 1); err != nil {
			t.Error(err)
		}
	})
	assert.Equal(t, allocations, 0.0)
}

// newLoneService returns a service without others, whose buckets are full.
func newLoneService(clock *timer.Virtual) *quotanet.Service {
	network := &pipe.Packets{}
	s := &quotanet.Service{
		Addr: addr(0), Conn: network.Listen(addr(0)), Logger: zerolog.Nop(), Metrics: metrics.New(),
		Table: func() *persimmoncart.ForwardTable { return nil }, Timer: clock,
		Instance: quota.NewInstance(clock.Now(), &quota.Ring{Self: "edge-0"}, 1, 720*time.Millisecond, rand.New(rand.NewPCG(1, 1))),
	}
	s.Found(&quota.Record{Holds: true}, 0)
	s.Observe("edge-0", 1, &quota.Record{Addr: addr(0), DataCentre: "d1", Holds: true})
	s.Listed()
	s.Written(clock.Now(), s.Record(), false, 1)
	clock.Advance(10 * time.Second)
	return s
}
