package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
	memberv1 "github.com/persimmoncart/persimmoncart/proto/member/v1"
)

// entries draws random members of a cell, sorted by identifier.
func entries(t *rapid.T, label string) []entry {
	var members []entry
	for i := range 8 {
		if !rapid.Bool().Draw(t, label) {
			continue
		}
		members = append(members, entry{
			dead:     rapid.Bool().Draw(t, label),
			instance: persimmoncart.Instance{ID: persimmoncart.InstanceID(fmt.Sprintf("e%d", i)), Incarnation: 1},
			version:  uint32(rapid.IntRange(0, 1).Draw(t, label)),
		})
	}
	return members
}

// Guards against a receiver whose cell differs from the sender's after it applied
// a difference.
func TestChangesLeadToTheSameCell(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, now := entries(t, "old"), entries(t, "now")
		changed, ok := diffEntries(old, now)
		if !ok {
			return
		}
		assert.Equal(t, contentHash(replaceEntries(old, changed)), contentHash(now))
		assert.Equal(t, len(replaceEntries(old, changed)), len(now))
	})
}

// Guards against a difference that is applied to a content other than its base,
// and against a sender that does not send the whole cell after such a case.
func TestChangesFromAnUnknownState(t *testing.T) {
	now := time.Unix(0, 0)
	difference := &memberv1.Cell{
		Base:       7,
		DataCentre: "kass-hall1",
		Hash:       9,
		Members:    []*memberv1.Entry{{Id: "e1", Incarnation: 1}},
		Version:    2,
	}
	m := &Machine{Rand: rand.New(rand.NewPCG(1, 1)), Self: persimmoncart.Instance{DataCentre: "sfax-hall1", ID: "e0"}}
	m.init(now)
	m.mergeCells(now, []*memberv1.Cell{difference})
	assert.Equal(t, len(m.cells), 0)

	c := &cell{confirmedHash: 5, hash: 5, members: []entry{{instance: persimmoncart.Instance{ID: "e1"}}}, name: "kass-hall1"}
	m.cells["kass-hall1"] = c
	m.mergeCells(now, []*memberv1.Cell{difference})
	assert.Equal(t, c.hash, uint64(5))

	call := Call{Instance: persimmoncart.Instance{DataCentre: "kass-hall1"}, Request: &memberv1.SummaryRequest{Cell: difference}}
	m.handleSummaryResult(now, call, &memberv1.SummaryReply{HaveHash: 5}, nil)
	assert.Equal(t, c.confirmedHash, uint64(0))
}
