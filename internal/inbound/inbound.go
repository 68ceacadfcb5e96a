// Package inbound bounds what clients make a process hold: bytes, connections and time.
//
// A Budget counts the bytes that the process holds for its clients: connections, heads of
// requests, bodies as they arrive, and responses that wait for their reader. A Guard
// protects an http.Server: its Listener bounds the connections, each Conn takes from the
// Budget what its client makes the process hold, and a Request reads the body and relays
// the response. Everything is taken and given back by the Hold of a connection.
//
// What does not fit the Budget is refused as not run. Before that, the largest holds are
// cut that have waited for their client for some time: a head or a body without progress,
// or a response that is not read. A request that an endpoint may be running is never cut
// before its response begins.
//
// docs/design/inbound.md has the limits with their defaults, and what was weighed.
package inbound

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// budgetShare is the share of the machine's memory that a process holds for clients.
	// The garbage collector's limit is half of the memory; the other half of that is left
	// to the process' own state and to garbage.
	budgetShare = 0.25
	// defaultBodyBytes bounds the bodies in memory where the machine's memory is unknown.
	defaultBodyBytes = 32 << 20
	// cutShare is the share of a bound by which it may be exceeded by bytes that are cut
	// and not given back yet.
	cutShare = 1.0 / 8
	// smallBody is the size of a body up to which it counts as small.
	smallBody = 64 << 10
)

// Kinds of bytes that are held for clients.
const (
	KindCheck      Kind = iota // connections and heads for readiness checks and metrics
	KindConnection             // connections of callers
	KindHead                   // heads of requests, and requests in flight
	KindBody
	KindResponse
	kindCount
)

// Kinds are all kinds.
var Kinds = []Kind{KindCheck, KindConnection, KindHead, KindBody, KindResponse}

// A Kind is a kind of bytes that are held for clients.
type Kind uint8

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	return [...]string{"check", "connection", "head", "body", "response", "unknown"}[min(k, kindCount)]
}

// A bytesByKind counts bytes by their kind.
type bytesByKind [kindCount]int64

// total returns the sum of all kinds.
func (b *bytesByKind) total() int64 {
	sum := int64(0)
	for _, n := range b {
		sum += n
	}
	return sum
}

// totalShares are the shares of the bound up to which bytes of each kind are taken. Large
// bodies are refused first, then responses wait for their readers, then requests are
// refused; checks come last.
var totalShares = [kindCount]float64{KindCheck: 1, KindConnection: 0.9, KindHead: 0.9, KindBody: 0.7, KindResponse: 0.8}

// ownShares are the shares of the bound that each kind may take by itself, so that idle
// connections and checks leave room for requests.
var ownShares = [kindCount]float64{KindCheck: 0.15, KindConnection: 0.5, KindHead: 1, KindBody: 1, KindResponse: 1}

// A Budget counts the bytes that a process holds for its clients. Its exported fields are
// set before use.
type Budget struct {
	BodyBytes int64 // bound of all bodies; zero means none
	Bytes     int64 // bound of everything; zero means none
	Timer     persimmoncart.Timer

	cutting bytesByKind // of holds that are cut and have not given them back
	held    bytesByKind
	holds   map[*Hold]struct{}
	mutex   sync.Mutex
}

// NewBudget returns the Budget of a machine with the given memory in bytes; zero if it is
// unknown.
func NewBudget(memory int64, timer persimmoncart.Timer) *Budget {
	if memory <= 0 {
		return &Budget{BodyBytes: defaultBodyBytes, Timer: timer}
	}
	return &Budget{Bytes: int64(budgetShare * float64(memory)), Timer: timer}
}

// Held returns the bytes held of a kind.
func (b *Budget) Held(kind Kind) int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.held[kind]
}

// Register returns a Hold that holds nothing. When it is chosen to be cut, cut is called,
// in the goroutine of the hold that wants its bytes.
func (b *Budget) Register(cut func()) *Hold {
	h := &Hold{budget: b, cutClient: cut}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.holds == nil {
		b.holds = make(map[*Hold]struct{})
	}
	b.holds[h] = struct{}{}
	return h
}

