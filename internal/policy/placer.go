package policy

import (
	"math"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// DefaultTokenBytes is the size of the KV cache of one prompt token in
	// bytes: 7,700 GB/s over 16,000 requests/s of about 4,000 tokens.
	DefaultTokenBytes = 120e3
	// loadPenalty is the cost of a full decode batch compared with an empty
	// one. It spreads requests, because the time between tokens grows with the
	// batch. A replica outside the preferred data centre costs the same.
	loadPenalty = 150 * time.Millisecond
	// maxDataCentres is the maximum number of data centres that one decision
	// considers.
	maxDataCentres = 8
)

// A PlacementRequest is one request to place.
type PlacementRequest struct {
	Avoid               []persimmoncart.EndpointID // endpoints to leave out
	Blocks              int                        // decode memory
	Class               persimmoncart.Class
	Model               persimmoncart.ModelName
	PreferredDataCentre persimmoncart.DataCentre // that of a lent slot already held, or empty
	Prefixes            []uint64                 // block hashes of the prompt, the shortest prefix first
	Region              persimmoncart.Region     // the only one allowed, or empty
	Tokens              int                      // of the prompt
}

// A Placement is a chosen pair of replicas with the expected times from the
// decision on.
type Placement struct {
	CachedTokens       int // prompt tokens expected in the prefill replica's cache
	Decode             *Replica
	ExpectedFirstToken time.Duration // PrefillTime and TransferTime
	Prefill            *Replica
	PrefillTime        time.Duration // prefill and the wait for it
	TransferTime       time.Duration // transfer of the KV cache
}

// A Placer chooses prefill and decode replicas as one decision.
type Placer struct {
	Links          *Links
	MaxPrefillWait time.Duration // longest prefill wait for which a decode slot is reserved
	Prefixes       *PrefixIndex
	TokenBytes     float64 // size of the KV cache of one prompt token, in bytes

	decodes  [maxDataCentres]candidate // scratch of one decision
	hints    cacheHints                // scratch of one decision
	prefills [maxDataCentres]candidate // scratch of one decision
}

// A candidate is the best replica of one data centre with its cost.
type candidate struct {
	cost    time.Duration
	replica *Replica
}

// Choose returns the pair of replicas with the lowest cost: the expected time
// of the first token and the cost of the decode batch. Both are in one region,
// because KV cache is never transferred between regions. It reports false if no
// pair can serve now.
func (p *Placer) Choose(now time.Time, request *PlacementRequest, prefills, decodes []*Replica) (Placement, bool) {
	np := p.collectPrefills(now, request, prefills)
	nd := p.collectDecodes(request, decodes)
	best, bestCost := Placement{}, time.Duration(math.MaxInt64)
	for _, f := range p.prefills[:np] {
		for _, d := range p.decodes[:nd] {
			from, to := &f.replica.Endpoint, &d.replica.Endpoint
			if from.Region != to.Region {
				continue
			}
			transfer := p.transferTime(now.Add(f.cost), from.DataCentre, to.DataCentre, request.Tokens)
			if cost := f.cost + transfer + d.cost; cost < bestCost {
				bestCost = cost
				best = Placement{Decode: d.replica, ExpectedFirstToken: f.cost + transfer, Prefill: f.replica, PrefillTime: f.cost, TransferTime: transfer}
			}
		}
	}
	if best.Decode == nil {
		return best, false
	}
	best.CachedTokens = best.Prefill.cachedTokens
	return best, true
}

// ChooseDecode returns the best decode replica, regardless of prefill replicas.
// It reports false if none can serve now.
func (p *Placer) ChooseDecode(request *PlacementRequest, decodes []*Replica) (*Replica, bool) {
	return cheapest(p.decodes[:p.collectDecodes(request, decodes)], request.PreferredDataCentre)
}

// ChoosePrefill returns the best prefill replica, regardless of decode
// replicas. It reports false if none can serve now.
func (p *Placer) ChoosePrefill(now time.Time, request *PlacementRequest, prefills []*Replica) (*Replica, bool) {
	return cheapest(p.prefills[:p.collectPrefills(now, request, prefills)], request.PreferredDataCentre)
}

// cheapest returns the candidate with the lowest cost, in which a data centre
// other than the preferred one adds loadPenalty.
func cheapest(candidates []candidate, preferred persimmoncart.DataCentre) (*Replica, bool) {
	best, bestCost := (*Replica)(nil), time.Duration(math.MaxInt64)
	for _, c := range candidates {
		cost := c.cost
		if preferred != "" && c.replica.Endpoint.DataCentre != preferred {
			cost += loadPenalty
		}
		if cost < bestCost {
			best, bestCost = c.replica, cost
		}
	}
	return best, best != nil
}

// collectDecodes stores the best decode replica of each data centre in
// p.decodes and returns their number.
func (p *Placer) collectDecodes(request *PlacementRequest, replicas []*Replica) int {
	n := 0
	for _, r := range replicas {
		if !r.fits(request.Blocks, request) {
			continue
		}
		n = keepBest(&p.decodes, n, r, r.loadCost())
	}
	return n
}

// collectPrefills stores the best prefill replica of each data centre in
// p.prefills and returns their number.
func (p *Placer) collectPrefills(now time.Time, request *PlacementRequest, replicas []*Replica) int {
	p.Prefixes.lookup(now, request.Prefixes, &p.hints)
	n := 0
	for _, r := range replicas {
		wait := r.Wait(now)
		if wait > p.MaxPrefillWait || !r.fits(0, request) {
			continue
		}
		r.cachedTokens = min(p.hints.cachedTokens(r.Endpoint.ID), request.Tokens)
		n = keepBest(&p.prefills, n, r, wait+r.prefillTime(request.Tokens-r.cachedTokens))
	}
	return n
}

// transferTime returns the expected time to transfer the KV cache of a prompt.
func (p *Placer) transferTime(start time.Time, from, to persimmoncart.DataCentre, tokens int) time.Duration {
	return p.Links.TransferTime(start, from, to, float64(tokens)*p.TokenBytes)
}

// keepBest stores the replica if it is the best one of its data centre so far,
// and returns the number of candidates.
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

// reserveTransfer reserves the path between the data centres for the transfer
// of a placement.
func (p *Placer) reserveTransfer(now time.Time, placement *Placement, tokens int) {
	p.Links.Reserve(now.Add(placement.PrefillTime), placement.Prefill.Endpoint.DataCentre, placement.Decode.Endpoint.DataCentre, float64(tokens)*p.TokenBytes)
}
