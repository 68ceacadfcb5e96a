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

// DefaultBudget limits the control traffic of one instance, in bytes a second
// as the mean over a minute; see docs/design.md section 4.
const DefaultBudget = 2048

// Shares of the budget from which messages are left out, by kind.
const (
	firstDropShare = 0.80 // messages of the first kind
	dropShareStep  = 0.05 // added for each further kind
)

// borrowDelays are the pauses between borrows, by the share of the budget in
// use. The rate is a mean over a minute and lags behind, so the pauses reach
// their longest well below the budget.
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

// minRateSeconds is the shortest time over which a rate is taken, since an
// instance sends more while it starts.
const minRateSeconds = 15

// Kinds of messages that may be left out, least important first. Probes and
// configuration have no kind, since they are never left out.
const (
	KindCrossRegion Kind = iota // summaries to other regions
	KindSum                     // sums between cells
	KindDigest                  // digests within the cell
	kindCount
)

// A Kind is a kind of message that may be left out.
type Kind uint8

// String returns the label of the kind in metrics.
func (k Kind) String() string {
	return [...]string{"far", "sum", "digest"}[k]
}

// A Governor keeps control traffic within the budget. From 80%, 85% and 90% of
// it on, cross-region summaries, sums and digests are left out. Pauses between
// borrows grow from 70% on, so that more of them share a message. Probes alone
// take about 60% in a cell of eleven. It is safe for concurrent use.
type Governor struct {
	Budget float64 // bytes a second; zero means DefaultBudget
	Timer  persimmoncart.Timer

	buckets      [60]int64        // bytes sent, by second
	dropped      [kindCount]int64 // messages left out, by kind
	firstSecond  int64            // Unix time of the first count
	mutex        sync.Mutex
	newestSecond int64 // Unix time of the newest bucket
	total        int64 // sum of buckets
}

// Allow reports whether a message of the kind may be sent now, and counts a
// refusal.
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

// BorrowDelay returns the shortest pause between two borrows. Those that arrive
// in between share a message.
func (g *Governor) BorrowDelay() time.Duration {
	if g == nil {
		return 0
	}
	share := g.Rate() / g.budget()
	for _, d := range borrowDelays {
		if share >= d.share {
			return d.delay
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

// Rate returns the mean bytes a second over the last minute, or since the first
// count if that is shorter, but over at least minRateSeconds.
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

// budget returns the budget in bytes a second.
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

// A MeteredTransport counts the bytes of the requests that it sends.
type MeteredTransport struct {
	Governor  *Governor
	Transport peer.Transport
}

// Call implements peer.Transport.
func (t *MeteredTransport) Call(to netip.AddrPort, request proto.Message, timeout time.Duration, done func(proto.Message, error)) {
	t.Governor.Count(peer.MessageSize(request))
	t.Transport.Call(to, request, timeout, done)
}

// A MeteredHandler counts the bytes of a handler's replies.
type MeteredHandler struct {
	Governor *Governor
	Handler  peer.Handler
}

// Handle implements peer.Handler.
func (h *MeteredHandler) Handle(request proto.Message, respond func(proto.Message, error)) {
	h.Handler.Handle(request, func(reply proto.Message, err error) {
		if err == nil {
			h.Governor.Count(peer.MessageSize(reply))
		}
		respond(reply, err)
	})
}
