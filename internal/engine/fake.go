package engine

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

var _ persimmoncart.Engine = (*Fake)(nil)

// Defaults of NewFake. At the plan's size a quarter of the replicas prefill 5.8
// prompts of about 3,000 tokens a second each, and the others generate 500
// tokens a second each in 20 slots.
const (
	defaultCacheBlocks  = 256
	defaultCacheLife    = 900 * time.Millisecond
	defaultDecodeBlocks = 160
	defaultEventLag     = 500 * time.Millisecond
	defaultGrowth       = 500 * time.Microsecond
	defaultKVBytes      = 160_000 // bytes a token: 480 MB for 3,000 tokens
	defaultKVLife       = 800 * time.Millisecond
	defaultLoadLag      = time.Second
	defaultLoadTime     = 2 * time.Second
	defaultPace         = 20 * time.Millisecond
	defaultPrefillSlots = 8
	defaultPrefillRate  = 25_000
	defaultSlots        = 20
	defaultTransferRate = 10e9
	prefillBlocksFactor = 4
)

// Reasons of refusals by a Fake.
const (
	ReasonBusy    = "busy"
	ReasonFence   = "fence"
	ReasonLeaving = "leaving"
	ReasonMemory  = "memory"
	ReasonModel   = "model"
	ReasonOrder   = "order"
	ReasonRole    = "role"
	ReasonSender  = "sender"
	ReasonStart   = "start"
)

var (
	errDied = errors.New("engine died")
	errDown = errors.New("engine is down")
)

// An Exporter fetches exported KV cache from the engine at from. It returns a
// *persimmoncart.KVMissingError if the cache was evicted.
type Exporter interface {
	Export(ctx context.Context, from netip.AddrPort, handle string) (KV, error)
}

// Counters count what a Fake has done.
type Counters struct {
	Broken    uint64 `json:"broken"`    // streams that ended before the last token
	Cached    uint64 `json:"cached"`    // prompt tokens found in the prefix cache
	Cancelled uint64 `json:"cancelled"` // pieces of work that were cancelled
	Decoded   uint64 `json:"decoded"`   // generated tokens
	Evicted   uint64 `json:"evicted"`   // exports that were evicted
	Orders    uint64 `json:"orders"`    // orders that were carried out
	Prefilled uint64 `json:"prefilled"` // computed prompt tokens
	Refused   uint64 `json:"refused"`   // calls refused before acting
	Wasted    uint64 `json:"wasted"`    // computed prompt tokens that led to no generated token
}

// Faults are the switchable faults of a Fake. The zero value is a sound engine.
type Faults struct {
	Cross   bool    `json:"cross,omitempty"`   // answers carry another attempt
	Down    bool    `json:"down,omitempty"`    // the process is gone and its memory lost
	Garbage bool    `json:"garbage,omitempty"` // answers break the protocol
	Leaving bool    `json:"leaving,omitempty"` // no new work
	Skip    int     `json:"skip,omitempty"`    // each stream leaves out the token with this index
	Slow    float64 `json:"slow,omitempty"`    // factor on all work; zero is one
	Stall   bool    `json:"stall,omitempty"`   // transfers never end
	Stop    int     `json:"stop,omitempty"`    // streams break after this many tokens
}

// A Fake is a model engine in memory. Set the exported fields before the first call.
//
// It follows Timer, so that it runs in virtual time. It prefills one prompt at a
// time, most urgent class first, and generates one token for each running
// request in each step.
type Fake struct {
	Addr         netip.AddrPort
	Allow        func(persimmoncart.InstanceID) bool // who may send orders; nil allows everybody
	Blocks       int
	CacheBlocks  int
	CacheLife    time.Duration // until an unused block leaves the prefix cache
	EventGap     int           // each EventGap-th cache event is lost; zero loses none
	EventLag     time.Duration
	Exporter     Exporter
	Fences       bool          // refuses orders with an old fencing token
	Growth       time.Duration // by which each further request lengthens a step
	KVBytes      int64         // bytes a token
	KVLife       time.Duration // until exported KV cache is evicted
	LoadLag      time.Duration
	LoadTime     time.Duration // to load a model
	Models       []persimmoncart.ModelName
	Pace         time.Duration // of a step with one request
	PrefillRate  float64       // tokens a second
	Role         persimmoncart.Role
	Slots        int // running requests; for prefill, running and waiting ones
	Timer        persimmoncart.Timer
	TransferRate float64 // bytes a second, shared by all imports

	active   *prefillJob
	cache    prefixCache
	counters Counters
	decodes  []*decodeWork // running, in order of start
	exports  map[string]*export
	faults   Faults
	fence    uint64
	imports  map[persimmoncart.AttemptID]*decodeWork
	life     uint64 // number of restarts
	linkFree time.Time
	mutex    sync.Mutex
	prefills []*prefillJob // waiting
	reports  []persimmoncart.LoadReport
	sequence uint64
	stepping bool
	used     int           // blocks
	waiting  []*decodeWork // for a slot
}

