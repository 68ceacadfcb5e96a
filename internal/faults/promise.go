package faults

// Names of the promises of section 2 of docs/design.md.
const (
	AnsweredOnce   Promise = "answered-once"
	AtMostOnce     Promise = "at-most-once"
	ConfigKept     Promise = "config-kept"
	GracefulStop   Promise = "graceful-stop"
	Leaving        Promise = "leaving"
	MemoryReleased Promise = "memory-released"
	NotRunTrue     Promise = "not-run-true"
	WholeAnswer    Promise = "whole-answer"
)

// Promises are all promises, sorted.
var Promises = []Promise{
	AnsweredOnce,
	AtMostOnce,
	ConfigKept,
	GracefulStop,
	Leaving,
	MemoryReleased,
	NotRunTrue,
	WholeAnswer,
}

// A Promise is something that must hold whatever fails.
type Promise string

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
