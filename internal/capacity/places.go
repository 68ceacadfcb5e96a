package capacity

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart"
	loadv1 "github.com/persimmoncart/persimmoncart/proto/load/v1"
)

// The load of a node: 40 requests a second that hold a decode slot for 7.5 s
// (256 tokens at 30 ms) take 300 of the 412 decode slots of 27.5 replicas.
// Demand of single nodes differs from that by up to 10% and changes every 20 s;
// owners with few replicas must borrow.
const (
	borrowBatch  = 32               // slots in one message
	readyTime    = 10 * time.Second // a node without replicas takes requests from then on
	demandPeriod = 20 * time.Second
	demandSpread = 0.1
	holdTime     = 7500 * time.Millisecond
	requestRate  = 40.0
	lentLife     = 2 * time.Second // of a lent slot that nobody commits
	stepPeriod   = 200 * time.Millisecond
)

// A places stands in for the slot allocator of one node. It counts slots of all
// its replicas together and moves with the requests of a fifth of a second at
// once, which is enough for the digests and borrows that they cause.
type places struct {
	borrowed map[persimmoncart.InstanceID]int // slots in use, by owner
	demand   float64
	digests  map[persimmoncart.InstanceID]int // free slots, as last learned
	lent     map[persimmoncart.InstanceID]int
	node     *node
	own      int // own slots in use by own requests
	owned    int // own slots
	random   *rand.Rand
	sequence uint64
	turned   time.Time
	missing  int // requests that wait for a borrow
	ready    bool
	requests uint64
	returned time.Time
	returns  map[persimmoncart.InstanceID]int // slots to give back
	sent     time.Time                        // last borrow
	started  time.Time
	unserved int
}

// Digest implements persimmoncart.DigestExchange.
func (p *places) Digest() persimmoncart.Digest {
	p.sequence++
	self := p.node.self
	d := persimmoncart.Digest{Instance: self.ID, Sequence: p.sequence}
	for _, role := range []persimmoncart.Role{persimmoncart.RoleDecode, persimmoncart.RolePrefill} {
		for i, m := range modelNames {
			free := p.free() / len(modelNames)
			d.Pools = append(d.Pools, persimmoncart.PoolDigest{
				FreeBlocks: free * 10, DataCentre: self.DataCentre, FreeSlots: free + i, Model: m, Pool: poolName,
				Region: self.Region, Role: role, Slots: p.owned/len(modelNames) + 1,
				Wait: time.Duration(p.random.IntN(15)) * time.Millisecond,
			})
		}
	}
	return d
}

// Lend implements persimmoncart.Lender.
func (p *places) Lend(_ context.Context, r persimmoncart.BorrowRequest) (persimmoncart.Loan, error) {
	loan := persimmoncart.Loan{Digest: p.Digest(), ID: r.ID}
	for i := range min(p.free(), len(r.Items)) {
		p.requests++
		loan.Slots = append(loan.Slots, persimmoncart.LentSlot{
			Blocks: 9, Endpoint: "llm-00000", ID: p.lentSlot(p.requests), Item: i, Role: persimmoncart.RoleDecode,
		})
	}
	p.lent[r.From] += len(loan.Slots)
	return loan, nil
}

// ReclaimSlots implements persimmoncart.DigestExchange.
func (p *places) ReclaimSlots(id persimmoncart.InstanceID) {
	delete(p.digests, id)
	delete(p.lent, id)
	delete(p.borrowed, id)
}

// RemoveDigest implements persimmoncart.DigestExchange.
func (p *places) RemoveDigest(id persimmoncart.InstanceID) { delete(p.digests, id) }

// UpdateDigest implements persimmoncart.DigestExchange.
func (p *places) UpdateDigest(d persimmoncart.Digest, _ time.Duration) {
	free := 0
	for i := range d.Pools {
		if d.Pools[i].Role == persimmoncart.RoleDecode {
			free += d.Pools[i].FreeSlots
		}
	}
	p.digests[d.Instance] = free
}

// UpdateSlots implements persimmoncart.Lender.
func (p *places) UpdateSlots(_ context.Context, from persimmoncart.InstanceID, changes []persimmoncart.LoanChange) error {
	for _, c := range changes {
		if c.Kind == persimmoncart.LoanReleased && p.lent[from] > 0 {
			p.lent[from]--
		}
	}
	return nil
}

// free returns the free own slots.
func (p *places) free() int {
	n := p.owned - p.own
	for _, l := range p.lent {
		n -= l
	}
	return max(n, 0)
}

