package load

import (
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/peer"
)

// Budget is the control traffic of one instance in bytes a second, as the mean
// over a minute; see docs/design.md section 4.
const Budget = 2048

// Kinds of messages that may be left out, least important first. Probes and
// configuration have no kind: they are never left out.
const (
	KindFar    Kind = iota // summaries to other regions
	KindSum                // sums between cells
	KindDigest             // digests within the cell
	kinds
)

// A Kind is a kind of message that may be left out.
type Kind uint8

// String returns the kind's name in metrics.
func (k Kind) String() string {
	return [...]string{"far", "sum", "digest"}[k]
}

// A Governor keeps control traffic within the budget. Above 70%, 80% and 90% of
// it, far summaries, sums and digests are left out, and borrows wait for longer
// so that more of them share a message. It is safe for concurrent use.
type Governor struct {
	Limit float64 // bytes a second; zero is Budget
	Timer persimmoncart.Timer

	buckets [60]int64 // bytes by second
	dropped [kinds]int64
	mutex   sync.Mutex
	second  int64 // of the newest bucket
	total   int64
}

// Allow reports whether a message of the kind may be sent now; a refusal is
// counted.
func (g *Governor) Allow(k Kind) bool {
	if g == nil {
		return true
	}
	share := g.Rate() / g.limit()
	if share < 0.7+0.1*float64(k) {
		return true
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.dropped[k]++
	return false
}

// BorrowDelay returns how long a borrow waits for others to the same owner.
func (g *Governor) BorrowDelay() time.Duration {
	if g == nil {
		return 0
	}
	switch share := g.Rate() / g.limit(); {
	case share < 0.8:
		return 0
	case share < 0.9:
		return 20 * time.Millisecond
	default:
		return 50 * time.Millisecond
	}
}

// Count adds bytes that were sent.
func (g *Governor) Count(bytes int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.advance()
	g.buckets[g.second%int64(len(g.buckets))] += int64(bytes)
	g.total += int64(bytes)
}

// Rate returns the bytes a second over the last minute.
func (g *Governor) Rate() float64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.advance()
	return float64(g.total) / float64(len(g.buckets))
}

// advance clears the buckets that are older than a minute.
func (g *Governor) advance() {
	now := g.Timer.Now().Unix()
	for steps := 0; g.second < now && steps < len(g.buckets); steps++ {
		g.second++
		i := g.second % int64(len(g.buckets))
		g.total -= g.buckets[i]
		g.buckets[i] = 0
	}
	g.second = max(g.second, now)
}

// limit returns the budget.
func (g *Governor) limit() float64 {
	if g.Limit == 0 {
		return Budget
	}
	return g.Limit
}

// Collectors returns the metrics of the governor.
func (g *Governor) Collectors() []prometheus.Collector {
	collectors := []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "persimmoncart_control_bytes_per_second",
			Help: "Control bytes sent a second, mean over the last minute.",
		}, g.Rate),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "persimmoncart_control_budget_share",
			Help: "Share of the budget for control bytes in use; above 0.7 messages are left out.",
		}, func() float64 { return g.Rate() / g.limit() }),
	}
	for k := range kinds {
		collectors = append(collectors, prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "persimmoncart_control_left_out_total",
			Help:        "Control messages left out to stay within the budget.",
			ConstLabels: prometheus.Labels{"kind": k.String()},
		}, func() float64 {
			g.mutex.Lock()
			defer g.mutex.Unlock()
			return float64(g.dropped[k])
		}))
	}
	return collectors
}

// A GovernedTransport counts the requests that it passes on.
type GovernedTransport struct {
	Governor  *Governor
	Transport peer.Transport
}

// Call implements peer.Transport.
func (t *GovernedTransport) Call(to netip.AddrPort, request proto.Message, timeout time.Duration, done func(proto.Message, error)) {
	t.Governor.Count(peer.Bytes(request))
	t.Transport.Call(to, request, timeout, done)
}

// A GovernedHandler counts the replies of a handler.
type GovernedHandler struct {
	Governor *Governor
	Handler  peer.Handler
}

// Handle implements peer.Handler.
func (h *GovernedHandler) Handle(request proto.Message, respond func(proto.Message, error)) {
	h.Handler.Handle(request, func(reply proto.Message, err error) {
		if err == nil {
			h.Governor.Count(peer.Bytes(reply))
		}
		respond(reply, err)
	})
}
