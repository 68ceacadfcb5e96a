package ownership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
)

// A modelNode is one process in the model test. Its clock runs at its own rate.
type modelNode struct {
	ended   bool
	machine Machine
	offset  time.Duration
	paused  bool
	rate    float64
}

// A modelMessage is a probe or a reply in transit. Both state the epoch of the
// sender.
type modelMessage struct {
	epoch    uint64
	from, to int
	reply    bool
	sent     time.Time // local time at which the probe was sent
}

// A model runs a few machines under a random schedule. The store is a list of
// records, by epoch; a node may write any membership at any time, since safety
// must not depend on which members are proposed when.
type model struct {
	messages    []modelMessage
	nodes       []*modelNode
	now         time.Duration
	ownedStates int // replicas with an owner, summed over all steps
	random      *rand.Rand
	records     []Record
	replicas    []persimmoncart.EndpointID
	trace       []string
}

// local returns the time on the clock of a node.
func (m *model) local(n *modelNode) time.Time {
	return time.Unix(1e9, 0).Add(n.offset + time.Duration(float64(m.now)*n.rate))
}

// dead is the proof of death: it is true only for processes that have ended.
func (m *model) dead(t persimmoncart.Tag) bool {
	for _, n := range m.nodes {
		if n.machine.Self == t {
			return n.ended
		}
	}
	return false
}

// start starts a process.
func (m *model) start(tag persimmoncart.Tag) {
	m.nodes = append(m.nodes, &modelNode{
		machine: Machine{Cell: "c", Dead: m.dead, Self: tag},
		offset:  time.Duration(m.random.Int64N(int64(time.Hour))),
		rate:    0.9 + m.random.Float64()*0.2,
	})
}

// randomRunning returns the index of a random node, and the node itself unless
// it has ended or is paused.
func (m *model) randomRunning() (int, *modelNode) {
	i := m.random.IntN(len(m.nodes))
	n := m.nodes[i]
	if n.ended || n.paused {
		return i, nil
	}
	return i, n
}

// step performs one random action and returns its description, or nothing if it
// had no effect.
func (m *model) step() string {
	i, n := m.randomRunning()
	switch k := m.random.IntN(40); {
	case k < 12:
		d := time.Duration(m.random.Int64N(int64(700 * time.Millisecond)))
		m.now += d
		return fmt.Sprint("wait ", d)
	case k < 20:
		if n == nil {
			return ""
		}
		now := m.local(n)
		for _, t := range n.machine.MembersToProbe(now, func(persimmoncart.InstanceID) bool { return false }) {
			for j, q := range m.nodes {
				if q.machine.Self == t {
					m.messages = append(m.messages, modelMessage{sent: now, epoch: n.machine.Epoch(), from: i, to: j})
				}
			}
		}
		return fmt.Sprint("probe ", i)
	case k < 33:
		return m.deliver()
	case k < 36:
		if n == nil || len(m.records) == 0 {
			return ""
		}
		r := m.records[len(m.records)-1]
		n.machine.ReceiveRecord(m.local(n), &r)
		return fmt.Sprint("receive record ", i, " ", r.Epoch)
	case k < 38:
		return m.write(i, n)
	case k == 38:
		m.nodes[i].paused = !m.nodes[i].paused
		return fmt.Sprint("pause ", i, " ", m.nodes[i].paused)
	default:
		if m.nodes[i].ended || m.random.IntN(4) > 0 {
			return ""
		}
		m.nodes[i].ended = true
		tag := m.nodes[i].machine.Self
		tag.Incarnation++
		m.start(tag)
		return fmt.Sprint("restart ", i)
	}
}

// write writes the next record; the response may be lost.
func (m *model) write(i int, n *modelNode) string {
	if n == nil || int(n.machine.Epoch()) != len(m.records) {
		return "" // the store rejects a write that is based on an old version
	}
	var members []persimmoncart.Tag
	for _, q := range m.nodes {
		if !q.ended && m.random.IntN(4) > 0 {
			members = append(members, q.machine.Self)
		}
	}
	r, possible := n.machine.NextRecord(m.local(n), members, m.replicas, "")
	if !possible || len(members) == 0 {
		return ""
	}
	m.records = append(m.records, r)
	if m.random.IntN(3) > 0 {
		n.machine.ReceiveRecord(m.local(n), &r)
	}
	return fmt.Sprint("write ", i, " ", members)
}

// deliver delivers, drops or duplicates a random message.
func (m *model) deliver() string {
	if len(m.messages) == 0 {
		return ""
	}
	k := m.random.IntN(len(m.messages))
	x := m.messages[k]
	to := m.nodes[x.to]
	if to.paused {
		return ""
	}
	if m.random.IntN(10) > 0 {
		m.messages = slices.Delete(m.messages, k, k+1)
	}
	if to.ended || m.random.IntN(10) == 0 {
		return fmt.Sprint("drop ", x)
	}
	from := m.nodes[x.from].machine.Self
	if x.reply {
		to.machine.ReceiveAck(m.local(to), from, x.epoch, x.sent)
	} else {
		to.machine.ReceiveAck(m.local(to), from, x.epoch, time.Time{})
		m.messages = append(m.messages, modelMessage{reply: true, sent: x.sent, epoch: to.machine.Epoch(), from: x.to, to: x.from})
	}
	return fmt.Sprint("deliver ", x)
}

// checkOwners returns an error if a replica has two owners now. A paused
// process counts: it may continue at any moment without detecting the pause.
func (m *model) checkOwners() error {
	for _, r := range m.replicas {
		owner := -1
		for i, n := range m.nodes {
			if n.ended || !n.machine.Owns(m.local(n), r) {
				continue
			}
			if owner >= 0 {
				return fmt.Errorf("%s is owned by %d and %d at %s", r, owner, i, m.now)
			}
			owner = i
			m.ownedStates++
		}
	}
	return nil
}

// Guards against two owners of one replica at the same time, under any order of
// pauses, lost, late and repeated replies, partitions, restarts and changes of
// membership, with clocks that differ in rate by up to a fifth.
func TestModelOneOwner(t *testing.T) {
	const schedules, steps = 2000, 300
	ownedStates := 0
	for seed := range uint64(schedules) {
		m := &model{random: rand.New(rand.NewPCG(seed, 0)), replicas: []persimmoncart.EndpointID{"a", "b", "c"}}
		for i := range 2 + m.random.IntN(4) {
			m.start(persimmoncart.Tag{Incarnation: 1, Instance: persimmoncart.InstanceID(fmt.Sprint("i", i))})
		}
		for range steps {
			if s := m.step(); s != "" {
				m.trace = append(m.trace, s)
			}
			if err := m.checkOwners(); err != nil {
				t.Fatalf("seed %d: %v\n%v", seed, err, m.trace)
			}
		}
		ownedStates += m.ownedStates
	}
	// The schedules must reach states in which replicas are owned.
	assert.Assert(t, ownedStates > schedules, "%d", ownedStates)
	t.Logf("%d schedules, %d owned replica states", schedules, ownedStates)
}
