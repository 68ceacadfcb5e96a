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
	requestTimeout = 30 * time.Second
	// readBufferBytes is above the longest frame of one token.
	readBufferBytes = 4 << 10
)

// A directClient is a client that drives the engines itself and uses the least loaded
// one of each role.
type directClient struct {
	decode  []*engineLoad
	engines *engine.Clients
	mutex   sync.Mutex
	prefill []*engineLoad
}

// A engineLoad is an engine with the number of requests on it.
type engineLoad struct {
	endpoint persimmoncart.Endpoint
	running  int
}

// newDirectClient returns a direct client of a platform.
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
	prefill, done := d.assign(d.prefill)
	prefilled, err := d.engines.Engine(prefill).Prefill(ctx, persimmoncart.PrefillRequest{
		Attempt: attempt, Class: persimmoncart.ClassInteractive, Deadline: time.Now().Add(requestTimeout), Model: "hull-llm", Prompt: prompt,
	})
	done()
	if err != nil {
		return errors.Wrap(err, "prefill")
	}
	decode, done := d.assign(d.decode)
	defer done()
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

// assign counts a request on the least loaded of the engines.
func (d *directClient) assign(engines []*engineLoad) (addr netip.AddrPort, done func()) {
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

// A fixedConfiguration configuration never changes.
type fixedConfiguration struct {
	snapshot *persimmoncart.Snapshot
}

// Snapshot implements persimmoncart.Configuration.
func (f fixedConfiguration) Snapshot() *persimmoncart.Snapshot { return f.snapshot }

// Subscribe implements persimmoncart.Configuration; f is never called.
func (fixedConfiguration) Subscribe(func(*persimmoncart.Snapshot)) (stop func()) { return func() {} }

// newFixedConfiguration returns the configuration of the bench.
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

// A entryClient is a client of an entry instance.
type entryClient struct {
	client *http.Client
	url    string
}

// startEntry starts an instance before the platform, in group until ctx is done.
func startEntry(ctx context.Context, group *errgroup.Group, p *fakes.Platform, d fakes.Deployment, clock persimmoncart.Timer) (*entryClient, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	configuration, clients := newFixedConfiguration(p, d), transport.NewClient(nil)
	self := persimmoncart.Instance{DataCentre: "sfax-hall1", ID: "bench", Incarnation: 1, Region: "sfax-coast"}
	ledger := &slots.Allocator{Configuration: configuration, Self: self, Timer: clock}
	owner := &entry.SoleOwner{Configuration: configuration, Region: self.Region, UsableReplicas: ledger}
	i := &entry.Instance{
		Allocator:      ledger,
		Applications:   &application.Clients{HTTP: clients},
		Balancer:       ledger,
		CallerListener: listener,
		Configuration:  configuration,
		Engines:        &engine.Clients{HTTP: clients},
		Logger:         zerolog.New(io.Discard), // the cost of writing the lines counts
		Self:           self,
		Services:       []control.Service{{Name: "places", Run: ledger.Run}, {Name: "owner", Run: owner.Run}},
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
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, v.url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "new request")
	}
	q.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := v.client.Do(q)
	if err != nil {
		return errors.Wrap(err, "send")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	return readEvents(response.Body, token)
}

// readEvents calls token for each token until the end of the answer.
func readEvents(body io.Reader, token func()) error {
	reader := bufio.NewReaderSize(body, readBufferBytes)
	for {
		text, err := reader.ReadSlice('\n')
		if err != nil {
			return errors.Wrap(err, "read event")
		}
		switch {
		case bytes.HasPrefix(text, []byte("data: [DONE]")):
			return nil
		case bytes.HasPrefix(text, []byte("event: error")):
			return errors.New("the stream broke")
		case bytes.HasPrefix(text, []byte("data: ")):
			token()
		}
	}
}
