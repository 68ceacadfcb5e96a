package application

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

var _ persimmoncart.Application = (*Fake)(nil)

// Defaults of NewFake: the time of one call and the number of calls at the same
// time.
const (
	defaultCallTime = 4 * time.Millisecond
	defaultSlots    = 256
)

// Reasons of refusals by a Fake.
const (
	ReasonBusy    = "busy"
	ReasonFault   = "fault"
	ReasonFence   = "fence"
	ReasonLeaving = "leaving"
)

var (
	errDown   = errors.New("application is down")
	errFailed = errors.New("application failed after running the call")
)

// Counters count the calls to a Fake by result.
type Counters struct {
	Lookups uint64 `json:"lookups"`
	Refused uint64 `json:"refused"` // calls refused before running
	Runs    uint64 `json:"runs"`    // bookings, payments and pledges
}

// Faults are the faults that can be injected into a Fake. The zero value has
// none.
type Faults struct {
	Cross    bool    `json:"cross,omitempty"`    // responses belong to another attempt
	Down     bool    `json:"down,omitempty"`     // the process is not running
	Fail     bool    `json:"fail,omitempty"`     // runs calls without responding
	Garbage  bool    `json:"garbage,omitempty"`  // responses violate the protocol
	Leaving  bool    `json:"leaving,omitempty"`  // refuses new calls because it is about to stop
	Refuse   bool    `json:"refuse,omitempty"`   // refuses calls before running them
	Slow     float64 `json:"slow,omitempty"`     // factor on the time of each call; zero means one
	Truncate bool    `json:"truncate,omitempty"` // runs calls and truncates the responses
}

// A Fake is an in-memory application endpoint. Set the exported fields before the
// first call.
//
// GET and HEAD are lookups; other methods are recorded by idempotency key. Like
// in a real service, an accepted call runs even if its caller gives up.
type Fake struct {
	Addr     netip.AddrPort
	CallTime time.Duration // time of one call
	// Decide returns the faults of a call in addition to those of Change. Nil means
	// none. It may be called concurrently.
	Decide       func(persimmoncart.CallRequest) Faults
	Deduplicates bool     // runs each idempotency key once
	Fences       bool     // refuses calls with an old fencing token
	Records      *Records // shared by all fakes of a pool
	Slots        int
	Timer        persimmoncart.Timer

	counters Counters
	faults   Faults
	mutex    sync.Mutex
	running  int
}

// NewFake returns a Fake at addr with default settings. It writes to records.
func NewFake(addr netip.AddrPort, records *Records, timer persimmoncart.Timer) *Fake {
	return &Fake{Addr: addr, CallTime: defaultCallTime, Records: records, Slots: defaultSlots, Timer: timer}
}

// Call implements persimmoncart.Application.
func (f *Fake) Call(ctx context.Context, request persimmoncart.CallRequest) (*persimmoncart.CallResponse, error) {
	faults, err := f.admit(request)
	if err != nil {
		return nil, err
	}
	defer f.releaseSlot()
	callTime := f.CallTime
	if faults.Slow > 0 {
		callTime = time.Duration(float64(callTime) * faults.Slow)
	}
	sleepErr := f.Timer.Sleep(ctx, callTime)
	body := f.execute(request)
	switch {
	case sleepErr != nil:
		return nil, sleepErr
	case faults.Fail:
		return nil, errFailed
	case faults.Truncate:
		return nil, io.ErrUnexpectedEOF
	case faults.Cross:
		other := request.Attempt
		other.Number++
		return nil, &persimmoncart.AttemptMismatchError{Got: other, Want: request.Attempt}
	case faults.Garbage:
		return nil, &HeaderError{}
	}
	return &persimmoncart.CallResponse{
		Attempt: request.Attempt,
		Body:    body,
		Header:  http.Header{"Content-Type": {"application/json"}},
		Status:  http.StatusOK,
	}, nil
}

// Change calls change with the faults, for it to modify them.
func (f *Fake) Change(change func(*Faults)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change(&f.faults)
}

// Counters returns the current counters.
func (f *Fake) Counters() Counters {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.counters
}

// Load implements persimmoncart.Application.
func (f *Fake) Load(context.Context) (persimmoncart.LoadReport, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.faults.Down {
		return persimmoncart.LoadReport{}, &persimmoncart.UnavailableError{Err: errDown, Operation: "load"}
	}
	return persimmoncart.LoadReport{
		Time:    f.Timer.Now(),
		Leaving: f.faults.Leaving,
		Role:    persimmoncart.RoleApplication,
		Running: f.running,
		Slots:   f.Slots,
	}, nil
}

// execute runs a call and returns the body of its response.
func (f *Fake) execute(request persimmoncart.CallRequest) []byte {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if isLookup(request.Method) {
		f.counters.Lookups++
		return FakeLookup(request.Path)
	}
	f.counters.Runs++
	f.Records.recordRun(request.Key, hash(request.Body), f.Deduplicates)
	return FakeReceipt(request.Key, request.Body)
}

// admit takes a slot for a call and returns the call's faults. It returns an
// *EndpointRefusedError or *UnavailableError if the call is not accepted.
func (f *Fake) admit(request persimmoncart.CallRequest) (Faults, error) {
	var faults Faults
	if f.Decide != nil {
		faults = f.Decide(request)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	faults = faults.union(f.faults)
	if faults.Down {
		return faults, &persimmoncart.UnavailableError{Err: errDown, Operation: "call"}
	}
	reason := ""
	switch {
	case faults.Leaving:
		reason = ReasonLeaving
	case faults.Refuse:
		reason = ReasonFault
	case f.running >= f.Slots:
		reason = ReasonBusy
	case f.Fences && request.Key != "" && !f.Records.raiseFence(request.Key, request.Fence):
		reason = ReasonFence
	}
	if reason != "" {
		f.counters.Refused++
		return faults, &persimmoncart.EndpointRefusedError{Addr: f.Addr, Reason: reason, RetryAfter: f.CallTime}
	}
	f.running++
	return faults, nil
}

// releaseSlot frees the slot of a call.
func (f *Fake) releaseSlot() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.running--
}

// isLookup reports whether calls with method are lookups, which are not recorded.
func isLookup(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

// union returns the faults of a and b combined.
func (a Faults) union(b Faults) Faults {
	return Faults{
		Cross:    a.Cross || b.Cross,
		Down:     a.Down || b.Down,
		Fail:     a.Fail || b.Fail,
		Garbage:  a.Garbage || b.Garbage,
		Leaving:  a.Leaving || b.Leaving,
		Refuse:   a.Refuse || b.Refuse,
		Slow:     max(a.Slow, b.Slow),
		Truncate: a.Truncate || b.Truncate,
	}
}

// A Fakes is a set of fake endpoints in one process. The zero value is empty.
type Fakes struct {
	applications map[netip.AddrPort]*Fake
	mutex        sync.Mutex
}

var _ persimmoncart.Applications = (*Fakes)(nil)

// Add adds f to the set, under its address.
func (s *Fakes) Add(f *Fake) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.applications == nil {
		s.applications = map[netip.AddrPort]*Fake{}
	}
	s.applications[f.Addr] = f
}

// Application implements persimmoncart.Applications. At an unknown address it
// returns an endpoint that is down.
func (s *Fakes) Application(addr netip.AddrPort) persimmoncart.Application {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if f := s.applications[addr]; f != nil {
		return f
	}
	return &Fake{Addr: addr, faults: Faults{Down: true}}
}
