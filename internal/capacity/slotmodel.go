package capacity

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart"
	loadv1 "github.com/persimmoncart/persimmoncart/proto/load/v1"
)

// The load of a node: 40 requests a second that each use a decode slot for 7.5 s (256
// tokens at 30 ms) occupy 300 of the 412 decode slots of 27.5 replicas. The demand of a
// node differs from that by up to 10% and changes every 20 s, so that owners with few
// replicas must borrow.
const (
	borrowBatch     = 32                      // maximum number of slots in a borrow message
	readyTimeout    = 10 * time.Second        // a node without replicas takes requests after that time
	demandPeriod    = 20 * time.Second        // between changes of the demand
	demandSpread    = 0.1                     // largest relative deviation from requestRate
	requestDuration = 7500 * time.Millisecond // for which a request uses a decode slot
	requestRate     = 40.0                    // mean number of requests per second
	loanTTL         = 2 * time.Second         // of a lent slot that the borrower doesn't use
	stepPeriod      = 200 * time.Millisecond  // simulation step
)

// A slotModel simulates the slot allocator of one node. It counts the slots of all
// replicas together and processes the requests of stepPeriod at once, which is precise
// enough for the digests and borrows that they cause.
type slotModel struct {
	borrowed       map[persimmoncart.InstanceID]int // borrowed slots in use, by owner
	demand         float64                          // arrivals per second
	demandChanged  time.Time
	freeSlots      map[persimmoncart.InstanceID]int // free slots of other owners, from their last digest
	lastBorrow     time.Time
	lastID         uint64                           // last identifier of a request, an item or a lent slot
	lastReturn     time.Time                        // last time at which no slots waited for their return
	lent           map[persimmoncart.InstanceID]int // lent slots, by borrower
	node           *node
	ownUsed        int // owned slots that requests of this node use
	ownedSlots     int
	pendingReturns map[persimmoncart.InstanceID]int // borrowed slots to return, by owner
	random         *rand.Rand
	ready          bool
	rejected       int // requests without a slot
	sequence       uint64
	started        time.Time
	waiting        int // requests that wait for a borrow
}

// Digest implements persimmoncart.DigestExchange.
func (s *slotModel) Digest() persimmoncart.Digest {
	s.sequence++
	self := s.node.self
	d := persimmoncart.Digest{Instance: self.ID, Sequence: s.sequence}
	for _, role := range []persimmoncart.Role{persimmoncart.RoleDecode, persimmoncart.RolePrefill} {
		for i, m := range modelNames {
			free := s.free() / len(modelNames)
			d.Pools = append(d.Pools, persimmoncart.PoolDigest{
				FreeBlocks: free * 10, DataCentre: self.DataCentre, FreeSlots: free + i, Model: m, Pool: poolName,
				Region: self.Region, Role: role, Slots: s.ownedSlots/len(modelNames) + 1,
				Wait: time.Duration(s.random.IntN(15)) * time.Millisecond,
			})
		}
	}
	return d
}

// Lend implements persimmoncart.Lender.
func (s *slotModel) Lend(_ context.Context, r persimmoncart.BorrowRequest) (persimmoncart.Loan, error) {
	loan := persimmoncart.Loan{Digest: s.Digest(), ID: r.ID}
	for i := range min(s.free(), len(r.Items)) {
		s.lastID++
		loan.Slots = append(loan.Slots, persimmoncart.LentSlot{
			Blocks: 9, Endpoint: "llm-00000", ID: s.grantID(s.lastID), Item: i, Role: persimmoncart.RoleDecode,
		})
	}
	s.lent[r.From] += len(loan.Slots)
	return loan, nil
}

// ReclaimSlots implements persimmoncart.DigestExchange.
func (s *slotModel) ReclaimSlots(id persimmoncart.InstanceID) {
	delete(s.freeSlots, id)
	delete(s.lent, id)
	delete(s.borrowed, id)
}

// RemoveDigest implements persimmoncart.DigestExchange.
func (s *slotModel) RemoveDigest(id persimmoncart.InstanceID) { delete(s.freeSlots, id) }

// UpdateDigest implements persimmoncart.DigestExchange.
func (s *slotModel) UpdateDigest(d persimmoncart.Digest, _ time.Duration) {
	free := 0
	for i := range d.Pools {
		if d.Pools[i].Role == persimmoncart.RoleDecode {
			free += d.Pools[i].FreeSlots
		}
	}
	s.freeSlots[d.Instance] = free
}

// UpdateSlots implements persimmoncart.Lender.
func (s *slotModel) UpdateSlots(_ context.Context, from persimmoncart.InstanceID, changes []persimmoncart.LoanChange) error {
	for _, c := range changes {
		if c.Kind == persimmoncart.LoanReleased && s.lent[from] > 0 {
			s.lent[from]--
		}
	}
	return nil
}

