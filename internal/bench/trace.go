package bench

import (
	"github.com/persimmoncart/persimmoncart"
)

// A Miss counts the completions of one kind that missed their targets.
type Miss struct {
	Case       string               `json:"case"`
	Class      string               `json:"class"`
	Count      int                  `json:"count"`
	Deployment string               `json:"deployment"`
	Reason     string               `json:"reason"`
	Region     persimmoncart.Region `json:"region"`
	Router     string               `json:"router"`
}

// missReason returns why a completion missed its targets, or an empty string.
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

// misses counts the completions that missed their targets, in the order in
// which each kind first occurred.
func misses(p *comparison, router string, jobs []*request) []Miss {
	var list []Miss
	index := make(map[Miss]int)
	for _, q := range jobs {
		if !q.measured || q.kind != kindCompletion || q.metTargets() {
			continue
		}
		m := Miss{
			Case: p.name, Class: q.class.String(), Deployment: p.deployment, Reason: q.missReason(),
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
