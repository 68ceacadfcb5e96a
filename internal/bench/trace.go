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

// reason returns why a completion missed its targets, or an empty string.
func (j *job) reason() string {
	switch {
	case j.good():
		return ""
	case j.refused:
		return "refused"
	case j.answered.IsZero():
		return "unanswered"
	case j.answered.After(j.deadline):
		return "deadline"
	case !j.due.IsZero() && j.first.After(j.due):
		return "first token"
	default:
		return "pace"
	}
}

// misses counts the completions that missed their targets, in the order in
// which each kind first occurred.
func misses(p *pair, router string, jobs []*job) []Miss {
	var list []Miss
	index := make(map[Miss]int)
	for _, j := range jobs {
		if !j.measured || j.kind != kindCompletion || j.good() {
			continue
		}
		m := Miss{
			Case: p.name, Class: j.class.String(), Deployment: p.deployment, Reason: j.reason(),
			Region: j.region, Router: router,
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
