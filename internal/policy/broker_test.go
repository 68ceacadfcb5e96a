package policy

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
)

// testBroker returns a broker that owns n engines, a sixth of them for prefill,
// and the endpoints of those engines.
func testBroker(e Effects, id persimmoncart.InstanceID, offset, n int) (*Broker, []persimmoncart.Endpoint) {
	b := NewBroker(BrokerSettings{Effects: e, GrantPrefix: string(id), Random: rand.New(rand.NewPCG(1, uint64(offset))), Region: "r0", Self: id})
	var endpoints []persimmoncart.Endpoint
	var usable []persimmoncart.UsableReplica
	for i := range n {
		role, slots := persimmoncart.RoleDecode, 20
		if i%6 == 0 {
			role, slots = persimmoncart.RolePrefill, 64
		}
		r := testReplica(string(id)+"-"+strconv.Itoa(offset+i), role, 0, slots, 170)
		endpoints = append(endpoints, r.Endpoint)
		usable = append(usable, persimmoncart.UsableReplica{Blocks: 170, Endpoint: r.Endpoint.ID, Owned: true, Slots: slots})
	}
	b.SetEndpoints(endpoints, nil)
	b.SetUsable(usable)
	return b, endpoints
}

// testRequest returns a request whose deadline is d after testStart.
func testRequest(class persimmoncart.Class, d time.Duration) persimmoncart.ReserveRequest {
	r := persimmoncart.ReserveRequest{
		Account: "a", Class: class, Deadline: testStart.Add(d), MaxOutputTokens: 600, Model: "m", Pool: "p",
		Prefixes: []uint64{1, 2, 3}, PromptTokens: 4000,
	}
	return r
}

// A testCluster connects brokers. Messages stay queued until they are delivered.
type testCluster struct {
	brokers  []*Broker
	grants   [][]persimmoncart.GrantID
	messages []func(now time.Time)
	open     []map[uint64]bool
}

// A clusterEffects implements Effects for broker i of a cluster.
type clusterEffects struct {
	borrowers map[uint64]int // index of the borrower, by the number from ReceiveBorrow
	cluster   *testCluster
	i         int
}

func brokerName(i int) persimmoncart.InstanceID {
	return persimmoncart.InstanceID("n" + strconv.Itoa(i))
}

func (e *clusterEffects) Borrow(owner persimmoncart.InstanceID, request persimmoncart.BorrowRequest) {
	c := e.cluster
	k := int(owner[1] - '0')
	c.messages = append(c.messages, func(now time.Time) {
		o := c.brokers[k].settings.Effects.(*clusterEffects)
		o.borrowers[c.brokers[k].ReceiveBorrow(now, request)] = e.i
	})
}

func (e *clusterEffects) Grant(ticket uint64, g persimmoncart.Grant) {
	delete(e.cluster.open[e.i], ticket)
	e.cluster.grants[e.i] = append(e.cluster.grants[e.i], g.ID)
}

func (e *clusterEffects) ReplyBorrow(borrow uint64, loan persimmoncart.Loan) {
	c, to := e.cluster, e.borrowers[borrow]
	delete(e.borrowers, borrow)
	c.messages = append(c.messages, func(now time.Time) { c.brokers[to].ReceiveLoan(now, brokerName(e.i), loan) })
}

func (e *clusterEffects) Refuse(ticket uint64, _ *persimmoncart.Refusal) {
	delete(e.cluster.open[e.i], ticket)
}

func (e *clusterEffects) UpdateSlots(owner persimmoncart.InstanceID, changes []persimmoncart.LoanChange) {
	c, k := e.cluster, int(owner[1]-'0')
	c.messages = append(c.messages, func(now time.Time) { c.brokers[k].ReceiveChanges(now, brokerName(e.i), changes) })
}

// newTestCluster returns three brokers: the first owns a prefill and a decode
// replica, the second a prefill and two decode replicas, the third none.
func newTestCluster() *testCluster {
	c := &testCluster{grants: make([][]persimmoncart.GrantID, 3), open: make([]map[uint64]bool, 3)}
	var all []persimmoncart.Endpoint
	for i, n := range []int{2, 3, 0} {
		c.open[i] = make(map[uint64]bool)
		b, endpoints := testBroker(&clusterEffects{borrowers: make(map[uint64]int), cluster: c, i: i}, brokerName(i), i, n)
		c.brokers = append(c.brokers, b)
		all = append(all, endpoints...)
	}
	for _, b := range c.brokers {
		usable := make([]persimmoncart.UsableReplica, 0, len(b.replicas))
		for _, id := range sortedKeys(b.replicas) {
			r := b.replicas[id]
			slots := 2
			usable = append(usable, persimmoncart.UsableReplica{Blocks: r.Blocks, Endpoint: id, Owned: true, Slots: slots})
		}
		b.SetEndpoints(all, nil)
		b.SetUsable(usable)
	}
	return c
}

