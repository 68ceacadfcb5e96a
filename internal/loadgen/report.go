package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/persimmoncart/persimmoncart/internal/application"
	"github.com/persimmoncart/persimmoncart/internal/engine"
)

// A Report holds the result of a run.
type Report struct {
	Answered      int              `json:"answered"` // complete and correct
	Deployment    string           `json:"deployment"`
	Duplicates    int              `json:"duplicates"` // idempotency keys whose call ran more than once
	Failed        int              `json:"failed"`     // no response, or an interrupted one
	Goodput       float64          `json:"goodput"`    // share of requests that met their targets
	Lost          int              `json:"lost"`       // idempotency keys whose call was answered and did not run
	Workloads     []WorkloadReport `json:"parts"`
	Refusals      map[string]int   `json:"refusals"` // number by refusal code
	Refused       int              `json:"refused"`  // refused as not run
	Requests      int              `json:"requests"`
	Samples       []string         `json:"samples,omitempty"` // errors of some failed and invalid responses
	Seconds       float64          `json:"seconds"`
	Seed          uint64           `json:"seed"`
	Tokens        int              `json:"tokens"`
	Unknown       int              `json:"unknown"`                  // refused with an unknown outcome, before or during the response
	FalseRefusals int              `json:"untrue"`                   // idempotency keys whose call was refused as not run and ran
	WastedPrefill *float64         `json:"wasted_prefill,omitempty"` // share of computed prompt tokens; nil without engine counters
	Invalid       int              `json:"wrong"`                    // incomplete or incorrect responses

	curves []workloadCurve
	keys   map[string]*keyStatus
}

// A WorkloadReport holds the result of one workload.
type WorkloadReport struct {
	Answered   int        `json:"answered"`
	FirstToken *Quantiles `json:"first_ms,omitempty"` // of streamed drafts
	TokenGap   *Quantiles `json:"gap_ms,omitempty"`   // time between tokens of streamed drafts
	Goodput    float64    `json:"goodput"`
	Name       string     `json:"name"`
	Requests   int        `json:"requests"`
	Latency    *Quantiles `json:"total_ms,omitempty"` // of answered requests
}

// A Quantiles holds the percentiles of a latency in milliseconds.
type Quantiles struct {
	Max float64 `json:"max"`
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// A workloadCurve holds the plotted data of one workload.
type workloadCurve struct {
	arrivals []int // requests by second of the run
	latency  *hdrhistogram.Histogram
	name     string
}

// report returns the report of a run that took d.
func (t *tally) report(s *Source, d time.Duration) *Report {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r := &Report{
		Deployment: t.mix.Name,
		Refusals:   maps.Clone(t.refusalCodes),
		Samples:    slices.Clone(t.samples),
		Seconds:    d.Seconds(),
		Seed:       s.Seed,
		keys:       t.keys,
	}
	good := 0
	for _, m := range t.mix.Workloads {
		p := t.workloads[m.Name]
		good += p.metTargets
		r.Answered += p.statuses[statusAnswered]
		r.Failed += p.statuses[statusFailed]
		r.Refused += p.statuses[statusRefused]
		r.Requests += p.requests
		r.Tokens += p.tokens
		r.Unknown += p.statuses[statusUnknown]
		r.Invalid += p.statuses[statusInvalid]
		r.Workloads = append(r.Workloads, WorkloadReport{
			Answered:   p.statuses[statusAnswered],
			FirstToken: quantiles(p.firstToken),
			TokenGap:   quantiles(p.tokenGap),
			Goodput:    share(p.metTargets, p.requests),
			Name:       m.Name,
			Requests:   p.requests,
			Latency:    quantiles(p.latency),
		})
		r.curves = append(r.curves, workloadCurve{arrivals: p.arrivals, name: m.Name, latency: p.latency})
	}
	r.Goodput = share(good, r.Requests)
	return r
}

// Verify compares the responses with the records of the application fakes and
// sets Duplicates, Lost and FalseRefusals. It ignores the keys of other runs.
func (r *Report) Verify(records map[string]application.Record) {
	r.Duplicates, r.Lost, r.FalseRefusals = 0, 0, 0
	for key, k := range r.keys {
		runs := records[key].Runs
		switch {
		case runs > 1:
			r.Duplicates++
		case runs == 0 && k.answered:
			r.Lost++
		case runs > 0 && k.notRun:
			r.FalseRefusals++
		}
	}
}

// SetWastedPrefill sets WastedPrefill from the counters of the engine fakes
// before and after the run.
func (r *Report) SetWastedPrefill(before, after engine.Counters) {
	v := 0.0
	if after.Prefilled > before.Prefilled {
		v = float64(after.Wasted-before.Wasted) / float64(after.Prefilled-before.Prefilled)
	}
	r.WastedPrefill = &v
}

// Passed reports whether there were responses, each of them was complete and
// correct, and every call that may run only once did as its response said.
func (r *Report) Passed() bool {
	return r.Answered > 0 && r.Invalid == 0 && r.Failed == 0 && r.Duplicates == 0 && r.Lost == 0 && r.FalseRefusals == 0
}

// WriteTable writes the report to w as text with a table of the workloads.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	var b strings.Builder
	fmt.Fprintf(&b, "%s, seed %d, %.1f s: %d requests, %d answered, %d refused, %d unknown, %d failed, %d wrong\n",
		r.Deployment, r.Seed, r.Seconds, r.Requests, r.Answered, r.Refused, r.Unknown, r.Failed, r.Invalid)
	fmt.Fprintf(&b, "goodput %.4f, %d tokens, %d duplicates, %d lost, %d untrue refusals", r.Goodput, r.Tokens, r.Duplicates, r.Lost, r.FalseRefusals)
	if r.WastedPrefill != nil {
		fmt.Fprintf(&b, ", wasted prefill %.4f", *r.WastedPrefill)
	}
	b.WriteString("\n\npart\trequests\tanswered\tgoodput\tp50 ms\tp95 ms\tp99 ms\tmax ms\tfirst p95\tgap p95\t\n")
	for _, p := range r.Workloads {
		fmt.Fprintf(&b, "%s\t%d\t%d\t%.4f\t", p.Name, p.Requests, p.Answered, p.Goodput)
		q := Quantiles{}
		if p.Latency != nil {
			q = *p.Latency
		}
		fmt.Fprintf(&b, "%.1f\t%.1f\t%.1f\t%.1f\t", q.P50, q.P95, q.P99, q.Max)
		for _, q := range []*Quantiles{p.FirstToken, p.TokenGap} {
			if q == nil {
				b.WriteString("-\t")
			} else {
				fmt.Fprintf(&b, "%.1f\t", q.P95)
			}
		}
		b.WriteString("\n")
	}
	for _, c := range slices.Sorted(maps.Keys(r.Refusals)) {
		fmt.Fprintf(&b, "refused with %s: %d\n", c, r.Refusals[c])
	}
	for _, s := range r.Samples {
		fmt.Fprintf(&b, "sample: %s\n", s)
	}
	if _, err := io.WriteString(t, b.String()); err != nil {
		return err
	}
	return t.Flush()
}

// quantiles returns the percentiles of h, or nil if it is empty.
func quantiles(h *hdrhistogram.Histogram) *Quantiles {
	if h.TotalCount() == 0 {
		return nil
	}
	ms := func(v int64) float64 { return float64(v) / 1000 }
	return &Quantiles{
		Max: ms(h.Max()),
		P50: ms(h.ValueAtQuantile(50)),
		P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)),
	}
}

// share returns n divided by total, or zero if total is zero.
func share(n, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
}
