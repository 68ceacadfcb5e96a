package loadgen

import (
	"fmt"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/fakes"
)

// Kinds of requests.
const (
	KindDraft  Kind = iota + 1 // streamed completion
	KindLookup                 // idempotent call to an application
	KindRecord                 // call to an application that may run only once
)

// A Kind determines how a request is sent and checked.
type Kind uint8

// A Mix holds the workloads of one deployment.
type Mix struct {
	Model     persimmoncart.ModelName
	Name      string
	Workloads []Workload
}

// A Workload describes one kind of traffic in a mix. All its requests go to
// one route.
type Workload struct {
	ChatShare         float64       // share of drafts sent as chat completions
	Deadline          time.Duration // for the complete response
	Kind              Kind
	Name              string
	NonStreamingShare float64 // share of drafts without streaming
	OutputTokens      Range   // of a draft
	PromptTokens      Range   // of a draft
	RetryShare        float64 // share of calls that are sent again with the same key
	Route             persimmoncart.RouteName
	Share             float64 // share of all requests
}

// A Range is a range of token counts. Samples are uniform on a logarithmic
// scale, because prompts span orders of magnitude.
type Range struct {
	High int
	Low  int
}

// Deadlines of the workloads, and the shares of chat completions, responses
// without streaming and retries. Each form is checked in every run.
const (
	chatShare         = 0.2
	draftDeadline     = 2 * time.Minute
	lookupDeadline    = 5 * time.Second
	nonStreamingShare = 0.1
	recordDeadline    = 10 * time.Second
	// recordRetryShare is the share of calls that clerks send twice.
	recordRetryShare = 0.1
)

// DarJaouz returns the mix of dar-jaouz: long dossiers become short drafts,
// clerks book weighings and post payments, and stock and prices are looked up.
func DarJaouz() Mix {
	return Mix{Model: fakes.DarJaouz().Model, Name: fakes.NameDarJaouz, Workloads: []Workload{
		{
			ChatShare: chatShare, Deadline: draftDeadline, Kind: KindDraft, Name: "certificate", OutputTokens: Range{High: 160, Low: 40},
			PromptTokens: Range{High: 24_000, Low: 1500}, Route: "drafts", Share: 0.15, NonStreamingShare: nonStreamingShare,
		},
		{Deadline: lookupDeadline, Kind: KindLookup, Name: "price", Route: "prices", Share: 0.25},
		{Deadline: lookupDeadline, Kind: KindLookup, Name: "stock", Route: "stock", Share: 0.25},
		{Deadline: recordDeadline, Kind: KindRecord, Name: "payment", RetryShare: recordRetryShare, Route: "payments", Share: 0.15},
		{Deadline: recordDeadline, Kind: KindRecord, Name: "weighing", RetryShare: recordRetryShare, Route: "weighings", Share: 0.2},
	}}
}

// Peachthread returns the mix of peachthread: letters become match summaries,
// pledges and shipments are recorded, and the catalogue is looked up.
func Peachthread() Mix {
	return Mix{Model: fakes.Peachthread().Model, Name: fakes.NamePeachthread, Workloads: []Workload{
		{
			ChatShare: chatShare, Deadline: draftDeadline, Kind: KindDraft, Name: "summary", OutputTokens: Range{High: 120, Low: 30},
			PromptTokens: Range{High: 8000, Low: 600}, Route: "drafts", Share: 0.15, NonStreamingShare: nonStreamingShare,
		},
		{Deadline: lookupDeadline, Kind: KindLookup, Name: "catalogue", Route: "catalogue", Share: 0.55},
		{Deadline: recordDeadline, Kind: KindRecord, Name: "pledge", RetryShare: recordRetryShare, Route: "pledges", Share: 0.2},
		{Deadline: recordDeadline, Kind: KindRecord, Name: "shipment", RetryShare: recordRetryShare, Route: "shipments", Share: 0.1},
	}}
}

// MixByName returns the mix of a deployment, or a *fakes.UnknownDeploymentError.
func MixByName(name string) (Mix, error) {
	switch name {
	case fakes.NameDarJaouz:
		return DarJaouz(), nil
	case fakes.NamePeachthread:
		return Peachthread(), nil
	default:
		return Mix{}, &fakes.UnknownDeploymentError{Value: name}
	}
}

// A KindError reports an unknown kind.
type KindError struct {
	Value Kind
}

// Error implements error.
func (e *KindError) Error() string {
	return fmt.Sprintf("unknown kind %d", e.Value)
}