// exchange passes the digest of every broker to all brokers.
func (c *testCluster) exchange(now time.Time) {
	for _, b := range c.brokers {
		for _, o := range c.brokers {
			b.UpdateDigest(o.Digest(now), time.Millisecond)
		}
	}
}

// run steps all brokers and delivers all messages, 50 times in turn.
func (c *testCluster) run(now time.Time) {
	for range 50 {
		for _, b := range c.brokers {
			b.Step(now)
		}
		messages := c.messages
		c.messages = nil
		for _, m := range messages {
			m(now)
		}
	}
}

// Guards against slots that are granted twice or not released after a lost message,
// a cancelled request or an expired grant, and against requests that never end.
func TestBrokerCluster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := newTestCluster(), testStart
		node := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"cancel": func(t *rapid.T) {
				i := node.Draw(t, "node")
				if ids := sortedKeys(c.open[i]); len(ids) > 0 {
					c.brokers[i].Cancel(now, ids[0])
					delete(c.open[i], ids[0])
				}
			},
			"commit": func(t *rapid.T) {
				i := node.Draw(t, "node")
				for _, id := range c.grants[i] {
					c.brokers[i].Commit(now, id)
				}
			},
			"deliver": func(t *rapid.T) {
				if len(c.messages) > 0 {
					i := rapid.IntRange(0, len(c.messages)-1).Draw(t, "message")
					m := c.messages[i]
					c.messages = slices.Delete(c.messages, i, i+1)
					m(now)
				}
			},
			"exchange": func(*rapid.T) { c.exchange(now) },
			"lose": func(*rapid.T) {
				if len(c.messages) > 0 {
					c.messages = c.messages[1:]
				}
			},
			"prefilled": func(t *rapid.T) {
				i := node.Draw(t, "node")
				for _, id := range c.grants[i] {
					c.brokers[i].PrefillDone(now, id)
				}
			},
			"release": func(t *rapid.T) {
				i := node.Draw(t, "node")
				if len(c.grants[i]) > 0 {
					c.brokers[i].Release(now, c.grants[i][0])
					c.grants[i] = c.grants[i][1:]
				}
			},
			"submit": func(t *rapid.T) {
				i := node.Draw(t, "node")
				r := testRequest(persimmoncart.ClassBatch, now.Sub(testStart)+2*time.Minute)
				if ticket, refusal := c.brokers[i].Submit(now, r, 1); refusal == nil {
					c.open[i][ticket] = true
				}
			},
			"": func(t *rapid.T) {
				for _, b := range c.brokers {
					b.Step(now)
					for _, r := range b.replicas {
						slots, blocks := r.Free()
						assert.Assert(t, slots >= 0 && slots <= r.Slots && blocks >= 0 && blocks <= r.Blocks)
					}
				}
			},
		})
		for i, b := range c.brokers {
			for _, id := range c.grants[i] {
				b.Release(now, id)
			}
			c.grants[i] = nil
		}
		for range 4 { // a slot whose release was lost expires after its deadline
			now = now.Add(time.Minute)
			c.run(now)
			for i, b := range c.brokers {
				for _, id := range c.grants[i] {
					b.Release(now, id)
				}
				c.grants[i] = nil
			}
		}
		c.run(now.Add(time.Minute))
		for i, b := range c.brokers {
			assert.Equal(t, len(c.open[i]), 0, "requests without an end")
			assert.Equal(t, b.ledger.Len(), 0, "reservations that were not released")
			assert.Equal(t, b.Waiting(), 0)
		}
	})
}

// Guards against an instance without replicas that does not use the slots of other
// owners.
func TestBrokerBorrows(t *testing.T) {
	c := newTestCluster()
	c.exchange(testStart)
	for range 8 {
		ticket, refusal := c.brokers[2].Submit(testStart, testRequest(persimmoncart.ClassBatch, 10*time.Minute), 1)
		assert.Assert(t, refusal == nil)
		c.open[2][ticket] = true
	}
	now := testStart
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		c.run(now)
		for _, id := range c.grants[2] {
			c.brokers[2].Commit(now, id)
			c.brokers[2].PrefillDone(now, id)
		}
	}
	assert.Equal(t, len(c.grants[2]), 6, "grants on three decode replicas with two slots each")
}

