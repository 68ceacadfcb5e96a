package concurrency

import "time"

const (
	// loadHalfLife is the age at which a report counts half in the mean load.
	loadHalfLife = time.Second
	// loadForgetHalfLife is the time in which the mean load returns half-way to the mean of
	// the pool without reports.
	loadForgetHalfLife = 4 * time.Second
	// slowdownHalfLife is the age at which a report counts half in the mean slowdown, and
	// the time in which that returns half-way to the mean of the pool without reports.
	slowdownHalfLife = 3 * time.Second
	// slowdownMemory is the age at which the difference of the last reported slowdown
	// to the mean counts half. It is short, because noise in the speed ends quickly.
	slowdownMemory = 250 * time.Millisecond
	// minReportGain is the least weight of one report.
	minReportGain = 0.05
)

// A Load averages the load that one endpoint reports. A report is older than the
// requests that it counts take, so that the mean of several predicts more than the last.
type Load struct {
	last         float64 // requests of other instances in the last report
	lastSlowdown float64
	mean         float64
	meanSlowdown float64
	reported     time.Time // last report; zero before the first
}

// Others returns the expected number of requests of other instances. Memory is the age at
// which the difference of the last report to the mean counts half.
func (l *Load) Others(now time.Time, p *Pool, memory time.Duration) float64 {
	if l.reported.IsZero() {
		return p.others
	}
	age := now.Sub(l.reported)
	return max(0, p.others+(l.mean-p.others)*decayWeight(age, loadForgetHalfLife)+(l.last-l.mean)*decayWeight(age, memory))
}

// Report adds a report: the requests of other instances, and the time that work takes
// relative to normal, 0 if unknown.
func (l *Load) Report(now time.Time, p *Pool, others, slowdown float64) {
	slowdown = max(1, slowdown)
	if l.reported.IsZero() {
		l.mean, l.meanSlowdown = others, p.slowdown
	} else {
		age := now.Sub(l.reported)
		l.mean += max(minReportGain, 1-decayWeight(age, loadHalfLife)) * (others - l.mean)
		l.meanSlowdown = p.slowdown + (l.meanSlowdown-p.slowdown)*decayWeight(age, slowdownHalfLife)
		l.meanSlowdown += max(minReportGain, 1-decayWeight(age, slowdownHalfLife)) * (slowdown - l.meanSlowdown)
	}
	l.last, l.lastSlowdown, l.reported = others, slowdown, now
}

// Slowdown returns the expected time that work takes relative to normal; at least 1.
func (l *Load) Slowdown(now time.Time, p *Pool) float64 {
	if l.reported.IsZero() {
		return p.slowdown
	}
	age := now.Sub(l.reported)
	mean := p.slowdown + (l.meanSlowdown-p.slowdown)*decayWeight(age, slowdownHalfLife)
	return max(1, mean+(l.lastSlowdown-l.meanSlowdown)*decayWeight(age, slowdownMemory))
}
