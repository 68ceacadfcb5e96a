package faults

// Invariants of docs/design.md, section 2.
const (
	AnsweredOnce   Invariant = "answered-once"   // no part of a response is delivered twice
	AtMostOnce     Invariant = "at-most-once"    // a booking runs at most once
	ConfigKept     Invariant = "config-kept"     // an accepted edit is applied once, versions never decrease, and all nodes reach the newest
	GracefulStop   Invariant = "graceful-stop"   // a graceful stop completes and interrupts no request
	Leaving        Invariant = "leaving"         // a drained endpoint gets no new work
	MemoryReleased Invariant = "memory-released" // engine memory is released after the end of its request or of its instance
	NotRunTrue     Invariant = "not-run-true"    // a booking that was refused as not run never runs
	WholeAnswer    Invariant = "whole-answer"    // a response is complete and correct, or else an error
)

// Invariants lists all invariants, sorted.
var Invariants = []Invariant{
	AnsweredOnce,
	AtMostOnce,
	ConfigKept,
	GracefulStop,
	Leaving,
	MemoryReleased,
	NotRunTrue,
	WholeAnswer,
}

// An Invariant is a property of the router that must hold under all faults. Its value
// is the name in reports. The code that maintains it is called its guard; a schedule
// with a disabled guard shows that the checks detect violations.
type Invariant string

// Faults of docs/design.md, section 12.
const (
	AnswerCrossed     Fault = "answer-crossed"      // responses carry the identity of another attempt
	AnswerLate        Fault = "answer-late"         // responses are delayed
	CallerCancels     Fault = "caller-cancels"      // three times, a caller cancels its request
	EndpointDies      Fault = "endpoint-dies"       // an endpoint is down, or all applications fail after they have run a call
	EndpointSlow      Fault = "endpoint-slow"       // an endpoint is 8 times slower
	ListLags          Fault = "list-lags"           // an endpoint is leaving, but the configuration still lists it
	NodeDies          Fault = "node-dies"           // a node crashes
	NodePauses        Fault = "node-pauses"         // a node is paused
	OperatorsRace     Fault = "operators-race"      // three operators change the same account concurrently
	OrderIgnoredFence Fault = "order-ignored-fence" // an engine executes an order with a stale fencing token
	RegionCut         Fault = "region-cut"          // the regions are partitioned
	ReportLags        Fault = "report-lags"         // the load reports of engines are 10 s old
	StoreAnswerLost   Fault = "store-answer-lost"   // the responses to three writes to the store are lost
	StoreDown         Fault = "store-down"          // the store is unavailable
	StoreSlow         Fault = "store-slow"          // a call to the store takes 2 s
	TransferStalls    Fault = "transfer-stalls"     // transfers of the KV cache to a decode engine stall
)

// Faults lists all faults, sorted.
var Faults = []Fault{
	AnswerCrossed,
	AnswerLate,
	CallerCancels,
	EndpointDies,
	EndpointSlow,
	ListLags,
	NodeDies,
	NodePauses,
	OperatorsRace,
	OrderIgnoredFence,
	RegionCut,
	ReportLags,
	StoreAnswerLost,
	StoreDown,
	StoreSlow,
	TransferStalls,
}

// A Fault is a kind of failure. Its value is the name in reports.
type Fault string

// Combinations returns each fault alone, each fault twice, and all pairs of different
// faults.
func Combinations() [][]Fault {
	var all [][]Fault
	for i, f := range Faults {
		all = append(all, []Fault{f}, []Fault{f, f})
		for _, g := range Faults[i+1:] {
			all = append(all, []Fault{f, g})
		}
	}
	return all
}
