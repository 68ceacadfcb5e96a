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

// Defaults of NewFake.
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
	errFailed = errors.New("application failed after it acted")
)

// Counters count what a Fake has done.
type Counters struct {
	Lookups uint64 `json:"lookups"`
	Refused uint64 `json:"refused"` // calls refused before acting
	Runs    uint64 `json:"runs"`    // bookings, payments and pledges
}

// Faults are the switchable faults of a Fake. The zero value is a sound endpoint.
type Faults struct {
	Cross    bool    `json:"cross,omitempty"`    // answers carry another attempt
	Down     bool    `json:"down,omitempty"`     // the process is gone
	Fail     bool    `json:"fail,omitempty"`     // acts and never answers
	Garbage  bool    `json:"garbage,omitempty"`  // answers break the protocol
	Leaving  bool    `json:"leaving,omitempty"`  // no new work
	Refuse   bool    `json:"refuse,omitempty"`   // refuses before acting
	Slow     float64 `json:"slow,omitempty"`     // factor on the time of each call; zero is one
	Truncate bool    `json:"truncate,omitempty"` // acts and cuts its answer
}

// A Fake is an application endpoint in memory. Set the exported fields before
// the first call.
//
// GET and HEAD are lookups; other methods are recorded by idempotency key. A
// call that was accepted acts even if its caller gives up, as real services do.
type Fake struct {
	Addr     netip.AddrPort
	CallTime time.Duration // time of one call
	// Decide chooses the faults of each call on top of those of Change; nil
	// means none. It may be called concurrently.
	Decide       func(persimmoncart.CallRequest) Faults
	Deduplicates bool     // runs each idempotency key once
	Fences       bool     // refuses a call with an old fencing token
	Records      *Records // shared by the replicas of the pool
	Slots        int
	Timer        persimmoncart.Timer

	counters Counters
	faults   Faults
	mutex    sync.Mutex
	running  int
}

// NewFake returns a Fake at addr that keeps records.
func NewFake(addr netip.AddrPort, records *Records, timer persimmoncart.Timer) *Fake {
	return &Fake{Addr: addr, CallTime: defaultCallTime, Records: records, Slots: defaultSlots, Timer: timer}
}

// Call implements persimmoncart.Application.
func (f *Fake) Call(ctx context.Context, request persimmoncart.CallRequest) (*persimmoncart.CallResponse, error) {
	a, err := f.admit(request)
	if err != nil {
		return nil, err
	}
	defer f.releaseSlot()
	callTime := f.CallTime
	if a.Slow > 0 {
		callTime = time.Duration(float64(callTime) * a.Slow)
	}
	gone := f.Timer.Sleep(ctx, callTime)
	body := f.execute(request)
	switch {
	case gone != nil:
		return nil, gone
	case a.Fail:
		return nil, errFailed
	case a.Truncate:
		return nil, io.ErrUnexpectedEOF
	case a.Cross:
		got := request.Attempt
		got.Number++
		return nil, &persimmoncart.AttemptMismatchError{Got: got, Want: request.Attempt}
	case a.Garbage:
		return nil, &HeaderError{}
	}
	return &persimmoncart.CallResponse{
		Attempt: request.Attempt,
		Body:    body,
		Header:  http.Header{"Content-Type": {"application/json"}},
		Status:  http.StatusOK,
	}, nil
}

// Change changes the faults.
func (f *Fake) Change(change func(*Faults)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change(&f.faults)
}

// Counters returns what the endpoint has done so far.
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

// execute carries out a call and returns its answer.
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

// admit takes a slot for a call, or returns the error that refuses it.
func (f *Fake) admit(request persimmoncart.CallRequest) (Faults, error) {
	var a Faults
	if f.Decide != nil {
		a = f.Decide(request)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	a = a.union(f.faults)
	if a.Down {
		return a, &persimmoncart.UnavailableError{Err: errDown, Operation: "call"}
	}
	reason := ""
	switch {
	case a.Leaving:
		reason = ReasonLeaving
	case a.Refuse:
		reason = ReasonFault
	case f.running >= f.Slots:
		reason = ReasonBusy
	case f.Fences && request.Key != "" && !f.Records.raiseFence(request.Key, request.Fence):
		reason = ReasonFence
	}
	if reason != "" {
		f.counters.Refused++
		return a, &persimmoncart.EndpointRefusedError{Addr: f.Addr, Reason: reason, RetryAfter: f.CallTime}
	}
	f.running++
	return a, nil
}

// releaseSlot gives a slot back.
func (f *Fake) releaseSlot() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.running--
}

// isLookup reports whether calls with method are recorded.
func isLookup(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

// union returns the faults of a and b together.
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

// Add puts f into the set.
func (s *Fakes) Add(f *Fake) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.applications == nil {
		s.applications = map[netip.AddrPort]*Fake{}
	}
	s.applications[f.Addr] = f
}

// Application implements persimmoncart.Applications. Nothing answers at an
// unknown address.
func (s *Fakes) Application(addr netip.AddrPort) persimmoncart.Application {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if f := s.applications[addr]; f != nil {
		return f
	}
	return &Fake{Addr: addr, faults: Faults{Down: true}}
}