// free returns the number of owned slots that are neither in use nor lent.
func (s *slotModel) free() int {
	n := s.ownedSlots - s.ownUsed
	for _, l := range s.lent {
		n -= l
	}
	return max(n, 0)
}

// grantID returns an identifier that is as long as those of internal/policy.
func (s *slotModel) grantID(n uint64) persimmoncart.GrantID {
	return persimmoncart.GrantID(string(s.node.self.ID) + "." + strconv.FormatUint(n, 36))
}

// step simulates the arrivals and ends of the requests of one stepPeriod. It borrows
// slots for requests that found none and returns borrowed slots.
func (s *slotModel) step(now time.Time) {
	if s.started.IsZero() {
		s.started = now
	}
	if !s.ready && s.ownedSlots == 0 && now.Sub(s.started) < readyTimeout {
		return // the load balancer sends requests only to instances that are ready
	}
	s.ready = true
	if now.Sub(s.demandChanged) > demandPeriod {
		s.demandChanged = now
		s.demand = requestRate * (1 + demandSpread*(2*s.random.Float64()-1))
	}
	endedShare := stepPeriod.Seconds() / requestDuration.Seconds()
	s.ownUsed -= s.poisson(float64(s.ownUsed) * endedShare)
	for _, id := range slices.Sorted(maps.Keys(s.borrowed)) {
		if n := min(s.borrowed[id], s.poisson(float64(s.borrowed[id])*endedShare)); n > 0 {
			s.borrowed[id] -= n
			s.pendingReturns[id] += n
		}
	}
	arrived := s.poisson(s.demand * stepPeriod.Seconds())
	served := min(arrived, s.free())
	s.ownUsed += served
	s.waiting += arrived - served
	if s.waiting > 0 && now.Sub(s.lastBorrow) >= s.node.exchange.Governor.BorrowDelay() {
		s.lastBorrow = now
		s.borrow(min(s.waiting, borrowBatch))
		s.waiting = 0
	}
	for _, id := range slices.Sorted(maps.Keys(s.pendingReturns)) {
		// As in load.Lenders, returns are delayed only near the bandwidth budget, where
		// BorrowDelay is positive.
		if now.Sub(s.lastReturn) >= 2*s.node.exchange.Governor.BorrowDelay() {
			s.returnSlots(id, s.pendingReturns[id])
			delete(s.pendingReturns, id)
		}
	}
	if len(s.pendingReturns) == 0 {
		s.lastReturn = now
	}
}

// poisson returns a random number with the given mean. Its normal distribution
// approximates a Poisson distribution.
func (s *slotModel) poisson(mean float64) int {
	return max(0, int(math.Round(mean+math.Sqrt(mean)*s.random.NormFloat64())))
}

// borrow requests n decode slots from one of two random owners, the one with more free
// slots.
func (s *slotModel) borrow(n int) {
	ids := slices.Sorted(maps.Keys(s.freeSlots))
	if len(ids) == 0 {
		s.rejected += n
		return
	}
	owner := ids[s.random.IntN(len(ids))]
	if other := ids[s.random.IntN(len(ids))]; s.freeSlots[other] > s.freeSlots[owner] {
		owner = other
	}
	m, ok := s.node.members.Machine.Member(owner)
	if !ok || m.State != persimmoncart.MemberAlive {
		return
	}
	s.lastID++
	r := &loadv1.BorrowRequest{From: string(s.node.self.ID), Id: s.lastID, Wait: 200}
	for range n {
		s.lastID++
		r.Items = append(r.Items, &loadv1.BorrowItem{
			Account: "account-01234", Class: 1, Deadline: 30000, Decode: true, First: 1600, Key: 1 << 31, Limit: 256,
			Prefixes: []uint64{1 << 60, 1 << 61}, Tokens: 4000,
		})
	}
	s.node.transport.Call(m.Instance.Addr, r, 450*time.Millisecond, func(reply proto.Message, err error) {
		if err != nil {
			delete(s.freeSlots, owner)
			s.rejected += n
			return
		}
		granted := len(reply.(*loadv1.BorrowReply).GetSlots())
		s.borrowed[owner] += granted
		s.rejected += n - granted
		if granted < n {
			s.freeSlots[owner] = 0
		}
	})
}

// returnSlots returns n slots to their owner in one message.
func (s *slotModel) returnSlots(owner persimmoncart.InstanceID, n int) {
	m, ok := s.node.members.Machine.Member(owner)
	if !ok || m.State == persimmoncart.MemberDead {
		return
	}
	r := &loadv1.ReturnRequest{From: string(s.node.self.ID), Prefix: string(owner) + ".1"}
	for range n {
		r.Changes = append(r.Changes, &loadv1.Change{Id: strconv.FormatUint(s.lastID, 36), Kind: uint32(persimmoncart.LoanReleased), Took: 40})
	}
	s.node.transport.Call(m.Instance.Addr, r, 250*time.Millisecond, func(proto.Message, error) {})
}
