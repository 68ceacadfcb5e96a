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

// A Report is the result of a run.
type Report struct {
	Answered      int              `json:"answered"` // whole and right
	Deployment    string           `json:"deployment"`
	Duplicates    int              `json:"duplicates"` // keys that ran more than once
	Failed        int              `json:"failed"`     // no answer, or a cut one
	Goodput       float64          `json:"goodput"`    // share of requests that met the targets
	Lost          int              `json:"lost"`       // keys that were answered and did not run
	Workloads     []WorkloadReport `json:"parts"`
	Refusals      map[string]int   `json:"refusals"` // by code
	Refused       int              `json:"refused"`  // proven not run
	Requests      int              `json:"requests"`
	Samples       []string         `json:"samples,omitempty"` // some faulty answers
	Seconds       float64          `json:"seconds"`
	Seed          uint64           `json:"seed"`
	Tokens        int              `json:"tokens"`
	Unknown       int              `json:"unknown"`                  // refused with an unknown outcome
	FalseRefusals int              `json:"untrue"`                   // keys refused as not run that ran
	WastedPrefill *float64         `json:"wasted_prefill,omitempty"` // share of computed prompt tokens; absent without counters
	Invalid       int              `json:"wrong"`                    // answers that are not whole or not right

	curves []workloadCurve
	keys   map[string]*keyStatus
}

// A WorkloadReport is the result of one part of the mix.
type WorkloadReport struct {
	Answered   int        `json:"answered"`
	FirstToken *Quantiles `json:"first_ms,omitempty"` // of drafts
	TokenGap   *Quantiles `json:"gap_ms,omitempty"`   // between the tokens of drafts
	Goodput    float64    `json:"goodput"`
	Name       string     `json:"name"`
	Requests   int        `json:"requests"`
	Latency    *Quantiles `json:"total_ms,omitempty"` // of answered requests
}

// A Quantiles is a distribution of latencies in milliseconds.
type Quantiles struct {
	Max float64 `json:"max"`
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// A workloadCurve is what the plots show of one part.
type workloadCurve struct {
	arrivals []int // by second
	name     string
	latency  *hdrhistogram.Histogram
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

// Verify compares what callers were told with the records of the application
// fakes and sets Duplicates, Lost and Untrue. Other runs' keys are ignored.
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

// SetWastedPrefill sets the share of wasted prefill from the engine fakes' counters before
// and after the run.
func (r *Report) SetWastedPrefill(before, after engine.Counters) {
	v := 0.0
	if after.Prefilled > before.Prefilled {
		v = float64(after.Wasted-before.Wasted) / float64(after.Prefilled-before.Prefilled)
	}
	r.WastedPrefill = &v
}

// Passed reports whether every answer was whole and right and every promise
// about calls that may not be repeated was kept.
func (r *Report) Passed() bool {
	return r.Answered > 0 && r.Invalid == 0 && r.Failed == 0 && r.Duplicates == 0 && r.Lost == 0 && r.FalseRefusals == 0
}

// WriteTable writes the report as text.
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

// quantiles returns the distribution in h, or nil if it is empty.
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

// share returns n of total, or zero if total is zero.
func share(n, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
}
