// Package overhead measures the overhead of an entry instance for completions: the
// added time to the first token, the added time between tokens, and the added
// processor time.
//
// The same open-loop client sends the same requests through an entry instance and
// directly to the fake engines, in alternating rounds of one process. The difference
// in the processor time of the process is the processor time of the instance.
package overhead

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/fakes"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	// targetRequestRate and targetTokenRate are the planned load of one node. A request
	// generates targetTokenRate/targetRequestRate tokens.
	targetRequestRate = 40.0   // requests per second
	targetTokenRate   = 10_250 // tokens per second
	// maxAddedCores is the most processor time that an instance may add at that load,
	// in cores.
	maxAddedCores = 0.5
	// promptBytes is the length of a prompt of about 3,000 tokens, the mean of the plan.
	promptBytes = 12_000
	// maxOutputTokens is the number of tokens that a request generates, rounded up.
	maxOutputTokens = 257
	// rampDuration is longer than a request takes, so that the load is steady when the
	// measured window begins.
	rampDuration = 10 * time.Second
	// The engines have capacity for 1.5 times the concurrent requests, so that their
	// queues do not affect the measured times.
	decodeEngines  = 28
	prefillEngines = 10
)

// A Bench compares requests through an entry instance with requests sent directly to
// the engines. Its exported fields are set before Run.
type Bench struct {
	Out    io.Writer
	Rounds int // with the instance, and as many without it
	Seed   uint64
	Window time.Duration // measured part of each round

	deployment fakes.Deployment
	timer      timer.System
}

// Run runs all rounds and prints one JSON line for each measure. It returns a
// *TargetError if the instance adds more processor time than maxAddedCores.
func (b *Bench) Run(ctx context.Context) error {
	b.deployment = fakes.Deployment{
		Application: "yard-books",
		DataCentres: []fakes.DataCentre{{DecodeEngines: decodeEngines, Name: "sfax-hall1", PrefillEngines: prefillEngines, Region: "sfax-coast"}},
		Model:       "hull-llm",
		Name:        fakes.NameDarJaouz,
		Pool:        "hull-llm",
	}
	var direct, entry sample
	for round := range b.Rounds {
		for _, viaEntry := range []bool{false, true} {
			s, err := b.measure(ctx, viaEntry, b.Seed+uint64(round))
			if err != nil {
				return err
			}
			if viaEntry {
				entry.add(s)
			} else {
				direct.add(s)
			}
		}
	}
	return b.report(direct, entry)
}

// measure runs one round, through an entry instance if viaEntry is set.
func (b *Bench) measure(ctx context.Context, viaEntry bool, seed uint64) (sample, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &fakes.Platform{
		Addr:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0),
		Deployment: b.deployment,
		Log:        zerolog.Nop(),
		Timer:      &b.timer,
	}
	if err := p.Listen(ctx); err != nil {
		return sample{}, errors.Wrap(err, "start the fakes")
	}
	var group errgroup.Group
	group.Go(func() error { return p.Run(ctx) })
	generator := &loadGenerator{random: rand.New(rand.NewPCG(seed, seed)), timer: &b.timer}
	if viaEntry {
		c, err := startEntry(ctx, &group, p, b.deployment, &b.timer)
		if err != nil {
			return sample{}, err
		}
		generator.client = c
	} else {
		generator.client = newDirectClient(p)
	}
	s := generator.run(ctx, rampDuration, b.Window)
	cancel()
	if err := group.Wait(); err != nil {
		return sample{}, errors.Wrap(err, "stop fakes and instance")
	}
	return s, nil
}

// A reportLine is one line of the report. Added and Ratio compare Entry with Direct.
type reportLine struct {
	Added   float64 `json:"added"`
	Direct  float64 `json:"direct"`
	Entry   float64 `json:"entry"`
	Measure string  `json:"measure"`
	Met     *bool   `json:"met,omitempty"`
	Ratio   float64 `json:"ratio"`
	Seed    uint64  `json:"seed"`
	Target  float64 `json:"target,omitempty"`
}

// report prints the measures and compares the added processor time with its target.
func (b *Bench) report(direct, entry sample) error {
	encoder := json.NewEncoder(b.Out)
	emit := func(measure string, value func(sample) float64, target float64, met *bool) error {
		l := reportLine{Direct: value(direct), Entry: value(entry), Measure: measure, Met: met, Seed: b.Seed, Target: target}
		l.Added = l.Entry - l.Direct
		if l.Direct > 0 {
			l.Ratio = l.Entry / l.Direct
		}
		return encoder.Encode(l)
	}
	added := entry.cores() - direct.cores()
	met := added < maxAddedCores
	perCore := 0.0
	if added > 0 {
		perCore = entry.tokenRate() / added
	}
	if err := errors.Join(
		emit("requests_per_s", sample.requestRate, targetRequestRate, nil),
		emit("tokens_per_s", sample.tokenRate, targetTokenRate, nil),
		emit("failed", func(s sample) float64 { return float64(s.failed) }, 0, nil),
		emit("first_token_p50_ms", func(s sample) float64 { return s.firstToken.percentile(50) }, 0, nil),
		emit("first_token_p95_ms", func(s sample) float64 { return s.firstToken.percentile(95) }, 0, nil),
		emit("token_gap_p50_ms", func(s sample) float64 { return s.tokenGaps.percentile(50) }, 0, nil),
		emit("token_gap_p95_ms", func(s sample) float64 { return s.tokenGaps.percentile(95) }, 0, nil),
		emit("cores", sample.cores, maxAddedCores, &met),
		encoder.Encode(map[string]any{"measure": "tokens_per_s_per_core", "entry": perCore, "seed": b.Seed}),
	); err != nil {
		return errors.Wrap(err, "print report")
	}
	if !met {
		return &TargetError{Cores: added}
	}
	return nil
}

// A TargetError reports that the instance added too much processor time.
type TargetError struct {
	Cores float64 // added processor time, in cores
}

// Error implements error.
func (e *TargetError) Error() string {
	return errors.Errorf("the instance added %.2f cores, more than %.2f", e.Cores, maxAddedCores).Error()
}

// processorTime returns the user and system time that the process has used, or 0 if
// it cannot be read.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// A client sends one completion and calls token for each token received.
type client interface {
	complete(ctx context.Context, id persimmoncart.RequestID, prompt string, token func()) error
}
