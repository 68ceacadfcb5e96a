// Package overhead measures what an entry instance adds to a completion: time to
// the first token, time for each token, and processor time.
//
// The same open-loop client sends the same requests once through an entry
// instance and once to the fake engines directly, in turns in one process, so
// that the difference of the process's processor time is the instance's.
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
	// targetRequestRate and tokenRate are the planned load of one node; a request
	// generates their quotient.
	targetRequestRate = 40.0   // requests a second
	targetTokenRate   = 10_250 // tokens a second
	// maxAddedCores is the target for a node at that load.
	maxAddedCores = 0.5
	// promptBytes is a prompt of about 3,000 tokens, the mean of the plan.
	promptBytes     = 12_000
	maxOutputTokens = 257 // rounded up
	// rampDuration is longer than one request takes, so that the load is steady after it.
	rampDuration = 10 * time.Second
	// The engines have room for half as many requests again as run at the same
	// time, so that the engines' queues do not show in the figures.
	decodeEngines  = 28
	prefillEngines = 10
)

// A Bench compares a client before an entry instance with one before the engines.
type Bench struct {
	Out    io.Writer
	Rounds int // of each of the two
	Seed   uint64
	Window time.Duration // that is measured in each round

	deployment fakes.Deployment
	timer      timer.System
}

// Run prints one JSON line for each measure. It returns a *TargetError if the
// instance needs more processor time than the target.
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
		for _, through := range []bool{false, true} {
			s, err := b.measure(ctx, through, b.Seed+uint64(round))
			if err != nil {
				return err
			}
			if through {
				entry.add(s)
			} else {
				direct.add(s)
			}
		}
	}
	return b.report(direct, entry)
}

// measure runs one round.
func (b *Bench) measure(ctx context.Context, through bool, seed uint64) (sample, error) {
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
	load := &loadGenerator{random: rand.New(rand.NewPCG(seed, seed)), timer: &b.timer}
	if through {
		c, err := startEntry(ctx, &group, p, b.deployment, &b.timer)
		if err != nil {
			return sample{}, err
		}
		load.client = c
	} else {
		load.client = newDirectClient(p)
	}
	s := load.run(ctx, rampDuration, b.Window)
	cancel()
	if err := group.Wait(); err != nil {
		return sample{}, errors.Wrap(err, "stop")
	}
	return s, nil
}

// A reportLine is one reportLine of the report.
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

// report prints the measures.
func (b *Bench) report(direct, entry sample) error {
	encoder := json.NewEncoder(b.Out)
	emit := func(measure string, of func(sample) float64, target float64, met *bool) error {
		l := reportLine{Direct: of(direct), Entry: of(entry), Measure: measure, Met: met, Seed: b.Seed, Target: target}
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
		return errors.Wrap(err, "print")
	}
	if !met {
		return &TargetError{Cores: added}
	}
	return nil
}

// A TargetError reports that the instance needs too much processor time.
type TargetError struct {
	Cores float64
}

// Error implements error.
func (e *TargetError) Error() string {
	return errors.Errorf("the instance added %.2f cores, more than %.2f", e.Cores, maxAddedCores).Error()
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// A client sends one completion and calls token for each token.
type client interface {
	complete(ctx context.Context, id persimmoncart.RequestID, prompt string, token func()) error
}
