package quota

import "time"

// SetJoinDelay sets the time that takes the place of joinDelay.
func (g *Ring) SetJoinDelay(d time.Duration) { g.shortDelay = d }

// OnGrant sets a function that is called with each grant of the instance, and with
// negative units for what is given back.
func (i *Instance) OnGrant(f func(now time.Time, account uint64, units int)) { i.holder.granted = f }

// Share returns the share of an account's limit that the instance holds.
func (i *Instance) Share(now time.Time, key uint64) float64 {
	shares, holds := i.Ring.share(now, key)
	if !holds {
		return 0
	}
	return 1 / float64(shares)
}

// Debt returns by how much a request has overdrawn the instance's bucket of an account; it
// is forgotten when the process ends.
func (i *Instance) Debt(now time.Time, limit Limit, key uint64) float64 {
	shares, holds := i.Ring.share(now, key)
	if _, found := i.holder.buckets[key]; !found || !holds {
		return 0
	}
	b := i.holder.bucket(now, limit, shares, key)
	return max(0, -b.level)
}

// Excess returns how much the holders of an account may grant at once beyond its burst, in
// requests of up to a number of units, and how much of that they forget when all of them
// end.
func Excess(l Limit, units int) (excess, forgotten float64) {
	capacity := l.capacity(MaxHolders)
	largest := max(capacity, min(float64(units), capacity+l.Least))
	return MaxHolders * (largest - l.Burst/MaxHolders), MaxHolders * (largest - capacity)
}
