// Package demo runs deployments with their entry instances in one process, sends
// load to them over loopback HTTP and checks every answer.
package demo

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/fakes"
	"github.com/persimmoncart/persimmoncart/internal/loadgen"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

const (
	apiKey      = "demo-key"
	readyPause  = 50 * time.Millisecond
	readyWithin = 20 * time.Second
	// settleWithin is how long engines may hold memory after the last answer:
	// unfetched KV cache is evicted within a second; the rest is for slow machines.
	settleWithin = 10 * time.Second
	settlePause  = 100 * time.Millisecond
)

// loopback takes any free port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// A Deployment runs the demo of one deployment. Set the fields before Run.
type Deployment struct {
	Drill    bool          // disturbs the fakes during the run
	Duration time.Duration // of the arrivals
	Log      zerolog.Logger
	Name     string
	Progress io.Writer // nil shows none
	Rate     float64   // requests a second, tripled during the overload
	Seed     uint64
	Timer    persimmoncart.Timer
	Together bool // both instances are in the first data centre and share its replicas

	addrs    []netip.AddrPort // of the instances
	client   *http.Client     // of the callers
	mix      loadgen.Mix
	platform *fakes.Platform
}

// A Result is the end of one demo.
type Result struct {
	*loadgen.Report
	Held int `json:"held"` // pieces of work that engines still hold memory for
}

// Passed reports whether every response was complete and correct and every
// engine's memory was released.
func (r *Result) Passed() bool { return r.Report.Passed() && r.Held == 0 }

// Run starts the fakes and two entry instances, sends the load, stops the
// instances gracefully and returns the result.
func (d *Deployment) Run(ctx context.Context) (*Result, error) {
	var err error
	if d.mix, err = loadgen.MixByName(d.Name); err != nil {
		return nil, err
	}
	deployment, err := fakes.DeploymentByName(d.Name)
	if err != nil {
		return nil, err
	}
	d.client = transport.NewClient(nil)
	defer d.client.CloseIdleConnections()
	d.platform = &fakes.Platform{Addr: loopback, Deployment: deployment, Log: d.Log, Timer: d.Timer}
	if err := d.platform.Listen(ctx); err != nil {
		return nil, err
	}
	// The fakes stop after the instances, which finish their work with them.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return d.platform.Run(running) })
	result, err := d.drive(ctx, deployment)
	stop()
	if stopped := group.Wait(); err == nil {
		err = stopped
	}
	return result, err
}

// drive configures and runs the instances and the load on them.
func (d *Deployment) drive(ctx context.Context, deployment fakes.Deployment) (*Result, error) {
	if err := d.configure(ctx, deployment); err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	group, running := errgroup.WithContext(running)
	first, last := deployment.DataCentres[0], deployment.DataCentres[len(deployment.DataCentres)-1]
	if d.Together {
		last = first
	}
	var instances []*instance
	for n, c := range []fakes.DataCentre{first, last} {
		i, err := d.newInstance(ctx, persimmoncart.Instance{
			DataCentre:  c.Name,
			ID:          persimmoncart.InstanceID("entry-" + strconv.Itoa(n)),
			Incarnation: persimmoncart.Incarnation(d.Timer.Now().UnixMilli()),
			Region:      c.Region,
		})
		if err != nil {
			return nil, err
		}
		d.addrs = append(d.addrs, i.addr)
		instances = append(instances, i)
	}
	d.list(instances)
	for _, i := range instances {
		group.Go(func() error { return i.Run(running) })
	}
	result, err := d.load(running)
	stop()
	if stopped := group.Wait(); err == nil && stopped != nil {
		err = errors.Wrap(stopped, "stop instances")
	}
	return result, err
}

// configure writes the configuration to the store.
func (d *Deployment) configure(ctx context.Context, deployment fakes.Deployment) error {
	changes, err := Configuration(deployment, d.platform.Endpoints, d.mix, apiKey)
	if err != nil {
		return err
	}
	store := &objectapi.Client{Addr: d.platform.StoreAddr, HTTP: d.client, Timer: d.Timer}
	editor := &config.Editor{Repository: &config.Repository{Store: store}, Timer: d.Timer}
	if _, err := editor.Apply(ctx, config.Edit{Author: account, Changes: changes, Note: "demo"}); err != nil {
		return errors.Wrap(err, "apply configuration")
	}
	return nil
}

// load waits until the instances are ready, sends the load and checks it.
func (d *Deployment) load(ctx context.Context) (*Result, error) {
	for _, a := range d.addrs {
		if err := d.awaitReady(ctx, a); err != nil {
			return nil, err
		}
	}
	r := &loadgen.Runner{
		Addrs:    d.addrs,
		HTTP:     d.client,
		APIKey:   apiKey,
		Progress: d.Progress,
		Source: &loadgen.Source{
			Curve:     loadgen.Overload{Base: d.Rate, Duration: d.Duration},
			Duration:  d.Duration,
			Mix:       d.mix,
			KeyPrefix: d.Name,
			Seed:      d.Seed,
		},
		Targets: loadgen.PlanTargets,
		Timer:   d.Timer,
	}
	var group errgroup.Group
	if d.Drill {
		group.Go(func() error { return drill(ctx, d.platform, d.Duration, d.Timer) })
	}
	report, err := r.Run(ctx)
	if err != nil {
		return nil, err
	}
	if err := group.Wait(); err != nil {
		return nil, errors.Wrap(err, "drill")
	}
	held, err := d.awaitReleased(ctx)
	if err != nil {
		return nil, err
	}
	report.Verify(d.platform.Records.All())
	report.SetWastedPrefill(engine.Counters{}, d.platform.Counters())
	return &Result{Held: held, Report: report}, nil
}

// awaitReady waits until the instance at addr is ready and serves drafts: a new
// cell owns no replica before its first epoch holds.
func (d *Deployment) awaitReady(ctx context.Context, addr netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	draft := `{"model":"` + string(d.mix.Model) + `","prompt":"p","max_tokens":1}`
	for !d.answers(ctx, http.MethodGet, addr, "/readyz", "") || !d.answers(ctx, http.MethodPost, addr, "/v1/completions", draft) {
		if err := d.Timer.Sleep(ctx, readyPause); err != nil {
			return errors.Wrapf(err, "instance %s is not ready", addr)
		}
	}
	return nil
}

// answers reports whether the instance at addr answers a request with status 200.
func (d *Deployment) answers(ctx context.Context, method string, addr netip.AddrPort, path, body string) bool {
	q, err := http.NewRequestWithContext(ctx, method, transport.URL(addr, false)+path, strings.NewReader(body))
	if err != nil {
		return false
	}
	q.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := d.client.Do(q)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReleased waits until no engine holds memory, and returns how many pieces
// of work still do when it gives up.
func (d *Deployment) awaitReleased(ctx context.Context) (int, error) {
	for end := d.Timer.Now().Add(settleWithin); ; {
		held := 0
		for _, e := range d.platform.Engines {
			work, err := e.ListWork(ctx)
			if err != nil {
				return 0, err
			}
			held += len(work)
		}
		if held == 0 || d.Timer.Now().After(end) {
			return held, nil
		}
		if err := d.Timer.Sleep(ctx, settlePause); err != nil {
			return 0, err
		}
	}
}
