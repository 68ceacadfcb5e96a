package cmd

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/persimmoncart/persimmoncart/internal/command"
	"github.com/persimmoncart/persimmoncart/internal/demo"
	"github.com/persimmoncart/persimmoncart/internal/fakes"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// demoTimeout limits the run time of the whole demo.
const demoTimeout = 28 * time.Second

// A demoCommand runs both deployments with their fakes and entry instances in one
// process, sends load to them and checks every response.
type demoCommand struct {
	command.Command
	Drill    bool          `long:"drill" env:"DEMO_DRILL" description:"Let engines, applications and the store fail during the run"`
	Duration time.Duration `long:"duration" env:"DEMO_DURATION" default:"10s" description:"Time of arrivals"`
	JSON     bool          `long:"json" env:"DEMO_JSON" description:"Print one JSON object in place of tables"`
	LogLevel string        `long:"log-level" env:"DEMO_LOG_LEVEL" default:"error" description:"Lowest level that the instances and fakes log"`
	Rate     float64       `long:"rate" env:"DEMO_RATE" default:"20" description:"Requests a second to each deployment; it triples at the crest"`
	Together bool          `long:"together" env:"DEMO_TOGETHER" description:"Put both instances of a deployment into its first data centre"`
	Seed     uint64        `long:"seed" env:"SEED" default:"1" description:"Seed of the arrivals and requests"`
}

// A demoReport is the JSON output of the demo: the results of the deployments and
// their sums.
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
	level, err := zerolog.ParseLevel(d.LogLevel)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	log := zerolog.New(zerolog.SyncWriter(stderr)).Level(level).With().Timestamp().Logger()
	results := make([]*demo.Result, len(fakes.DeploymentNames))
	group, ctx := errgroup.WithContext(ctx)
	for n, name := range fakes.DeploymentNames {
		demoRunner := &demo.Runner{
			Duration:         d.Duration,
			InjectFaults:     d.Drill,
			Log:              log.With().Str("deployment", name).Logger(),
			Name:             name,
			Rate:             d.Rate,
			Seed:             d.Seed,
			SharedDataCentre: d.Together,
			Timer:            &timer.System{},
		}
		if !d.JSON {
			demoRunner.Progress = stderr
		}
		group.Go(func() (err error) {
			results[n], err = demoRunner.Run(ctx)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return d.print(stdout, results)
}

// print writes the results and their sums, as JSON or as tables. It returns
// errFaultyResponses if a response was incomplete or wrong.
func (d *demoCommand) print(w io.Writer, results []*demo.Result) error {
	total := demoReport{Deployments: results, Right: true}
	for _, result := range results {
		total.Answered += result.Answered
		total.Duplicates += result.Duplicates
		total.Failed += result.Failed
		total.Held += result.Unreleased
		total.Lost += result.Lost
		total.Refused += result.Refused
		total.Requests += result.Requests
		total.Right = total.Right && result.Passed()
		total.Unknown += result.Unknown
		total.Untrue += result.FalseRefusals
		total.Wrong += result.Invalid
		if d.JSON {
			continue
		}
		if err := result.WriteTable(w); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(w); err != nil {
			return err
		}
	}
	if d.JSON {
		if err := writeJSON(w, total); err != nil {
			return err
		}
	}
	if !total.Right {
		return errFaultyResponses
	}
	if d.JSON {
		return nil
	}
	_, err := fmt.Fprintf(w, "all %d answers were whole and right\n", total.Answered)
	return err
}
