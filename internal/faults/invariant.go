package faults

// Invariants of docs/design.md, section 2.
const (
	AnsweredOnce   Invariant = "answered-once"
	AtMostOnce     Invariant = "at-most-once"
	ConfigKept     Invariant = "config-kept"
	GracefulStop   Invariant = "graceful-stop"
	Leaving        Invariant = "leaving"
	MemoryReleased Invariant = "memory-released"
	NotRunTrue     Invariant = "not-run-true"
	WholeAnswer    Invariant = "whole-answer"
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
	AnswerCrossed     Fault = "answer-crossed"
	AnswerLate        Fault = "answer-late"
	CallerCancels     Fault = "caller-cancels"
	EndpointDies      Fault = "endpoint-dies"
	EndpointSlow      Fault = "endpoint-slow"
	ListLags          Fault = "list-lags"
	NodeDies          Fault = "node-dies"
	NodePauses        Fault = "node-pauses"
	OperatorsRace     Fault = "operators-race"
	OrderIgnoredFence Fault = "order-ignored-fence"
	RegionCut         Fault = "region-cut"
	ReportLags        Fault = "report-lags"
	StoreAnswerLost   Fault = "store-answer-lost"
	StoreDown         Fault = "store-down"
	StoreSlow         Fault = "store-slow"
	TransferStalls    Fault = "transfer-stalls"
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
