package quotanet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/pipe"
	"github.com/persimmoncart/persimmoncart/internal/quota"
	"github.com/persimmoncart/persimmoncart/internal/quotanet"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// FuzzHandle guards against datagrams that end the process, or with which an instance
// grants more than the limit of an account.
func FuzzHandle(f *testing.F) {
	key := quota.Key(limited.Name)
	f.Add(quotanet.AskDatagram(key, 1, 1, 10_000))
	f.Add(quotanet.AskDatagram(key, 1, 1<<31-1, 1<<31-1))
	f.Add(quotanet.AskDatagram(key, 1, 1<<63, 1<<63))
	f.Add(quotanet.ReplyDatagram(key, 1, 10_000))
	f.Add(quotanet.ReturnDatagram(key, 1, 1, 1<<31-1))
	f.Add([]byte{0x8b, 0x01})
	f.Add([]byte{0x9f})
	f.Fuzz(func(t *testing.T, data []byte) {
		clock := timer.NewVirtual(time.Unix(1_000_000, 0))
		network := &pipe.Packets{}
		table := &persimmoncart.ForwardTable{Accounts: map[persimmoncart.KeyHash]*persimmoncart.Account{{1}: limited}}
		instance := quota.NewInstance(clock.Now(), &quota.Ring{Self: "edge-0"}, 1, 720*time.Millisecond, rand.New(rand.NewPCG(1, 1)))
		s := &quotanet.Service{
			Addr: addr(0), Conn: network.Listen(addr(0)), Instance: instance, Logger: zerolog.Nop(),
			Table: func() *persimmoncart.ForwardTable { return table }, Timer: clock,
		}
		s.Found(&quota.Record{Holds: true}, 0)
		s.Observe("edge-1", 1, &quota.Record{Addr: addr(1), DataCentre: "d1", Holds: true})
		s.Listed()
		s.Written(clock.Now(), s.Record(), false, 1)
		clock.Advance(10 * time.Second)
		granted := 0
		for range 3 {
			s.Handle(addr(1), data)
			reply := instance.HandleAsk(clock.Now(), addr(1), quota.Limit{Burst: 40_000, Least: 15_000, Rate: 20_000}, quota.Ask{Account: key, Least: 1, Want: 1 << 30})
			granted += reply.Granted
		}
		if granted > 20_000 {
			t.Fatalf("%d units were granted", granted)
		}
	})
}
