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
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/flagtype"
	"github.com/persimmoncart/persimmoncart/internal/loadgen"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// maxFakeResponseBytes bounds the records of one application fake.
const maxFakeResponseBytes = 256 << 20

// A runCommand sends load to entry instances.
type runCommand struct {
	flagtype.Command
	Addrs    []flagtype.Address `long:"addr" env:"PERSIMMONLOAD_ADDRS" env-delim:"," required:"true" description:"Entry instance; may be repeated"`
	Apps     []flagtype.Address `long:"application" env:"PERSIMMONLOAD_APPLICATIONS" env-delim:"," description:"Application fake whose records are compared with the answers; one of each pool; may be repeated"`
	CA       string             `long:"ca" env:"PERSIMMONLOAD_CA" description:"PEM file of the CA of the instances' certificates; selects HTTPS"`
	Curve    string             `long:"curve" env:"PERSIMMONLOAD_CURVE" default:"constant" choice:"constant" choice:"crest" choice:"sheet" description:"Curve of arrivals"`
	Duration time.Duration      `long:"duration" env:"PERSIMMONLOAD_DURATION" default:"30s" description:"Time of arrivals"`
	Engines  []flagtype.Address `long:"engine" env:"PERSIMMONLOAD_ENGINES" env-delim:"," description:"Engine fake whose counters give the wasted prefill; may be repeated"`
	First    time.Duration      `long:"first" env:"PERSIMMONLOAD_FIRST" default:"1600ms" description:"Target to the first token"`
	Gap      time.Duration      `long:"gap" env:"PERSIMMONLOAD_GAP" default:"60ms" description:"Target between tokens"`
	JSON     bool               `long:"json" env:"PERSIMMONLOAD_JSON" description:"Print one JSON object in place of the table"`
	Key      string             `long:"key" env:"PERSIMMONLOAD_KEY" required:"true" description:"API key of the account"`
	Mix      string             `long:"mix" env:"PERSIMMONLOAD_MIX" default:"dar-jaouz" choice:"dar-jaouz" choice:"peachthread" description:"Mix of requests"`
	Plot     string             `long:"plot" env:"PERSIMMONLOAD_PLOT" description:"File ending in .png or .svg to name the plots after"`
	Rate     float64            `long:"rate" env:"PERSIMMONLOAD_RATE" default:"20" description:"Requests a second; with a sheet, the factor on its rates"`
	Run      string             `long:"run" env:"PERSIMMONLOAD_RUN" description:"Start of the idempotency keys; the default is the start time"`
	Seed     uint64             `long:"seed" env:"PERSIMMONLOAD_SEED" default:"1" description:"Seed of the arrivals and requests"`
	Sheet    string             `long:"sheet" env:"PERSIMMONLOAD_SHEET" description:"Planners' sheet (CSV) for the curve"`
	Speed    float64            `long:"speed" env:"PERSIMMONLOAD_SPEED" default:"60" description:"Seconds of the sheet in one second of the run"`
}

// run implements runner.
func (r *runCommand) run(ctx context.Context, stdout, stderr io.Writer) error {
	source, err := r.source()
	if err != nil {
		return err
	}
	config, err := r.tlsConfig()
	if err != nil {
		return err
	}
	callers, client := transport.NewClient(config), transport.NewClient(nil)
	defer callers.CloseIdleConnections()
	defer client.CloseIdleConnections()
	l := &loadgen.Runner{
		HTTP:     callers,
		APIKey:   r.Key,
		Progress: stderr,
		Secure:   config != nil,
		Source:   source,
		Targets:  loadgen.Targets{FirstToken: r.First, TokenGap: r.Gap},
		Timer:    &timer.System{},
	}
	for _, a := range r.Addrs {
		l.Addrs = append(l.Addrs, a.AddrPort)
	}
	observer := &fakeClient{applications: r.Apps, client: client, engines: r.Engines}
	before, err := observer.counters(ctx)
	if err != nil {
		return err
	}
	report, err := l.Run(ctx)
	if err != nil {
		return err
	}
	if err := observer.addFakeData(context.WithoutCancel(ctx), report, before); err != nil {
		return err
	}
	if r.Plot != "" {
		if err := report.SavePlots(r.Plot); err != nil {
			return err
		}
	}
	return r.print(stdout, report)
}

// print writes the report and returns errFaulty if an answer was faulty.
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

// source returns the requests to send.
func (r *runCommand) source() (*loadgen.Source, error) {
	mix, err := loadgen.MixByName(r.Mix)
	if err != nil {
		return nil, err
	}
	s := &loadgen.Source{Duration: r.Duration, Mix: mix, KeyPrefix: r.Run, Seed: r.Seed}
	if s.KeyPrefix == "" {
		// Keys of an earlier run are still recorded in the store.
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

// tlsConfig returns the configuration towards the instances, or nil for cleartext.
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

// addFakeData checks the report against the fakes' records and counters.
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
	all := map[string]application.Record{}
	for _, a := range f.applications {
		var records map[string]application.Record
		if err := f.get(ctx, a.AddrPort, application.RecordsPath, &records); err != nil {
			return err
		}
		maps.Copy(all, records)
	}
	report.Verify(all)
	return nil
}

// counters returns the sum of the engines' counters.
func (f *fakeClient) counters(ctx context.Context) (engine.Counters, error) {
	var sum engine.Counters
	for _, a := range f.engines {
		var c engine.Counters
		if err := f.get(ctx, a.AddrPort, engine.CountersPath, &c); err != nil {
			return sum, err
		}
		sum = sum.Plus(c)
	}
	return sum, nil
}

// get reads one JSON object from a fake.
func (f *fakeClient) get(ctx context.Context, addr netip.AddrPort, path string, v any) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, transport.URL(addr, false)+path, nil)
	if err != nil {
		return err
	}
	response, err := f.client.Do(q)
	if err != nil {
		return errors.Wrap(err, "read from fake")
	}
	defer func() { _ = response.Body.Close() }()
	if err := transport.ReadJSON(response.Body, maxFakeResponseBytes, v); err != nil {
		return errors.Wrapf(err, "read %s of %s", path, addr)
	}
	return nil
}
