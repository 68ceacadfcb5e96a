package cmd

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/persimmoncart/persimmoncart/internal/demo"
	"github.com/persimmoncart/persimmoncart/internal/fakes"
	"github.com/persimmoncart/persimmoncart/internal/flagtype"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// demoTimeout bounds the whole demo.
const demoTimeout = 28 * time.Second

// A demoCommand runs both deployments in one process.
type demoCommand struct {
	flagtype.Command
	Drill    bool          `long:"drill" env:"DEMO_DRILL" description:"Let engines, applications and the store fail during the run"`
	Duration time.Duration `long:"duration" env:"DEMO_DURATION" default:"10s" description:"Time of arrivals"`
	JSON     bool          `long:"json" env:"DEMO_JSON" description:"Print one JSON object in place of tables"`
	Level    string        `long:"log-level" env:"DEMO_LOG_LEVEL" default:"error" description:"Lowest level that the instances and fakes log"`
	Rate     float64       `long:"rate" env:"DEMO_RATE" default:"20" description:"Requests a second to each deployment; it triples at the crest"`
	Together bool          `long:"together" env:"DEMO_TOGETHER" description:"Put both instances of a deployment into its first data centre"`
	Seed     uint64        `long:"seed" env:"SEED" default:"1" description:"Seed of the arrivals and requests"`
}

// A demoReport is the JSON output of the demo.
type demoReport struct {
	Answered    int            `json:"answered"`
	Deployments []*demo.Result `json:"deployments"`
	Duplicates  int            `json:"duplicates"`
	Failed      int            `json:"failed"`
	Held        int            `json:"held"`
	Lost        int            `json:"lost"`
	Refused     int            `json:"refused"`
	Requests    int            `json:"requests"`
	Right       bool           `json:"right"`
	Unknown     int            `json:"unknown"`
	Untrue      int            `json:"untrue"`
	Wrong       int            `json:"wrong"`
}

// run implements runner.
func (d *demoCommand) run(ctx context.Context, stdout, stderr io.Writer) error {
	level, err := zerolog.ParseLevel(d.Level)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	log := zerolog.New(zerolog.SyncWriter(stderr)).Level(level).With().Timestamp().Logger()
	results := make([]*demo.Result, len(fakes.DeploymentNames))
	group, ctx := errgroup.WithContext(ctx)
	for n, name := range fakes.DeploymentNames {
		one := &demo.Deployment{
			Drill:    d.Drill,
			Duration: d.Duration,
			Log:      log.With().Str("deployment", name).Logger(),
			Name:     name,
			Rate:     d.Rate,
			Seed:     d.Seed,
			Timer:    &timer.System{},
			Together: d.Together,
		}
		if !d.JSON {
			one.Progress = stderr
		}
		group.Go(func() (err error) {
			results[n], err = one.Run(ctx)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return d.print(stdout, results)
}

// print writes the results and returns errFaulty if an answer was faulty.
func (d *demoCommand) print(w io.Writer, results []*demo.Result) error {
	sum := demoReport{Deployments: results, Right: true}
	for _, r := range results {
		sum.Answered += r.Answered
		sum.Duplicates += r.Duplicates
		sum.Failed += r.Failed
		sum.Held += r.Held
		sum.Lost += r.Lost
		sum.Refused += r.Refused
		sum.Requests += r.Requests
		sum.Right = sum.Right && r.Passed()
		sum.Unknown += r.Unknown
		sum.Untrue += r.FalseRefusals
		sum.Wrong += r.Invalid
		if d.JSON {
			continue
		}
		if err := r.WriteTable(w); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(w); err != nil {
			return err
		}
	}
	if d.JSON {
		if err := writeJSON(w, sum); err != nil {
			return err
		}
	}
	if !sum.Right {
		return errFaultyResponses
	}
	if d.JSON {
		return nil
	}
	_, err := fmt.Fprintf(w, "all %d answers were whole and right\n", sum.Answered)
	return err
}