// NewFake returns a Fake of today's engine type with role at addr.
func NewFake(addr netip.AddrPort, role persimmoncart.Role, timer persimmoncart.Timer) *Fake {
	f := &Fake{
		Addr:         addr,
		Blocks:       defaultDecodeBlocks,
		CacheBlocks:  defaultCacheBlocks,
		CacheLife:    defaultCacheLife,
		EventLag:     defaultEventLag,
		Growth:       defaultGrowth,
		KVBytes:      defaultKVBytes,
		KVLife:       defaultKVLife,
		LoadLag:      defaultLoadLag,
		LoadTime:     defaultLoadTime,
		Pace:         defaultPace,
		PrefillRate:  defaultPrefillRate,
		Role:         role,
		Slots:        defaultSlots,
		Timer:        timer,
		TransferRate: defaultTransferRate,
	}
	if role == persimmoncart.RolePrefill {
		f.Blocks *= prefillBlocksFactor
		f.Slots = defaultPrefillSlots
	}
	return f
}

// Cancel implements persimmoncart.Engine.
func (f *Fake) Cancel(_ context.Context, attempt persimmoncart.AttemptID) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.checkUp("cancel"); err != nil {
		return err
	}
	for _, j := range slices.Clone(f.prefills) {
		if j.request.Attempt == attempt {
			f.endPrefill(j, errCancelled)
		}
	}
	if f.active != nil && f.active.request.Attempt == attempt {
		f.endPrefill(f.active, errCancelled)
	}
	for _, e := range f.exports {
		if e.kv.Attempt == attempt {
			f.counters.Cancelled++
			f.dropExport(e)
		}
	}
	if w := f.imports[attempt]; w != nil {
		f.counters.Cancelled++
		f.endDecode(w, errCancelled)
	}
	return nil
}

// Change changes the faults by f.
func (f *Fake) Change(change func(*Faults)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	was := f.faults.Down
	change(&f.faults)
	if f.faults.Down && !was {
		f.die()
	}
	f.note()
}

// Counters returns what the engine has done so far.
func (f *Fake) Counters() Counters {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.counters
}

// ListWork implements persimmoncart.Engine.
func (f *Fake) ListWork(context.Context) ([]persimmoncart.WorkItem, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.checkUp("work"); err != nil {
		return nil, err
	}
	var list []persimmoncart.WorkItem
	for _, w := range f.imports {
		list = append(list, persimmoncart.WorkItem{Attempt: w.attempt, Blocks: w.blocks, Deadline: w.deadline, Tag: w.tag})
	}
	for _, e := range f.exports {
		list = append(list, persimmoncart.WorkItem{Attempt: e.kv.Attempt, Blocks: e.blocks, Deadline: e.deadline, Tag: e.tag})
	}
	if j := f.active; j != nil {
		list = append(list, persimmoncart.WorkItem{
			Attempt: j.request.Attempt, Blocks: j.blocks, Deadline: j.request.Deadline, Tag: j.request.Tag,
		})
	}
	slices.SortFunc(list, func(a, b persimmoncart.WorkItem) int {
		return strings.Compare(a.Attempt.String(), b.Attempt.String())
	})
	return list, nil
}

// Load implements persimmoncart.Engine. Only the leaving state shows at once.
func (f *Fake) Load(context.Context) (persimmoncart.LoadReport, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.checkUp("load"); err != nil {
		return persimmoncart.LoadReport{}, err
	}
	f.trimReports()
	r := f.report()
	if len(f.reports) > 0 {
		r = f.reports[0]
	}
	r.Leaving = f.faults.Leaving
	return r, nil
}