// fits reports whether n more bytes of a kind fit. The caller holds the mutex.
func (b *Budget) fits(h *Hold, kind Kind, n int64) bool {
	if kind == KindBody && b.BodyBytes > 0 && b.uncut(b.held[kind], b.cutting[kind], b.BodyBytes)+n > b.BodyBytes {
		return false
	}
	if b.Bytes <= 0 {
		return true
	}
	own, total := share(b.Bytes, ownShares[kind]), share(b.Bytes, totalShares[kind])
	if kind == KindBody && h.held[KindBody]+n <= smallBody {
		total = share(b.Bytes, totalShares[KindHead])
	}
	return b.uncut(b.held[kind], b.cutting[kind], own)+n <= own && b.uncut(b.held.total(), b.cutting.total(), b.Bytes)+n <= total
}

// uncut returns held without the bytes of it that are cut, of which cutShare of the bound
// count as given back.
func (*Budget) uncut(held, cutting, bound int64) int64 {
	return held - min(cutting, share(bound, cutShare))
}

// makeRoom chooses holds to cut, the largest first, until n more bytes of a kind fit, and
// returns them. It returns none if that is not enough. The caller holds the mutex.
func (b *Budget) makeRoom(h *Hold, kind Kind, n int64) []*Hold {
	now := b.Timer.Now()
	var idle []*Hold
	for other := range b.holds {
		if other != h && !other.cut && other.idle(now) {
			idle = append(idle, other)
		}
	}
	slices.SortFunc(idle, func(x, y *Hold) int { return cmp.Compare(y.held.total(), x.held.total()) })
	before := b.cutting
	for i, other := range idle {
		for kind, held := range other.held {
			b.cutting[kind] += held
		}
		if b.fits(h, kind, n) {
			for _, chosen := range idle[:i+1] {
				chosen.cut = true
			}
			return idle[:i+1]
		}
	}
	b.cutting = before
	return nil
}

// share returns a share of a bound.
func share(bound int64, share float64) int64 { return int64(share * float64(bound)) }

// A Hold is what the process holds for one client. It is cut to make room for others if it
// has waited for its client for longer than idleGrace.
type Hold struct {
	budget    *Budget
	cutClient func()
	waiting   atomic.Int64 // time since which it waits for its client, Unix nanoseconds; zero if it does not

	// The budget's mutex guards the following.
	closed bool
	cut    bool
	held   bytesByKind
}

// Close gives back everything that is held, and refuses all that is taken later.
func (h *Hold) Close() {
	b := h.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	delete(b.holds, h)
	for _, kind := range Kinds {
		h.add(kind, -h.held[kind])
	}
}

// Give gives back n bytes of a kind.
func (h *Hold) Give(kind Kind, n int64) {
	b := h.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	h.add(kind, -min(n, h.held[kind]))
}

// GiveAll gives back all bytes of the given kinds.
func (h *Hold) GiveAll(kinds ...Kind) {
	b := h.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, kind := range kinds {
		h.add(kind, -h.held[kind])
	}
}

// Take takes n bytes of a kind and reports whether they fit. If they do not, other holds
// are cut first, if that is enough.
func (h *Hold) Take(kind Kind, n int64) bool {
	b := h.budget
	b.mutex.Lock()
	if h.closed || h.cut {
		b.mutex.Unlock()
		return false
	}
	var chosen []*Hold
	fits := b.fits(h, kind, n)
	if !fits {
		chosen = b.makeRoom(h, kind, n)
		fits = len(chosen) > 0
	}
	if fits {
		h.add(kind, n)
	}
	b.mutex.Unlock()
	for _, other := range chosen {
		other.cutClient()
	}
	return fits
}

// Wait records that the hold waits for its client since the given time. A time in the
// future lets it wait that long first.
func (h *Hold) Wait(since time.Time) { h.waiting.Store(since.UnixNano()) }

// Work records that the hold does not wait for its client.
func (h *Hold) Work() { h.waiting.Store(0) }

// Waiting returns the time since which the hold waits for its client, and false if it does
// not.
func (h *Hold) Waiting() (since time.Time, waiting bool) {
	n := h.waiting.Load()
	return time.Unix(0, n), n != 0
}

// add adds n bytes of a kind, or gives them back if n is negative. The caller holds the
// budget's mutex.
func (h *Hold) add(kind Kind, n int64) {
	b := h.budget
	h.held[kind] += n
	b.held[kind] += n
	if h.cut {
		b.cutting[kind] += n
	}
}

// idle reports whether the hold has waited for its client for longer than idleGrace.
func (h *Hold) idle(now time.Time) bool {
	since, waiting := h.Waiting()
	return waiting && now.Sub(since) >= idleGrace
}
