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

// DefaultBudget is the control traffic of one instance in bytes a second, as the mean
// over a minute; see docs/design.md section 4.
const DefaultBudget = 2048

// Shares of the budget from which messages are left out.
const (
	firstDropShare = 0.80
	dropShareStep  = 0.05
)

// borrowDelays are the pauses between borrows from a share of the budget on. The
// rate is a mean over a minute and follows late, so they end well below the budget.
var borrowDelays = []struct {
	share float64
	delay time.Duration
}{
	{0.93, 10 * time.Second},
	{0.90, 5 * time.Second},
	{0.85, 2 * time.Second},
	{0.80, time.Second},
	{0.75, 500 * time.Millisecond},
	{0.70, 250 * time.Millisecond},
}

// minRateSeconds is the shortest span of a rate; a start is louder than the rest.
const minRateSeconds = 15

// Kinds of messages that may be left out, least important first. Probes and
// configuration have no kind: they are never left out.
const (
	KindCrossRegion Kind = iota // summaries to other regions
	KindSum                     // sums between cells
	KindDigest                  // digests within the cell
	kindCount
)

// A Kind is a kind of message that may be left out.
type Kind uint8

// String returns the kind's name in metrics.
func (k Kind) String() string {
	return [...]string{"far", "sum", "digest"}[k]
}

// A Governor keeps control traffic within the budget. Above 80%, 85% and 90% of
// it, far summaries, sums and digests are left out, and borrows wait for longer
// so that more of them share a message. Probes alone take about 60% in a cell of
// eleven. It is safe for concurrent use.
type Governor struct {
	Budget float64 // bytes a second; zero means DefaultBudget
	Timer  persimmoncart.Timer

	buckets      [60]int64 // bytes by second
	dropped      [kindCount]int64
	firstSecond  int64 // second of the first count
	mutex        sync.Mutex
	newestSecond int64 // of the newest bucket
	total        int64
}

// Allow reports whether a message of the kind may be sent now; a refusal is
// counted.
func (g *Governor) Allow(k Kind) bool {
	if g == nil {
		return true
	}
	share := g.Rate() / g.budget()
	if share < firstDropShare+dropShareStep*float64(k) {
		return true
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.dropped[k]++
	return false
}

// BorrowDelay returns the shortest time between two borrows, so that those in
// between share a message.
func (g *Governor) BorrowDelay() time.Duration {
	if g == nil {
		return 0
	}
	share := g.Rate() / g.budget()
	for _, p := range borrowDelays {
		if share >= p.share {
			return p.delay
		}
	}
	return 0
}

// Count adds bytes that were sent.
func (g *Governor) Count(bytes int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.advance()
	g.buckets[g.newestSecond%int64(len(g.buckets))] += int64(bytes)
	g.total += int64(bytes)
}

// Rate returns the bytes a second over the last minute, or since the first count.
func (g *Governor) Rate() float64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.advance()
	return float64(g.total) / float64(min(int64(len(g.buckets)), max(g.newestSecond-g.firstSecond+1, minRateSeconds)))
}

// advance clears the buckets that are older than a minute.
func (g *Governor) advance() {
	now := g.Timer.Now().Unix()
	if g.firstSecond == 0 {
		g.firstSecond = now
	}
	for steps := 0; g.newestSecond < now && steps < len(g.buckets); steps++ {
		g.newestSecond++
		i := g.newestSecond % int64(len(g.buckets))
		g.total -= g.buckets[i]
		g.buckets[i] = 0
	}
	g.newestSecond = max(g.newestSecond, now)
}

// budget returns the budget.
func (g *Governor) budget() float64 {
	if g.Budget == 0 {
		return DefaultBudget
	}
	return g.Budget
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
			Help: "Share of the budget for control bytes in use; above 0.8 messages are left out.",
		}, func() float64 { return g.Rate() / g.budget() }),
	}
	for k := range kindCount {
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

// A MeteredTransport counts the requests that it passes on.
type MeteredTransport struct {
	Governor  *Governor
	Transport peer.Transport
}

// Call implements peer.Transport.
func (t *MeteredTransport) Call(to netip.AddrPort, request proto.Message, timeout time.Duration, done func(proto.Message, error)) {
	t.Governor.Count(peer.Bytes(request))
	t.Transport.Call(to, request, timeout, done)
}

// A MeteredHandler counts the replies of a handler.
type MeteredHandler struct {
	Governor *Governor
	Handler  peer.Handler
}

// Handle implements peer.Handler.
func (h *MeteredHandler) Handle(request proto.Message, respond func(proto.Message, error)) {
	h.Handler.Handle(request, func(reply proto.Message, err error) {
		if err == nil {
			h.Governor.Count(peer.Bytes(reply))
		}
		respond(reply, err)
	})
}
