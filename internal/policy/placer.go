package policy

import (
	"math"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Constants of placement.
const (
	// DefaultTokenBytes is the KV cache of one prompt token: 7,700 GB/s over
	// 16,000 requests/s of about 4,000 tokens.
	DefaultTokenBytes = 120e3
	// loadPenalty is the cost of a full decode batch relative to an empty one;
	// it spreads requests, because pace grows with the batch.
	loadPenalty = 150 * time.Millisecond
	// maxDataCentres bounds the data centres that one decision considers.
	maxDataCentres = 8
)

// An PlacementRequest is one request as placement sees it.
type PlacementRequest struct {
	Avoid               []persimmoncart.EndpointID
	Blocks              int
	Class               persimmoncart.Class
	PreferredDataCentre persimmoncart.DataCentre // of a lent slot already held, or empty
	Model               persimmoncart.ModelName
	Prefixes            []uint64
	Region              persimmoncart.Region // the only one allowed, or empty
	Tokens              int
}

// A Placement is a placement: replicas and the expected times from now on.
type Placement struct {
	CachedTokens       int
	Decode             *Replica
	ExpectedFirstToken time.Duration // prefill wait, prefill and transfer
	Prefill            *Replica
	PrefillTime        time.Duration // prefill wait and prefill
	TransferTime       time.Duration
}

// A Placer chooses prefill and decode replicas as one decision.
type Placer struct {
	Links      *Links
	MaxWait    time.Duration // longest prefill queue that a decode slot is held for
	Prefixes   *PrefixIndex
	TokenBytes float64

	decodes  [maxDataCentres]candidate
	hints    cacheHints
	prefills [maxDataCentres]candidate
}

// A candidate is the best replica of one data centre.
type candidate struct {
	cost    time.Duration
	replica *Replica
}

// Choose returns the pair of replicas with the earliest expected first token,
// corrected for the decode batch. Both are in one region, because KV cache
// never crosses regions. It reports false if no pair can serve now.
func (p *Placer) Choose(now time.Time, ask *PlacementRequest, prefills, decodes []*Replica) (Placement, bool) {
	np := p.collectPrefills(now, ask, prefills)
	nd := p.collectDecodes(ask, decodes)
	best, bestCost := Placement{}, time.Duration(math.MaxInt64)
	for _, f := range p.prefills[:np] {
		for _, d := range p.decodes[:nd] {
			from, to := &f.replica.Endpoint, &d.replica.Endpoint
			if from.Region != to.Region {
				continue
			}
			transfer := p.transferTime(now.Add(f.cost), from.DataCentre, to.DataCentre, ask.Tokens)
			if cost := f.cost + transfer + d.cost; cost < bestCost {
				bestCost = cost
				best = Placement{Decode: d.replica, ExpectedFirstToken: f.cost + transfer, Prefill: f.replica, TransferTime: transfer, PrefillTime: f.cost}
			}
		}
	}
	if best.Decode == nil {
		return best, false
	}
	best.CachedTokens = best.Prefill.cachedTokens
	return best, true
}

// ChooseDecode returns the best decode replica alone.
func (p *Placer) ChooseDecode(ask *PlacementRequest, decodes []*Replica) (*Replica, bool) {
	return cheapest(p.decodes[:p.collectDecodes(ask, decodes)], ask.PreferredDataCentre)
}

// ChoosePrefill returns the best prefill replica alone.
func (p *Placer) ChoosePrefill(now time.Time, ask *PlacementRequest, prefills []*Replica) (*Replica, bool) {
	return cheapest(p.prefills[:p.collectPrefills(now, ask, prefills)], ask.PreferredDataCentre)
}

// cheapest returns the cheapest candidate; one in the home data centre is
// preferred over an equally good one elsewhere.
func cheapest(candidates []candidate, home persimmoncart.DataCentre) (*Replica, bool) {
	best, bestCost := (*Replica)(nil), time.Duration(math.MaxInt64)
	for _, c := range candidates {
		cost := c.cost
		if home != "" && c.replica.Endpoint.DataCentre != home {
			cost += loadPenalty
		}
		if cost < bestCost {
			best, bestCost = c.replica, cost
		}
	}
	return best, best != nil
}

// collectDecodes fills the best decode replica of each data centre.
func (p *Placer) collectDecodes(ask *PlacementRequest, replicas []*Replica) int {
	n := 0
	for _, r := range replicas {
		if !r.fits(ask.Blocks, ask) {
			continue
		}
		n = keepBest(&p.decodes, n, r, r.loadCost())
	}
	return n
}

// collectPrefills fills the best prefill replica of each data centre.
func (p *Placer) collectPrefills(now time.Time, ask *PlacementRequest, replicas []*Replica) int {
	p.Prefixes.lookup(now, ask.Prefixes, &p.hints)
	n := 0
	for _, r := range replicas {
		wait := r.Wait(now)
		if wait > p.MaxWait || !r.fits(0, ask) {
			continue
		}
		r.cachedTokens = min(p.hints.cachedTokens(r.Endpoint.ID), ask.Tokens)
		n = keepBest(&p.prefills, n, r, wait+r.prefillTime(ask.Tokens-r.cachedTokens))
	}
	return n
}

// transferTime returns the expected time to transferTime the KV cache of tokens tokens.
func (p *Placer) transferTime(start time.Time, from, to persimmoncart.DataCentre, tokens int) time.Duration {
	return p.Links.TransferTime(start, from, to, float64(tokens)*p.TokenBytes)
}

// keepBest updates the best candidate of the replica's data centre and returns
// the number of data centres.
func keepBest(best *[maxDataCentres]candidate, n int, r *Replica, cost time.Duration) int {
	for i := range n {
		if best[i].replica.Endpoint.DataCentre == r.Endpoint.DataCentre {
			if cost < best[i].cost {
				best[i] = candidate{cost: cost, replica: r}
			}
			return n
		}
	}
	if n == maxDataCentres {
		return n
	}
	best[n] = candidate{cost: cost, replica: r}
	return n + 1
}

// reserveTransfer occupies the link for the transfer of a choice.
func (p *Placer) reserveTransfer(now time.Time, c *Placement, tokens int) {
	p.Links.Reserve(now.Add(c.PrefillTime), c.Prefill.Endpoint.DataCentre, c.Decode.Endpoint.DataCentre, float64(tokens)*p.TokenBytes)
}