// Order implements persimmoncart.Engine.
func (f *Fake) Order(_ context.Context, order persimmoncart.Order) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.checkUp("order"); err != nil {
		return err
	}
	if f.Allow != nil && !f.Allow(order.Sender) {
		return f.refuse(ReasonSender, 0)
	}
	if f.Fences {
		if order.Fence < f.fence {
			return f.refuse(ReasonFence, 0)
		}
		f.fence = order.Fence
	}
	switch order.Kind {
	case persimmoncart.OrderLoad:
		f.load(order.Model)
	case persimmoncart.OrderRole:
		f.Role = order.Role
	case persimmoncart.OrderUnload:
		f.Models = slices.DeleteFunc(slices.Clone(f.Models), func(m persimmoncart.ModelName) bool { return m == order.Model })
	default:
		return f.refuse(ReasonOrder, 0)
	}
	f.counters.Orders++
	f.note()
	return nil
}

// admit returns an error if new work of role for model is refused; the mutex is held.
func (f *Fake) admit(op string, role persimmoncart.Role, model persimmoncart.ModelName) error {
	if err := f.checkUp(op); err != nil {
		return err
	}
	switch {
	case f.faults.Leaving:
		return f.refuse(ReasonLeaving, 0)
	case f.Role != role:
		return f.refuse(ReasonRole, 0)
	case model != "" && !slices.Contains(f.Models, model):
		return f.refuse(ReasonModel, 0)
	default:
		return nil
	}
}

// checkUp returns an error while the engine is down; the mutex is held.
func (f *Fake) checkUp(op string) error {
	if f.faults.Down {
		return &persimmoncart.UnavailableError{Err: errDown, Operation: op}
	}
	return nil
}

// die ends all work and forgets everything; the mutex is held.
func (f *Fake) die() {
	f.life++
	for _, j := range slices.Clone(f.prefills) {
		f.endPrefill(j, errDied)
	}
	if f.active != nil {
		f.endPrefill(f.active, errDied)
	}
	for _, w := range f.imports {
		f.endDecode(w, errDied)
	}
	for _, e := range f.exports {
		f.dropExport(e)
	}
	f.cache = prefixCache{}
	f.linkFree = time.Time{}
	f.used = 0
}

// load makes a model available after LoadTime; the mutex is held.
func (f *Fake) load(model persimmoncart.ModelName) {
	life := f.life
	f.Timer.After(f.LoadTime, func(time.Time) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if life == f.life && !slices.Contains(f.Models, model) {
			f.Models = append(slices.Clone(f.Models), model)
			f.note()
		}
	})
}

// note records the load for later reports; the mutex is held.
func (f *Fake) note() {
	f.trimReports()
	f.reports = append(f.reports, f.report())
}

// refuse counts and returns a refusal; the mutex is held.
func (f *Fake) refuse(reason string, retry time.Duration) error {
	f.counters.Refused++
	return &persimmoncart.EndpointRefusedError{Addr: f.Addr, Reason: reason, RetryAfter: retry}
}

// report returns the load now; the mutex is held.
func (f *Fake) report() persimmoncart.LoadReport {
	r := persimmoncart.LoadReport{
		Time:       f.Timer.Now(),
		Blocks:     f.Blocks,
		FreeBlocks: f.Blocks - f.used,
		Leaving:    f.faults.Leaving,
		Models:     f.Models,
		Role:       f.Role,
		Running:    len(f.decodes),
		Slots:      f.Slots,
		Waiting:    len(f.waiting) + len(f.prefills),
	}
	if f.active != nil {
		r.Running++
	}
	return r
}

// slow returns d with the factor of the Slow fault; the mutex is held.
func (f *Fake) slow(d time.Duration) time.Duration {
	if f.faults.Slow > 0 {
		return time.Duration(float64(d) * f.faults.Slow)
	}
	return d
}

// trimReports drops the reports before the newest one that is old enough to be
// shown; the mutex is held.
func (f *Fake) trimReports() {
	limit := f.Timer.Now().Add(-f.LoadLag)
	n := 0
	for n+1 < len(f.reports) && !f.reports[n+1].Time.After(limit) {
		n++
	}
	f.reports = slices.Delete(f.reports, 0, n)
}
