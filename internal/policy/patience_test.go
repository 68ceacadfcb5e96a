package policy_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// Guards against callers that come back after a refusal being taken for new ones,
// which makes the engines serve late responses during an overload, and against new
// callers being taken for returning ones, whose attempts then yield for nothing.
func TestPatience(t *testing.T) {
	const usual = 14 * time.Second
	for _, c := range []struct {
		name      string
		returning float64       // share of the attempts
		back      time.Duration // shortest time after which they come back
		missed    float64       // highest share of returning attempts that may count as first
	}{
		{name: "no overload"},
		{name: "overload", returning: 0.3, back: 4 * time.Second},
		{name: "deep overload", returning: 0.45, back: 4 * time.Second},
		{name: "soon back", returning: 0.3, back: 2600 * time.Millisecond, missed: 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 4))
			p := &policy.Patience{}
			first, returning, missed, mistaken := 0, 0, 0, 0
			for n := range 2000 {
				left := usual - time.Duration(0.15*random.Float64()*float64(usual)) // callers differ in patience
				comesBack := random.Float64() < c.returning
				if comesBack {
					left -= c.back + time.Duration(random.Float64()*float64(2*time.Second))
				}
				waited := p.Waited(left)
				switch {
				case n < 100:
				case comesBack:
					returning++
					if waited == 0 {
						missed++
					}
				default:
					first++
					if waited != 0 {
						mistaken++
					}
				}
			}
			assert.Assert(t, mistaken <= first/100, "%d of %d first attempts count as returning", mistaken, first)
			assert.Assert(t, float64(missed) <= c.missed*float64(returning)+0.02*float64(returning), "%d of %d returning attempts count as first", missed, returning)
		})
	}
}

// Guards against one caller with an unusual deadline that makes all others look as
// if they had come back.
func TestPatienceOutlier(t *testing.T) {
	p := &policy.Patience{}
	p.Waited(time.Hour)
	for n := range 200 {
		left := 5 * time.Second
		if n%10 == 0 {
			left = time.Hour
		}
		waited := p.Waited(left)
		assert.Assert(t, waited == 0, "attempt %d", n)
	}
}
