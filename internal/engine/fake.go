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

// Settings of NewFake. The capacity plan assumes that a quarter of the replicas
// each prefill 5.8 prompts of about 3,000 tokens a second, and that each of the
// others generates 500 tokens a second in 20 slots.
const (
	defaultCacheBlocks   = 256 // blocks of the prefix cache
	defaultCacheTTL      = 900 * time.Millisecond
	defaultDecodeBlocks  = 160 // memory blocks of a decode engine
	defaultEventLag      = 500 * time.Millisecond
	defaultKVBytes       = 160_000 // bytes a token: 480 MB for 3,000 tokens
	defaultKVTTL         = 800 * time.Millisecond
	defaultLoadReportLag = time.Second
	defaultModelLoadTime = 2 * time.Second
	defaultPrefillRate   = 25_000 // tokens a second
	defaultPrefillSlots  = 8      // running and waiting prefills
	defaultSlots         = 20     // running generations
	defaultStepGrowth    = 500 * time.Microsecond
	defaultStepTime      = 20 * time.Millisecond
	defaultTransferRate  = 10e9 // bytes a second
	prefillBlocksFactor  = 4    // a prefill engine has this many times the memory of a decode engine
)

// Reasons for which a Fake refuses a call.
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
	errCrashed = errors.New("engine crashed")
	errDown    = errors.New("engine is down")
)

// An Exporter fetches exported KV cache from other engines.
type Exporter interface {
	// Export returns the KV cache that the engine at from exported as handle. It
	// returns a *persimmoncart.KVMissingError if it was evicted.
	Export(ctx context.Context, from netip.AddrPort, handle string) (KV, error)
}

// Counters are the counters of a Fake.
type Counters struct {
	Broken    uint64 `json:"broken"`    // streams that ended before the last token
	Cached    uint64 `json:"cached"`    // prompt tokens found in the prefix cache
	Cancelled uint64 `json:"cancelled"` // prefills, exports and generations that were cancelled
	Decoded   uint64 `json:"decoded"`   // generated tokens
	Evicted   uint64 `json:"evicted"`   // exports evicted before their release
	Orders    uint64 `json:"orders"`    // executed orders
	Prefilled uint64 `json:"prefilled"` // computed prompt tokens
	Refused   uint64 `json:"refused"`   // calls refused before they had an effect
	Wasted    uint64 `json:"wasted"`    // computed prompt tokens from which no token was generated
}

// Faults are the faults that can be injected into a Fake. The zero value has none.
type Faults struct {
	Cross   bool    `json:"cross,omitempty"`   // responses belong to another attempt
	Down    bool    `json:"down,omitempty"`    // the process is not running and its memory is lost
	Garbage bool    `json:"garbage,omitempty"` // responses violate the protocol
	Leaving bool    `json:"leaving,omitempty"` // refuses new work because it is about to stop
	Skip    int     `json:"skip,omitempty"`    // index of the token that each stream omits; zero omits none
	Slow    float64 `json:"slow,omitempty"`    // factor on the time of all work; zero means one
	Stall   bool    `json:"stall,omitempty"`   // KV cache transfers never finish
	Stop    int     `json:"stop,omitempty"`    // streams break after this many tokens; zero means never
}