// lent slot returns an identifier as long as those of internal/policy.
func (p *places) lentSlot(n uint64) persimmoncart.GrantID {
	return persimmoncart.GrantID(string(p.node.self.ID) + "." + strconv.FormatUint(n, 36))
}

// step starts and ends requests.
func (p *places) step(now time.Time) {
	if p.started.IsZero() {
		p.started = now
	}
	if !p.ready && p.owned == 0 && now.Sub(p.started) < readyTime {
		return // the load balancer sends requests to ready instances only
	}
	p.ready = true
	if now.Sub(p.turned) > demandPeriod {
		p.turned = now
		p.demand = requestRate * (1 + demandSpread*(2*p.random.Float64()-1))
	}
	ended := stepPeriod.Seconds() / holdTime.Seconds()
	p.own -= p.draw(float64(p.own) * ended)
	for _, id := range sortedKeys(p.borrowed) {
		if n := min(p.borrowed[id], p.draw(float64(p.borrowed[id])*ended)); n > 0 {
			p.borrowed[id] -= n
			p.returns[id] += n
		}
	}
	arrived := p.draw(p.demand * stepPeriod.Seconds())
	served := min(arrived, p.free())
	p.own += served
	p.missing += arrived - served
	if p.missing > 0 && now.Sub(p.sent) >= p.node.exchange.Governor.BorrowDelay() {
		p.sent = now
		p.borrow(min(p.missing, borrowBatch))
		p.missing = 0
	}
	for _, id := range sortedKeys(p.returns) {
		// Returns wait for a borrow only near the budget, as in load.Lenders.
		if now.Sub(p.returned) >= 2*p.node.exchange.Governor.BorrowDelay() {
			p.giveBack(id, p.returns[id])
			delete(p.returns, id)
		}
	}
	if len(p.returns) == 0 {
		p.returned = now
	}
}

// draw returns a random number with the given mean, close to a Poisson one.
func (p *places) draw(mean float64) int {
	return max(0, int(math.Round(mean+math.Sqrt(mean)*p.random.NormFloat64())))
}

// borrow asks the better of two owners for n decode slots.
func (p *places) borrow(n int) {
	ids := sortedKeys(p.digests)
	if len(ids) == 0 {
		p.unserved += n
		return
	}
	owner := ids[p.random.IntN(len(ids))]
	if other := ids[p.random.IntN(len(ids))]; p.digests[other] > p.digests[owner] {
		owner = other
	}
	m, known := p.node.members.Machine.Member(owner)
	if !known || m.State != persimmoncart.MemberAlive {
		return
	}
	p.requests++
	r := &loadv1.BorrowRequest{From: string(p.node.self.ID), Id: p.requests, Wait: 200}
	for range n {
		p.requests++
		r.Items = append(r.Items, &loadv1.BorrowItem{
			Account: "account-01234", Class: 1, Deadline: 30000, Decode: true, First: 1600, Key: 1 << 31, Limit: 256,
			Prefixes: []uint64{1 << 60, 1 << 61}, Tokens: 4000,
		})
	}
	p.node.transport.Call(m.Instance.Addr, r, 450*time.Millisecond, func(reply proto.Message, err error) {
		if err != nil {
			delete(p.digests, owner)
			p.unserved += n
			return
		}
		got := len(reply.(*loadv1.BorrowReply).GetSlots())
		p.borrowed[owner] += got
		p.unserved += n - got
		if got < n {
			p.digests[owner] = 0
		}
	})
}

// giveBack returns n slots to their owner in one message.
func (p *places) giveBack(owner persimmoncart.InstanceID, n int) {
	m, known := p.node.members.Machine.Member(owner)
	if !known || m.State == persimmoncart.MemberDead {
		return
	}
	r := &loadv1.ReturnRequest{From: string(p.node.self.ID), Prefix: string(owner) + ".1"}
	for range n {
		r.Changes = append(r.Changes, &loadv1.Change{Id: strconv.FormatUint(p.requests, 36), Kind: uint32(persimmoncart.LoanReleased), Took: 40})
	}
	p.node.transport.Call(m.Instance.Addr, r, 250*time.Millisecond, func(proto.Message, error) {})
}

// sortedKeys returns the keys of m, sorted, so that runs repeat.
func sortedKeys[V any](m map[persimmoncart.InstanceID]V) []persimmoncart.InstanceID {
	keys := make([]persimmoncart.InstanceID, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
