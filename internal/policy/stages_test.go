package policy_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// learned returns stages that have seen generations of one kind.
func learned(prefill, decode time.Duration) *policy.Stages {
	s := &policy.Stages{}
	for range 100 {
		s.Prefilled(prefill)
		s.Decoded(decode, 4000, persimmoncart.EngineSize{Memory: 32000, Slots: 12})
	}
	return s
}

// engines returns engines of which the first prefill.
func engines(prefill, decode int) []*policy.SpreadEndpoint {
	var list []*policy.SpreadEndpoint
	for n := range prefill + decode {
		role := persimmoncart.RoleDecode
		if n < prefill {
			role = persimmoncart.RolePrefill
		}
		list = append(list, &policy.SpreadEndpoint{Endpoint: persimmoncart.Endpoint{
			DataCentre: persimmoncart.DataCentre(fmt.Sprint("d", n%2)), ID: persimmoncart.EndpointID(fmt.Sprintf("e%02d", n)), Role: role,
		}})
	}
	return list
}

// settle changes roles until the plan is content, and returns the prefill engines.
func settle(t *testing.T, s *policy.Stages, list []*policy.SpreadEndpoint) int {
	t.Helper()
	for range 2 * len(list) {
		changes := s.Plan(list, nil)
		if len(changes) == 0 {
			count := 0
			for _, e := range list {
				if e.Endpoint.Role == persimmoncart.RolePrefill {
					count++
				}
			}
			return count
		}
		for _, c := range changes {
			for _, o := range list {
				if o.Endpoint.ID == c.Endpoint.ID {
					o.Endpoint.Role = c.Role
				}
			}
		}
	}
	t.Fatal("the plan does not settle")
	return 0
}

// Guards against prefill engines that idle while decode engines turn requests
// away, and the reverse, as traffic shifts between long answers and long prompts;
// and against plans that go to and fro.
func TestStagesFollowTraffic(t *testing.T) {
	long := learned(100*time.Millisecond, 4*time.Second) // 0.1 and 0.5 engine seconds
	assert.Equal(t, settle(t, long, engines(6, 12)), 4)
	assert.Equal(t, settle(t, long, engines(1, 17)), 3)
	short := learned(200*time.Millisecond, time.Second)
	assert.Equal(t, settle(t, short, engines(2, 10)), 8)
}

// Guards against a region left without one of the two roles.
func TestStagesKeepOneOfEach(t *testing.T) {
	decodeOnly := learned(time.Millisecond, time.Minute)
	assert.Equal(t, settle(t, decodeOnly, engines(3, 3)), 1)
	prefillOnly := learned(time.Minute, time.Millisecond)
	assert.Equal(t, settle(t, prefillOnly, engines(3, 3)), 5)
}

// Guards against orders before anything is known, and against a second order
// before the first shows its effect.
func TestStagesWait(t *testing.T) {
	assert.Equal(t, len((&policy.Stages{}).Plan(engines(6, 12), nil)), 0)
	s := learned(100*time.Millisecond, 4*time.Second)
	assert.Equal(t, len(s.Plan(engines(6, 12), map[persimmoncart.EndpointID]bool{"e01": true})), 0)
}
