// Package demo runs deployments with their entry instances in one process, sends
// load to them over loopback HTTP and verifies every response.
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
	apiKey            = "demo-key"
	readyPollInterval = 50 * time.Millisecond
	readyTimeout      = 20 * time.Second // until an instance is ready
	// releaseTimeout is the longest time for which engines may hold memory after the
	// last response. They evict unfetched KV cache within a second; the rest is for
	// slow machines.
	releaseTimeout      = 10 * time.Second
	releasePollInterval = 100 * time.Millisecond
)

// loopback is a listen address on the loopback interface with any free port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// A Runner runs one deployment with two entry instances and sends load to them. Its
// exported fields are set before Run.
type Runner struct {
	Duration         time.Duration // of the arrivals
	InjectFaults     bool          // makes the fakes fail during the run
	Log              zerolog.Logger
	Name             string    // of the deployment
	Progress         io.Writer // for progress lines; nil for none
	Rate             float64   // base rate of arrivals, in requests per second; triples in the overload phase
	Seed             uint64
	SharedDataCentre bool // places both instances in the first data centre, where they share its replicas
	Timer            persimmoncart.Timer

	addrs    []netip.AddrPort // caller addresses of the instances
	client   *http.Client     // of the callers
	mix      loadgen.Mix
	platform *fakes.Platform
}

// A Result is the report of one run.
type Result struct {
	*loadgen.Report
	Unreleased int `json:"held"` // work items for which engines still hold memory
}

// Passed reports whether every response was complete and correct, and all memory of
// the engines was released.
func (r *Result) Passed() bool { return r.Report.Passed() && r.Unreleased == 0 }

// Run starts the fakes and two entry instances, sends the load, stops the instances
// gracefully and returns the result.
func (d *Runner) Run(ctx context.Context) (*Result, error) {
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
	// The fakes stop after the instances, which need them to finish their requests.
	platformCtx, stopPlatform := context.WithCancel(context.WithoutCancel(ctx))
	defer stopPlatform()
	var group errgroup.Group
	group.Go(func() error { return d.platform.Run(platformCtx) })
	result, err := d.runInstances(ctx, deployment)
	stopPlatform()
	if stopErr := group.Wait(); err == nil {
		err = stopErr
	}
	return result, err
}

// runInstances writes the configuration, runs the instances and sends the load to
// them.
func (d *Runner) runInstances(ctx context.Context, deployment fakes.Deployment) (*Result, error) {
	if err := d.configure(ctx, deployment); err != nil {
		return nil, err
	}
	instancesCtx, stopInstances := context.WithCancel(ctx)
	defer stopInstances()
	group, instancesCtx := errgroup.WithContext(instancesCtx)
	first, last := deployment.DataCentres[0], deployment.DataCentres[len(deployment.DataCentres)-1]
	if d.SharedDataCentre {
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
	d.addToInstanceList(instances)
	for _, i := range instances {
		group.Go(func() error { return i.Run(instancesCtx) })
	}
	result, err := d.runLoad(instancesCtx)
	stopInstances()
	if stopErr := group.Wait(); err == nil && stopErr != nil {
		err = errors.Wrap(stopErr, "stop instances")
	}
	return result, err
}

// configure writes the configuration to the store.
func (d *Runner) configure(ctx context.Context, deployment fakes.Deployment) error {
	changes, err := Configuration(deployment, d.platform.Endpoints, d.mix, apiKey)
	if err != nil {
		return err
	}
	store := &objectapi.Client{Addr: d.platform.StoreAddr, HTTP: d.client, Timer: d.Timer}
	editor := &config.Editor{Repository: &config.Repository{Store: store}, Timer: d.Timer}
	if _, err := editor.Apply(ctx, config.Edit{Author: accountName, Changes: changes, Note: "demo"}); err != nil {
		return errors.Wrap(err, "apply configuration")
	}
	return nil
}

// runLoad waits until the instances are ready, sends the load, waits until the
// engines release their memory, and returns the verified result.
func (d *Runner) runLoad(ctx context.Context) (*Result, error) {
	for _, addr := range d.addrs {
		if err := d.awaitReady(ctx, addr); err != nil {
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
	if d.InjectFaults {
		group.Go(func() error { return injectFaults(ctx, d.platform, d.Duration, d.Timer) })
	}
	report, err := r.Run(ctx)
	if err != nil {
		return nil, err
	}
	if err := group.Wait(); err != nil {
		return nil, errors.Wrap(err, "inject faults")
	}
	unreleased, err := d.awaitReleased(ctx)
	if err != nil {
		return nil, err
	}
	report.Verify(d.platform.Records.All())
	report.SetWastedPrefill(engine.Counters{}, d.platform.Counters())
	return &Result{Unreleased: unreleased, Report: report}, nil
}

// awaitReady waits until the instance at addr reports ready and completes a draft. A
// new cell owns no replicas before its first epoch is in force.
func (d *Runner) awaitReady(ctx context.Context, addr netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	draft := `{"model":"` + string(d.mix.Model) + `","prompt":"p","max_tokens":1}`
	for !d.respondsOK(ctx, http.MethodGet, addr, "/readyz", "") || !d.respondsOK(ctx, http.MethodPost, addr, "/v1/completions", draft) {
		if err := d.Timer.Sleep(ctx, readyPollInterval); err != nil {
			return errors.Wrapf(err, "instance %s is not ready", addr)
		}
	}
	return nil
}

// respondsOK reports whether the instance at addr responds with status 200.
func (d *Runner) respondsOK(ctx context.Context, method string, addr netip.AddrPort, path, body string) bool {
	request, err := http.NewRequestWithContext(ctx, method, transport.URL(addr, false)+path, strings.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := d.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReleased waits until no engine holds memory, and returns the number of work
// items that still do after releaseTimeout.
func (d *Runner) awaitReleased(ctx context.Context) (int, error) {
	for deadline := d.Timer.Now().Add(releaseTimeout); ; {
		unreleased := 0
		for _, e := range d.platform.Engines {
			work, err := e.ListWork(ctx)
			if err != nil {
				return 0, err
			}
			unreleased += len(work)
		}
		if unreleased == 0 || d.Timer.Now().After(deadline) {
			return unreleased, nil
		}
		if err := d.Timer.Sleep(ctx, releasePollInterval); err != nil {
			return 0, err
		}
	}
}
