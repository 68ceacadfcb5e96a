package bench

import (
	"github.com/persimmoncart/persimmoncart"
)

// A Miss counts the completions of one class and region that missed their
// targets for one reason.
type Miss struct {
	Case       string               `json:"case"`
	Class      string               `json:"class"`
	Count      int                  `json:"count"`
	Deployment string               `json:"deployment"`
	Reason     string               `json:"reason"`
	Region     persimmoncart.Region `json:"region"`
	Router     string               `json:"router"`
}

// missReason returns why a completion missed its targets, or an empty string
// if it met them.
func (q *request) missReason() string {
	switch {
	case q.metTargets():
		return ""
	case q.refused:
		return "refused"
	case q.answered.IsZero():
		return "unanswered"
	case q.answered.After(q.deadline):
		return "deadline"
	case !q.firstTokenDeadline.IsZero() && q.firstToken.After(q.firstTokenDeadline):
		return "first token"
	default:
		return "pace"
	}
}

// misses counts the measured completions that missed their targets, in the
// order in which each combination first occurred.
func misses(c *comparison, router string, requests []*request) []Miss {
	var list []Miss
	index := make(map[Miss]int)
	for _, q := range requests {
		if !q.measured || q.kind != kindCompletion || q.metTargets() {
			continue
		}
		m := Miss{
			Case: c.name, Class: q.class.String(), Deployment: c.deployment, Reason: q.missReason(),
			Region: q.region, Router: router,
		}
		i, found := index[m]
		if !found {
			i = len(list)
			index[m] = i
			list = append(list, m)
		}
		list[i].Count++
	}
	return list
}
