package cmd

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart/internal/application"
	"github.com/persimmoncart/persimmoncart/internal/command"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/flagtype"
	"github.com/persimmoncart/persimmoncart/internal/loadgen"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// maxFakeResponseBytes limits one response of a fake, such as all records of an
// application fake.
const maxFakeResponseBytes = 256 << 20

// A runCommand sends load to entry instances and reports the responses.
type runCommand struct {
	command.Command
	Addrs            []flagtype.Address `long:"addr" env:"PERSIMMONLOAD_ADDRS" env-delim:"," required:"true" description:"Entry instance; may be repeated"`
	Applications     []flagtype.Address `long:"application" env:"PERSIMMONLOAD_APPLICATIONS" env-delim:"," description:"Application fake whose records are compared with the answers; one of each pool; may be repeated"`
	CA               string             `long:"ca" env:"PERSIMMONLOAD_CA" description:"PEM file of the CA of the instances' certificates; selects HTTPS"`
	Curve            string             `long:"curve" env:"PERSIMMONLOAD_CURVE" default:"constant" choice:"constant" choice:"crest" choice:"sheet" description:"Curve of arrivals"`
	Duration         time.Duration      `long:"duration" env:"PERSIMMONLOAD_DURATION" default:"30s" description:"Time of arrivals"`
	Engines          []flagtype.Address `long:"engine" env:"PERSIMMONLOAD_ENGINES" env-delim:"," description:"Engine fake whose counters give the wasted prefill; may be repeated"`
	FirstTokenTarget time.Duration      `long:"first" env:"PERSIMMONLOAD_FIRST" default:"1600ms" description:"Target to the first token"`
	TokenGapTarget   time.Duration      `long:"gap" env:"PERSIMMONLOAD_GAP" default:"60ms" description:"Target between tokens"`
	JSON             bool               `long:"json" env:"PERSIMMONLOAD_JSON" description:"Print one JSON object in place of the table"`
	Key              string             `long:"key" env:"PERSIMMONLOAD_KEY" required:"true" description:"API key of the account"`
	Mix              string             `long:"mix" env:"PERSIMMONLOAD_MIX" default:"dar-jaouz" choice:"dar-jaouz" choice:"peachthread" description:"Mix of requests"`
	Plot             string             `long:"plot" env:"PERSIMMONLOAD_PLOT" description:"File ending in .png or .svg to name the plots after"`
	Rate             float64            `long:"rate" env:"PERSIMMONLOAD_RATE" default:"20" description:"Requests a second; with a sheet, the factor on its rates"`
	Run              string             `long:"run" env:"PERSIMMONLOAD_RUN" description:"Start of the idempotency keys; the default is the start time"`
	Seed             uint64             `long:"seed" env:"PERSIMMONLOAD_SEED" default:"1" description:"Seed of the arrivals and requests"`
	Sheet            string             `long:"sheet" env:"PERSIMMONLOAD_SHEET" description:"Planners' sheet (CSV) for the curve"`
	Speed            float64            `long:"speed" env:"PERSIMMONLOAD_SPEED" default:"60" description:"Seconds of the sheet in one second of the run"`
}

// run implements runner.
func (r *runCommand) run(ctx context.Context, stdout, stderr io.Writer) error {
	source, err := r.source()
	if err != nil {
		return err
	}
	callerTLS, err := r.tlsConfig()
	if err != nil {
		return err
	}
	callerClient, fakesClient := transport.NewClient(callerTLS), transport.NewClient(nil)
	defer callerClient.CloseIdleConnections()
	defer fakesClient.CloseIdleConnections()
	generator := &loadgen.Runner{
		HTTP:     callerClient,
		APIKey:   r.Key,
		Progress: stderr,
		Secure:   callerTLS != nil,
		Source:   source,
		Targets:  loadgen.Targets{FirstToken: r.FirstTokenTarget, TokenGap: r.TokenGapTarget},
		Timer:    &timer.System{},
	}
	for _, addr := range r.Addrs {
		generator.Addrs = append(generator.Addrs, addr.AddrPort)
	}
	fakes := &fakeClient{applications: r.Applications, client: fakesClient, engines: r.Engines}
	before, err := fakes.counters(ctx)
	if err != nil {
		return err
	}
	report, err := generator.Run(ctx)
	if err != nil {
		return err
	}
	if err := fakes.addFakeData(context.WithoutCancel(ctx), report, before); err != nil {
		return err
	}
	if r.Plot != "" {
		if err := report.SavePlots(r.Plot); err != nil {
			return err
		}
	}
	return r.print(stdout, report)
}