// Guards against losing count of the slots in use on a replica that leaves the usable
// set and returns to it.
func TestBrokerRegainsReplica(t *testing.T) {
	e := &benchEffects{}
	b, endpoints := testBroker(e, "n0", 0, 2)
	usable := []persimmoncart.UsableReplica{
		{Blocks: 170, Endpoint: endpoints[0].ID, Owned: true, Slots: 4}, {Blocks: 170, Endpoint: endpoints[1].ID, Owned: true, Slots: 1},
	}
	b.SetUsable(usable)
	_, refusal := b.Submit(testStart, testRequest(persimmoncart.ClassBatch, time.Hour), 1)
	assert.Assert(t, refusal == nil)
	b.Step(testStart)
	first := e.granted
	assert.Assert(t, b.Commit(testStart, first))
	b.SetUsable(nil)
	b.SetUsable(usable)
	_, refusal = b.Submit(testStart, testRequest(persimmoncart.ClassBatch, time.Hour), 1)
	assert.Assert(t, refusal == nil)
	b.Step(testStart)
	assert.Equal(t, e.granted, first, "slot granted twice")
	b.Release(testStart, first)
	b.Step(testStart)
	assert.Assert(t, e.granted != first)
}

// Guards against a new instance that refuses all requests until it receives the first
// digests, and against keeping requests that no replica will ever serve.
func TestBrokerWithoutOwners(t *testing.T) {
	b, _ := testBroker(&benchEffects{}, "n0", 0, 2)
	b.SetUsable(nil)
	request := testRequest(persimmoncart.ClassBatch, time.Hour)
	_, refusal := b.Submit(testStart, request, 1)
	assert.Assert(t, refusal == nil)
	request.Model = "other"
	_, refusal = b.Submit(testStart, request, 1)
	assert.Equal(t, refusal.Code, persimmoncart.RefusalPoolEmpty)
}

// Guards against requests that wait for a dead replica, or for one that they avoid
// although there is no other, and against a dead replica that is never probed.
func TestBrokerDeadReplica(t *testing.T) {
	e := &benchEffects{}
	b, endpoints := testBroker(e, "n0", 0, 2)
	now := testStart
	for range stragglerEjectFailures {
		b.Report(now, persimmoncart.CallResult{Endpoint: endpoints[0].ID, Failed: true, Role: persimmoncart.RolePrefill})
	}
	request := testRequest(persimmoncart.ClassInteractive, time.Hour)
	request.Avoid = []persimmoncart.EndpointID{endpoints[0].ID}
	_, refusal := b.Submit(now, request, 1)
	assert.Assert(t, refusal == nil)
	b.Step(now)
	assert.Equal(t, e.granted, persimmoncart.GrantID(""))
	now = now.Add(stragglerMinProbe)
	b.Step(now)
	assert.Assert(t, e.granted != "", "request not served by the replica that is due for a probe")
	b.Release(now, e.granted)
	b.Report(now, persimmoncart.CallResult{Endpoint: endpoints[0].ID, Failed: true, Role: persimmoncart.RolePrefill})
	b.Report(now, persimmoncart.CallResult{Endpoint: endpoints[1].ID, Failed: true, Role: persimmoncart.RoleDecode})
	b.Report(now.Add(stragglerMinProbe), persimmoncart.CallResult{Endpoint: endpoints[1].ID, Failed: true, Role: persimmoncart.RoleDecode})
	b.Report(now.Add(2*stragglerMinProbe), persimmoncart.CallResult{Endpoint: endpoints[0].ID, Failed: true, Role: persimmoncart.RolePrefill})
	_, refusal = b.Submit(now, request, 1)
	assert.Assert(t, refusal == nil)
	b.Step(now)
	now = now.Add(unavailableTimeout + time.Second)
	b.Report(now, persimmoncart.CallResult{Endpoint: endpoints[0].ID, Failed: true, Role: persimmoncart.RolePrefill})
	b.Step(now)
	assert.Equal(t, b.Waiting(), 0, "request kept although no replica can serve it")
	_, refusal = b.Submit(now, request, 1)
	assert.Assert(t, refusal != nil && refusal.Outcome == persimmoncart.OutcomeNotRun && refusal.RetryAfter > 0)
}
