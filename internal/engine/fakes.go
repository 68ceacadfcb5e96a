package engine

import (
	"context"
	"net/netip"
	"sync"

	"github.com/persimmoncart/persimmoncart"
)

var (
	_ persimmoncart.Engines = (*Fakes)(nil)
	_ Exporter              = (*Fakes)(nil)
)

// A Fakes is a set of fake engines by address. The zero value is empty.
type Fakes struct {
	engines map[netip.AddrPort]*Fake
	mutex   sync.Mutex
}

// Add adds f to the set and makes the set its Exporter.
func (s *Fakes) Add(f *Fake) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.engines == nil {
		s.engines = map[netip.AddrPort]*Fake{}
	}
	f.Exporter = s
	s.engines[f.Addr] = f
}

// Counters returns the sum of the counters of all engines.
func (s *Fakes) Counters() Counters {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var sum Counters
	for _, f := range s.engines {
		sum = sum.Plus(f.Counters())
	}
	return sum
}

// Engine implements persimmoncart.Engines. The engine at an unknown address is
// down.
func (s *Fakes) Engine(addr netip.AddrPort) persimmoncart.Engine {
	return s.Fake(addr)
}

// Export implements Exporter.
func (s *Fakes) Export(ctx context.Context, from netip.AddrPort, handle string) (KV, error) {
	return s.Fake(from).Export(ctx, handle)
}

// Fake returns the engine at addr, or one that is down if there is none.
func (s *Fakes) Fake(addr netip.AddrPort) *Fake {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if f := s.engines[addr]; f != nil {
		return f
	}
	return &Fake{Addr: addr, faults: Faults{Down: true}}
}

// Plus returns the sum of c and d.
func (c Counters) Plus(d Counters) Counters {
	return Counters{
		Broken:    c.Broken + d.Broken,
		Cached:    c.Cached + d.Cached,
		Cancelled: c.Cancelled + d.Cancelled,
		Decoded:   c.Decoded + d.Decoded,
		Evicted:   c.Evicted + d.Evicted,
		Orders:    c.Orders + d.Orders,
		Prefilled: c.Prefilled + d.Prefilled,
		Refused:   c.Refused + d.Refused,
		Wasted:    c.Wasted + d.Wasted,
	}
}
