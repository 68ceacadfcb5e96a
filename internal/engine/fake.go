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
	defaultCacheBlocks   = 256
	defaultCacheTTL      = 900 * time.Millisecond
	defaultDecodeBlocks  = 160
	defaultEventLag      = 500 * time.Millisecond
	defaultKVBytes       = 160_000 // bytes a token: 480 MB for 3,000 tokens
	defaultKVTTL         = 800 * time.Millisecond
	defaultLoadReportLag = time.Second
	defaultModelLoadTime = 2 * time.Second
	defaultPrefillRate   = 25_000
	defaultPrefillSlots  = 8
	defaultSlots         = 20
	defaultStepGrowth    = 500 * time.Microsecond
	defaultStepTime      = 20 * time.Millisecond
	defaultTransferRate  = 10e9
	prefillBlocksFactor  = 4
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
	errCrashed = errors.New("engine died")
	errDown    = errors.New("engine is down")
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
	Addr              netip.AddrPort
	AllowSender       func(persimmoncart.InstanceID) bool // who may send orders; nil allows everybody
	Blocks            int
	CacheBlocks       int
	CacheTTL          time.Duration // until an unused block leaves the prefix cache
	EventDropInterval int           // every EventDropInterval-th cache event is lost; zero loses none
	EventLag          time.Duration
	Exporter          Exporter
	Fences            bool          // refuses orders with an old fencing token
	KVBytes           int64         // bytes a token
	KVTTL             time.Duration // until exported KV cache is evicted
	LoadReportLag     time.Duration
	ModelLoadTime     time.Duration // to load a model
	Models            []persimmoncart.ModelName
	PrefillRate       float64 // tokens a second
	Role              persimmoncart.Role
	Slots             int           // running requests; for prefill, running and waiting ones
	StepGrowth        time.Duration // by which each further request lengthens a step
	StepTime          time.Duration // of a step with one request
	Timer             persimmoncart.Timer
	TransferRate      float64 // bytes a second, shared by all imports

	active         *prefillJob
	cache          prefixCache
	counters       Counters
	decodes        []*decodeWork // running, in order of start
	exports        map[string]*export
	exportSequence uint64
	faults         Faults
	fence          uint64
	imports        map[persimmoncart.AttemptID]*decodeWork
	linkFreeAt     time.Time
	loadReports    []persimmoncart.LoadReport
	mutex          sync.Mutex
	prefills       []*prefillJob // waiting
	restarts       uint64        // number of restarts
	stepScheduled  bool
	usedBlocks     int           // blocks
	waiting        []*decodeWork // for a slot
}

// NewFake returns a Fake of today's engine type with role at addr.
func NewFake(addr netip.AddrPort, role persimmoncart.Role, timer persimmoncart.Timer) *Fake {
	f := &Fake{
		Addr:          addr,
		Blocks:        defaultDecodeBlocks,
		CacheBlocks:   defaultCacheBlocks,
		CacheTTL:      defaultCacheTTL,
		EventLag:      defaultEventLag,
		KVBytes:       defaultKVBytes,
		KVTTL:         defaultKVTTL,
		LoadReportLag: defaultLoadReportLag,
		ModelLoadTime: defaultModelLoadTime,
		PrefillRate:   defaultPrefillRate,
		Role:          role,
		Slots:         defaultSlots,
		StepGrowth:    defaultStepGrowth,
		StepTime:      defaultStepTime,
		Timer:         timer,
		TransferRate:  defaultTransferRate,
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
	if err := f.checkRunning("cancel"); err != nil {
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
		f.crash()
	}
	f.recordLoad()
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
	if err := f.checkRunning("work"); err != nil {
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
	if err := f.checkRunning("load"); err != nil {
		return persimmoncart.LoadReport{}, err
	}
	f.trimLoadReports()
	r := f.currentLoad()
	if len(f.loadReports) > 0 {
		r = f.loadReports[0]
	}
	r.Leaving = f.faults.Leaving
	return r, nil
}

// Order implements persimmoncart.Engine.
func (f *Fake) Order(_ context.Context, order persimmoncart.Order) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.checkRunning("order"); err != nil {
		return err
	}
	if f.AllowSender != nil && !f.AllowSender(order.Sender) {
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
		f.loadModel(order.Model)
	case persimmoncart.OrderRole:
		f.Role = order.Role
	case persimmoncart.OrderUnload:
		f.Models = slices.DeleteFunc(slices.Clone(f.Models), func(m persimmoncart.ModelName) bool { return m == order.Model })
	default:
		return f.refuse(ReasonOrder, 0)
	}
	f.counters.Orders++
	f.recordLoad()
	return nil
}

// admit returns an error if new work of role for model is refused; the mutex is held.
func (f *Fake) admit(op string, role persimmoncart.Role, model persimmoncart.ModelName) error {
	if err := f.checkRunning(op); err != nil {
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

// checkRunning returns an error while the engine is down; the mutex is held.
func (f *Fake) checkRunning(op string) error {
	if f.faults.Down {
		return &persimmoncart.UnavailableError{Err: errDown, Operation: op}
	}
	return nil
}

// crash ends all work and forgets everything; the mutex is held.
func (f *Fake) crash() {
	f.restarts++
	for _, j := range slices.Clone(f.prefills) {
		f.endPrefill(j, errCrashed)
	}
	if f.active != nil {
		f.endPrefill(f.active, errCrashed)
	}
	for _, w := range f.imports {
		f.endDecode(w, errCrashed)
	}
	for _, e := range f.exports {
		f.dropExport(e)
	}
	f.cache = prefixCache{}
	f.linkFreeAt = time.Time{}
	f.usedBlocks = 0
}

// currentLoad returns the load now; the mutex is held.
func (f *Fake) currentLoad() persimmoncart.LoadReport {
	r := persimmoncart.LoadReport{
		Time:       f.Timer.Now(),
		Blocks:     f.Blocks,
		FreeBlocks: f.Blocks - f.usedBlocks,
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

// loadModel makes a model available after LoadTime; the mutex is held.
func (f *Fake) loadModel(model persimmoncart.ModelName) {
	life := f.restarts
	f.Timer.After(f.ModelLoadTime, func(time.Time) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if life == f.restarts && !slices.Contains(f.Models, model) {
			f.Models = append(slices.Clone(f.Models), model)
			f.recordLoad()
		}
	})
}

// recordLoad records the load for later reports; the mutex is held.
func (f *Fake) recordLoad() {
	f.trimLoadReports()
	f.loadReports = append(f.loadReports, f.currentLoad())
}

// refuse counts and returns a refusal; the mutex is held.
func (f *Fake) refuse(reason string, retry time.Duration) error {
	f.counters.Refused++
	return &persimmoncart.EndpointRefusedError{Addr: f.Addr, Reason: reason, RetryAfter: retry}
}

// scaleTime returns d with the factor of the Slow fault; the mutex is held.
func (f *Fake) scaleTime(d time.Duration) time.Duration {
	if f.faults.Slow > 0 {
		return time.Duration(float64(d) * f.faults.Slow)
	}
	return d
}

// trimLoadReports drops the reports before the newest one that is old enough to be
// shown; the mutex is held.
func (f *Fake) trimLoadReports() {
	limit := f.Timer.Now().Add(-f.LoadReportLag)
	n := 0
	for n+1 < len(f.loadReports) && !f.loadReports[n+1].Time.After(limit) {
		n++
	}
	f.loadReports = slices.Delete(f.loadReports, 0, n)
}