// A Fake is an in-memory model engine. Set the exported fields before the first
// call.
//
// It takes all times from Timer and so runs in virtual time too. It prefills one
// prompt at a time, most urgent class first, and generates one token for each
// running request in each step.
type Fake struct {
	Addr              netip.AddrPort
	AllowSender       func(persimmoncart.InstanceID) bool // reports whether an instance may send orders; nil allows all
	Blocks            int                                 // memory for KV cache
	CacheBlocks       int                                 // size of the prefix cache
	CacheTTL          time.Duration                       // time until an unused block leaves the prefix cache
	EventDropInterval int                                 // every EventDropInterval-th cache event is lost; zero loses none
	EventLag          time.Duration                       // delay of cache events
	Exporter          Exporter                            // source of imported KV cache
	Fences            bool                                // refuses orders with an old fencing token
	KVBytes           int64                               // size of the KV cache of one token
	KVTTL             time.Duration                       // time until exported KV cache is evicted
	LoadReportLag     time.Duration                       // age of the load that Load reports
	ModelLoadTime     time.Duration                       // time to load a model
	Models            []persimmoncart.ModelName
	PrefillRate       float64 // tokens a second
	Role              persimmoncart.Role
	Slots             int           // running generations, or running and waiting prefills
	StepGrowth        time.Duration // added to a step by each request after the first
	StepTime          time.Duration // time of a step with one request
	Timer             persimmoncart.Timer
	TransferRate      float64 // bytes a second, shared by all imports

	active         *prefillJob
	cache          prefixCache
	counters       Counters
	decodes        []*decodeWork // running generations in order of start
	exports        map[string]*export
	exportSequence uint64 // number of the newest export
	faults         Faults
	fence          uint64 // highest fencing token received
	imports        map[persimmoncart.AttemptID]*decodeWork
	linkFreeAt     time.Time                  // end of the transfers queued so far
	loadReports    []persimmoncart.LoadReport // oldest first; the first one is reported now
	mutex          sync.Mutex
	prefills       []*prefillJob // waiting prefills
	restarts       uint64        // invalidates timers and streams of earlier runs
	stepScheduled  bool          // a timer for the next step is running
	usedBlocks     int
	waiting        []*decodeWork // generations that wait for a slot
}

// NewFake returns a Fake with role at addr that has the default settings of the
// role.
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

// Change calls change with the faults, for it to modify them.
func (f *Fake) Change(change func(*Faults)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	wasDown := f.faults.Down
	change(&f.faults)
	if f.faults.Down && !wasDown {
		f.crash()
	}
	f.recordLoad()
}

// Counters returns the current counters.
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

// Load implements persimmoncart.Engine. The report lags by LoadReportLag, except
// for Leaving.
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

// admit returns an error unless the engine accepts new work of role for model. An
// empty model matches any. The mutex must be held.
func (f *Fake) admit(operation string, role persimmoncart.Role, model persimmoncart.ModelName) error {
	if err := f.checkRunning(operation); err != nil {
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

// checkRunning returns an *UnavailableError while the engine is down. The mutex
// must be held.
func (f *Fake) checkRunning(operation string) error {
	if f.faults.Down {
		return &persimmoncart.UnavailableError{Err: errDown, Operation: operation}
	}
	return nil
}

// crash ends all work and clears the memory. The mutex must be held.
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

// currentLoad returns the current load. The mutex must be held.
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

// loadModel makes a model available after ModelLoadTime. The mutex must be held.
func (f *Fake) loadModel(model persimmoncart.ModelName) {
	restarts := f.restarts
	f.Timer.After(f.ModelLoadTime, func(time.Time) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if restarts == f.restarts && !slices.Contains(f.Models, model) {
			f.Models = append(slices.Clone(f.Models), model)
			f.recordLoad()
		}
	})
}

// recordLoad records the current load for later reports. The mutex must be held.
func (f *Fake) recordLoad() {
	f.trimLoadReports()
	f.loadReports = append(f.loadReports, f.currentLoad())
}

// refuse counts a refusal and returns its error. The mutex must be held.
func (f *Fake) refuse(reason string, retryAfter time.Duration) error {
	f.counters.Refused++
	return &persimmoncart.EndpointRefusedError{Addr: f.Addr, Reason: reason, RetryAfter: retryAfter}
}

// scaleTime multiplies d by the factor of the Slow fault. The mutex must be held.
func (f *Fake) scaleTime(d time.Duration) time.Duration {
	if f.faults.Slow > 0 {
		return time.Duration(float64(d) * f.faults.Slow)
	}
	return d
}

// trimLoadReports removes the reports before the newest one that is at least
// LoadReportLag old. The mutex must be held.
func (f *Fake) trimLoadReports() {
	newest := f.Timer.Now().Add(-f.LoadReportLag)
	n := 0
	for n+1 < len(f.loadReports) && !f.loadReports[n+1].Time.After(newest) {
		n++
	}
	f.loadReports = slices.Delete(f.loadReports, 0, n)
}
