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
	// placeCentres bounds the data centres that one decision considers.
	placeCentres = 8
)

// An Ask is one request as placement sees it.
type Ask struct {
	Avoid    []persimmoncart.EndpointID
	Blocks   int
	Class    persimmoncart.Class
	Home     persimmoncart.DataCentre // of a lent slot already held, or empty
	Model    persimmoncart.ModelName
	Prefixes []uint64
	Region   persimmoncart.Region // the only one allowed, or empty
	Tokens   int
}

// A Choice is a placement: replicas and the expected times from now on.
type Choice struct {
	Cached   int
	Decode   *Replica
	First    time.Duration // prefill wait, prefill and transfer
	Prefill  *Replica
	Wait     time.Duration // prefill wait and prefill
	Transfer time.Duration
}

// A Placement chooses prefill and decode replicas as one decision.
type Placement struct {
	Links      *Links
	MaxWait    time.Duration // longest prefill queue that a decode slot is held for
	Prefixes   *PrefixIndex
	TokenBytes float64

	decodes  [placeCentres]candidate
	hints    hints
	prefills [placeCentres]candidate
}

// A candidate is the best replica of one data centre.
type candidate struct {
	cost    time.Duration
	replica *Replica
}

// Choose returns the pair of replicas with the earliest expected first token,
// corrected for the decode batch. Both are in one region, because KV cache
// never crosses regions. It reports false if no pair can serve now.
func (p *Placement) Choose(now time.Time, ask *Ask, prefills, decodes []*Replica) (Choice, bool) {
	np := p.collectPrefills(now, ask, prefills)
	nd := p.collectDecodes(ask, decodes)
	best, bestCost := Choice{}, time.Duration(math.MaxInt64)
	for _, f := range p.prefills[:np] {
		for _, d := range p.decodes[:nd] {
			from, to := &f.replica.Endpoint, &d.replica.Endpoint
			if from.Region != to.Region {
				continue
			}
			transfer := p.transfer(now.Add(f.cost), from.DataCentre, to.DataCentre, ask.Tokens)
			if cost := f.cost + transfer + d.cost; cost < bestCost {
				bestCost = cost
				best = Choice{Decode: d.replica, First: f.cost + transfer, Prefill: f.replica, Transfer: transfer, Wait: f.cost}
			}
		}
	}
	if best.Decode == nil {
		return best, false
	}
	best.Cached = best.Prefill.cached
	return best, true
}

// ChooseDecode returns the best decode replica alone.
func (p *Placement) ChooseDecode(ask *Ask, decodes []*Replica) (*Replica, bool) {
	return nearest(p.decodes[:p.collectDecodes(ask, decodes)], ask.Home)
}

// ChoosePrefill returns the best prefill replica alone.
func (p *Placement) ChoosePrefill(now time.Time, ask *Ask, prefills []*Replica) (*Replica, bool) {
	return nearest(p.prefills[:p.collectPrefills(now, ask, prefills)], ask.Home)
}

// nearest returns the cheapest candidate; one in the home data centre is
// preferred over an equally good one elsewhere.
func nearest(candidates []candidate, home persimmoncart.DataCentre) (*Replica, bool) {
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
func (p *Placement) collectDecodes(ask *Ask, replicas []*Replica) int {
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
func (p *Placement) collectPrefills(now time.Time, ask *Ask, replicas []*Replica) int {
	p.Prefixes.lookup(now, ask.Prefixes, &p.hints)
	n := 0
	for _, r := range replicas {
		wait := r.Wait(now)
		if wait > p.MaxWait || !r.fits(0, ask) {
			continue
		}
		r.cached = min(p.hints.cached(r.Endpoint.ID), ask.Tokens)
		n = keepBest(&p.prefills, n, r, wait+r.duration(ask.Tokens-r.cached))
	}
	return n
}

// transfer returns the expected time to transfer the KV cache of tokens tokens.
func (p *Placement) transfer(start time.Time, from, to persimmoncart.DataCentre, tokens int) time.Duration {
	return p.Links.Transfer(start, from, to, float64(tokens)*p.TokenBytes)
}

// keepBest updates the best candidate of the replica's data centre and returns
// the number of data centres.
func keepBest(best *[placeCentres]candidate, n int, r *Replica, cost time.Duration) int {
	for i := range n {
		if best[i].replica.Endpoint.DataCentre == r.Endpoint.DataCentre {
			if cost < best[i].cost {
				best[i] = candidate{cost: cost, replica: r}
			}
			return n
		}
	}
	if n == placeCentres {
		return n
	}
	best[n] = candidate{cost: cost, replica: r}
	return n + 1
}

// reserveTransfer occupies the link for the transfer of a choice.
func (p *Placement) reserveTransfer(now time.Time, c *Choice, tokens int) {
	p.Links.Reserve(now.Add(c.Wait), c.Prefill.Endpoint.DataCentre, c.Decode.Endpoint.DataCentre, float64(tokens)*p.TokenBytes)
}
