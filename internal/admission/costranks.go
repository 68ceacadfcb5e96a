package admission

import "math"

const (
	// costGain is the least weight of a new cost in the averages.
	costGain = 0.05
	// initialCostDeviation is the standard deviation of the logarithm of costs before
	// there are any.
	initialCostDeviation = 1
)

// CostRanks tells how a cost compares with the costs of recent requests, whose
// logarithms are taken to be normally distributed.
type CostRanks struct {
	count    int     // costs so far
	mean     float64 // of the logarithms
	variance float64 // of the logarithms
}

// Add records a cost and returns the expected share of costs below it, from 0 to 1.
func (c *CostRanks) Add(cost float64) float64 {
	if cost <= 0 {
		return 0
	}
	x := math.Log(cost)
	if c.count == 0 {
		c.mean, c.variance = x, initialCostDeviation*initialCostDeviation
	}
	c.count++
	gain := max(costGain, 1/float64(c.count+1))
	deviation := x - c.mean
	c.mean += gain * deviation
	c.variance += gain * (deviation*deviation - c.variance)
	return 0.5 * math.Erfc(-(x-c.mean)/math.Sqrt(2*c.variance))
}
