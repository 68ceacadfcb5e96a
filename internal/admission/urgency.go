package admission

const (
	// urgencyGain is the weight of a new request in the mean priority, and urgencyMargin
	// the difference to it from which a request is urgent.
	urgencyGain   = 0.05
	urgencyMargin = 0.5
	// urgentShareGain is the least weight of a new request in the share of urgent ones.
	urgentShareGain = 0.005
	// maxUrgentShare is the share of requests from which they are not urgent together.
	maxUrgentShare = 0.5
)

// An Urgency tells which requests are more urgent than most of a pool, whatever their
// priorities are.
type Urgency struct {
	count int     // requests so far
	mean  float64 // priority of recent requests
	share float64 // of recent requests that are more urgent than the mean
}

// Add records a request and reports whether it is urgent.
func (u *Urgency) Add(priority int) bool {
	if u.count == 0 {
		u.mean = float64(priority)
	}
	u.count++
	u.mean += urgencyGain * (float64(priority) - u.mean)
	above, indicator := float64(priority) < u.mean-urgencyMargin, 0.0
	if above {
		indicator = 1
	}
	u.share += max(urgentShareGain, 1/float64(u.count)) * (indicator - u.share)
	return above && u.Share() > 0
}

// Share returns the share of urgent requests among recent ones. It is zero if most are more
// urgent than the mean, which a few of a very low priority make so.
func (u *Urgency) Share() float64 {
	if u.share >= maxUrgentShare {
		return 0
	}
	return u.share
}
