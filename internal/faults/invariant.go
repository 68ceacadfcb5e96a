package faults

// Names of the invariants of section 2 of docs/design.md.
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

// Invariants are all invariants, sorted.
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

// A Invariant is something that must hold whatever fails.
type Invariant string

// Names of the faults of section 12 of docs/design.md.
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

// Faults are all faults, sorted.
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

// A Fault is one kind of failure.
type Fault string

// Combinations returns each fault alone, twice in a row and in pairs.
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
