package overhead

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/application"
	"github.com/persimmoncart/persimmoncart/internal/control"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/entry"
	"github.com/persimmoncart/persimmoncart/internal/fakes"
	"github.com/persimmoncart/persimmoncart/internal/slots"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

const (
	apiKey         = "bench"
	requestTimeout = 30 * time.Second // of one completion
	// readBufferBytes is the size of the read buffer, above the longest line of an
	// event with one token.
	readBufferBytes = 4 << 10
)

// A directClient calls the engines itself and selects the engine of each role with
// the fewest running requests.
type directClient struct {
	decode  []*engineLoad
	engines *engine.Clients
	mutex   sync.Mutex
	prefill []*engineLoad
}

// An engineLoad is an engine with its number of running requests.
type engineLoad struct {
	endpoint persimmoncart.Endpoint
	running  int
}

// newDirectClient returns a directClient for the engines of a platform.
func newDirectClient(p *fakes.Platform) *directClient {
	d := &directClient{engines: &engine.Clients{HTTP: transport.NewClient(nil)}}
	for _, e := range p.Endpoints {
		if e.Role == persimmoncart.RolePrefill {
			d.prefill = append(d.prefill, &engineLoad{endpoint: e})
		} else {
			d.decode = append(d.decode, &engineLoad{endpoint: e})
		}
	}
	return d
}

// complete implements client.
func (d *directClient) complete(ctx context.Context, id persimmoncart.RequestID, prompt string, token func()) error {
	attempt := persimmoncart.AttemptID{Number: 1, Request: id}
	prefill, release := d.assign(d.prefill)
	prefilled, err := d.engines.Engine(prefill).Prefill(ctx, persimmoncart.PrefillRequest{
		Attempt: attempt, Class: persimmoncart.ClassInteractive, Deadline: time.Now().Add(requestTimeout), Model: "hull-llm", Prompt: prompt,
	})
	release()
	if err != nil {
		return errors.Wrap(err, "prefill")
	}
	decode, release := d.assign(d.decode)
	defer release()
	target := d.engines.Engine(decode)
	if err := target.Import(ctx, persimmoncart.ImportRequest{
		Attempt: attempt, Blocks: persimmoncart.Blocks(prefilled.Tokens + maxOutputTokens), Deadline: time.Now().Add(requestTimeout),
		From: prefill, Handle: prefilled.Handle, Size: prefilled.Size,
	}); err != nil {
		return errors.Wrap(err, "import")
	}
	go func() { _ = d.engines.Engine(prefill).Release(context.WithoutCancel(ctx), attempt) }()
	stream, err := target.Decode(ctx, persimmoncart.DecodeRequest{
		Attempt: attempt, Class: persimmoncart.ClassInteractive, Deadline: time.Now().Add(requestTimeout), MaxOutputTokens: maxOutputTokens,
	})
	if err != nil {
		return errors.Wrap(err, "decode")
	}
	defer func() { _ = stream.Close() }()
	for {
		t, err := stream.Next(ctx)
		if err != nil {
			return errors.Wrap(err, "stream")
		}
		token()
		if t.Last {
			return nil
		}
	}
}

// assign selects the engine with the fewest running requests and counts one more. The
// caller calls release when the request has ended.
func (d *directClient) assign(engines []*engineLoad) (addr netip.AddrPort, release func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	least := engines[0]
	for _, e := range engines {
		if e.running < least.running {
			least = e
		}
	}
	least.running++
	return least.endpoint.Addr, func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		least.running--
	}
}

// A fixedConfiguration is a configuration that never changes.
type fixedConfiguration struct {
	snapshot *persimmoncart.Snapshot
}

// Snapshot implements persimmoncart.Configuration.
func (f fixedConfiguration) Snapshot() *persimmoncart.Snapshot { return f.snapshot }

// Subscribe implements persimmoncart.Configuration. It never calls its argument.
func (fixedConfiguration) Subscribe(func(*persimmoncart.Snapshot)) (stop func()) { return func() {} }