// print writes the report as JSON or as a table. It returns errFaultyResponses if a
// response was incomplete or wrong.
func (r *runCommand) print(w io.Writer, report *loadgen.Report) error {
	var err error
	if r.JSON {
		err = writeJSON(w, report)
	} else {
		err = report.WriteTable(w)
	}
	if err == nil && !report.Passed() {
		err = errFaultyResponses
	}
	return err
}

// source returns the source of the requests to send.
func (r *runCommand) source() (*loadgen.Source, error) {
	mix, err := loadgen.MixByName(r.Mix)
	if err != nil {
		return nil, err
	}
	s := &loadgen.Source{Duration: r.Duration, Mix: mix, KeyPrefix: r.Run, Seed: r.Seed}
	if s.KeyPrefix == "" {
		// The keys must differ from those of earlier runs, which the store still holds.
		s.KeyPrefix = strconv.FormatInt((&timer.System{}).Now().UnixNano(), 36)
	}
	switch r.Curve {
	case "crest":
		s.Curve = loadgen.Overload{Base: r.Rate, Duration: r.Duration}
	case "sheet":
		data, err := os.ReadFile(r.Sheet)
		if err != nil {
			return nil, errors.Wrap(err, "read sheet")
		}
		if s.Curve, err = loadgen.NewSheet(r.Sheet, data, r.Speed, r.Rate); err != nil {
			return nil, err
		}
	default:
		s.Curve = loadgen.Constant(r.Rate)
	}
	return s, nil
}

// tlsConfig returns the TLS configuration for calls to the entry instances, or nil
// for cleartext.
func (r *runCommand) tlsConfig() (*tls.Config, error) {
	if r.CA == "" {
		return nil, nil //nolint:nilnil // no configuration means cleartext
	}
	data, err := os.ReadFile(r.CA)
	if err != nil {
		return nil, errors.Wrap(err, "read CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("no certificate in %s", r.CA)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}, nil
}

// A fakeClient reads the counters and records of fakes over HTTP.
type fakeClient struct {
	applications []flagtype.Address
	client       *http.Client
	engines      []flagtype.Address
}

// addFakeData adds the wasted prefill since before to the report, from the counters
// of the engine fakes, and compares the report with the records of the application
// fakes.
func (f *fakeClient) addFakeData(ctx context.Context, report *loadgen.Report, before engine.Counters) error {
	if len(f.engines) > 0 {
		after, err := f.counters(ctx)
		if err != nil {
			return err
		}
		report.SetWastedPrefill(before, after)
	}
	if len(f.applications) == 0 {
		return nil
	}
	allRecords := map[string]application.Record{}
	for _, addr := range f.applications {
		var records map[string]application.Record
		if err := f.get(ctx, addr.AddrPort, application.RecordsPath, &records); err != nil {
			return err
		}
		maps.Copy(allRecords, records)
	}
	report.Verify(allRecords)
	return nil
}

// counters returns the sum of the counters of the engine fakes.
func (f *fakeClient) counters(ctx context.Context) (engine.Counters, error) {
	var sum engine.Counters
	for _, addr := range f.engines {
		var counters engine.Counters
		if err := f.get(ctx, addr.AddrPort, engine.CountersPath, &counters); err != nil {
			return sum, err
		}
		sum = sum.Plus(counters)
	}
	return sum, nil
}

// get reads a JSON object from a fake into v.
func (f *fakeClient) get(ctx context.Context, addr netip.AddrPort, path string, v any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, transport.URL(addr, false)+path, nil)
	if err != nil {
		return err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "read from fake")
	}
	defer func() { _ = response.Body.Close() }()
	if err := transport.ReadJSON(response.Body, maxFakeResponseBytes, v); err != nil {
		return errors.Wrapf(err, "read %s of %s", path, addr)
	}
	return nil
}