// newFixedConfiguration returns a configuration with one pool, one route and one
// account.
func newFixedConfiguration(p *fakes.Platform, d fakes.Deployment) fixedConfiguration {
	account := &persimmoncart.Account{Class: persimmoncart.ClassInteractive, Name: "bench", Weight: 1}
	s := &persimmoncart.Snapshot{
		Accounts:  map[persimmoncart.AccountID]*persimmoncart.Account{account.Name: account},
		Endpoints: make(map[persimmoncart.EndpointID]*persimmoncart.Endpoint),
		Keys:      map[persimmoncart.KeyHash]*persimmoncart.Account{sha256.Sum256([]byte(apiKey)): account},
		Pools: map[persimmoncart.PoolName]*persimmoncart.Pool{d.Pool: {
			FirstTokenTarget: 1600 * time.Millisecond, Models: []persimmoncart.ModelName{d.Model}, Name: d.Pool, TokenGapTarget: 60 * time.Millisecond,
		}},
		Routes: map[persimmoncart.RouteName]*persimmoncart.Route{"draft": {
			Class: persimmoncart.ClassInteractive, MaxOutputTokens: maxOutputTokens, Models: []persimmoncart.ModelName{d.Model},
			Name: "draft", Pool: d.Pool, Timeout: requestTimeout,
		}},
		Version: 1,
	}
	for _, e := range p.Endpoints {
		s.Endpoints[e.ID] = &e
	}
	return fixedConfiguration{s}
}

// An entryClient sends completions to an entry instance over HTTP.
type entryClient struct {
	client *http.Client
	url    string
}

// startEntry starts an entry instance in front of the engines of a platform. It runs
// in group until ctx is done.
func startEntry(ctx context.Context, group *errgroup.Group, p *fakes.Platform, d fakes.Deployment, clock persimmoncart.Timer) (*entryClient, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	configuration, httpClient := newFixedConfiguration(p, d), transport.NewClient(nil)
	self := persimmoncart.Instance{DataCentre: "sfax-hall1", ID: "bench", Incarnation: 1, Region: "sfax-coast"}
	allocator := &slots.Allocator{Configuration: configuration, Self: self, Timer: clock}
	owner := &entry.SoleOwner{Configuration: configuration, Region: self.Region, UsableReplicas: allocator}
	i := &entry.Instance{
		Allocator:      allocator,
		Applications:   &application.Clients{HTTP: httpClient},
		Balancer:       allocator,
		CallerListener: listener,
		Configuration:  configuration,
		Engines:        &engine.Clients{HTTP: httpClient},
		Logger:         zerolog.New(io.Discard), // the cost of formatting log lines is measured
		Self:           self,
		Services:       []control.Service{{Name: "places", Run: allocator.Run}, {Name: "owner", Run: owner.Run}},
		Timer:          clock,
	}
	group.Go(func() error { return i.Run(ctx) })
	return &entryClient{client: transport.NewClient(nil), url: "http://" + listener.Addr().String() + "/v1/completions"}, nil
}

// complete implements client.
func (v *entryClient) complete(ctx context.Context, _ persimmoncart.RequestID, prompt string, token func()) error {
	body, err := json.Marshal(map[string]any{"model": "hull-llm", "prompt": prompt, "stream": true})
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, v.url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "new request")
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := v.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("unexpected status %d", response.StatusCode)
	}
	return readEvents(response.Body, token)
}

// readEvents calls token for each token of an event stream until its end. It returns
// an error if the stream breaks or contains an error event.
func readEvents(body io.Reader, token func()) error {
	reader := bufio.NewReaderSize(body, readBufferBytes)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return errors.Wrap(err, "read event")
		}
		switch {
		case bytes.HasPrefix(line, []byte("data: [DONE]")):
			return nil
		case bytes.HasPrefix(line, []byte("event: error")):
			return errors.New("stream contains an error event")
		case bytes.HasPrefix(line, []byte("data: ")):
			token()
		}
	}
}
