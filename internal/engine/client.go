// Package engine implements the protocol of model engines.
//
// Client calls one engine over HTTP and streams its tokens, Fake is an in-memory
// engine, Handler serves an engine over HTTP, and Logging logs the calls to one.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

var (
	_ persimmoncart.Engine  = (*Client)(nil)
	_ persimmoncart.Engines = (*Clients)(nil)
	_ Exporter              = (*Clients)(nil)
)

// maxResponseBytes is the largest accepted response; the work list is the largest
// one that engines send.
const maxResponseBytes = 4 << 20

// A Clients creates HTTP clients for engines. Set the fields before the first call.
type Clients struct {
	HTTP   *http.Client // from transport.NewClient
	Secure bool         // use HTTPS
}

// Engine implements persimmoncart.Engines.
func (c *Clients) Engine(addr netip.AddrPort) persimmoncart.Engine {
	return &Client{Addr: addr, HTTP: c.HTTP, Secure: c.Secure}
}

// Export implements Exporter.
func (c *Clients) Export(ctx context.Context, from netip.AddrPort, handle string) (KV, error) {
	var kv KV
	client := &Client{Addr: from, HTTP: c.HTTP, Secure: c.Secure}
	if err := client.call(ctx, call{operation: "export", method: http.MethodGet, path: kvPath + "?handle=" + url.QueryEscape(handle), handle: handle}, &kv); err != nil {
		return KV{}, err
	}
	return kv, nil
}

// A Client is an Engine over HTTP. Set the fields before the first call.
type Client struct {
	Addr   netip.AddrPort
	HTTP   *http.Client // from transport.NewClient
	Secure bool         // use HTTPS
}

// CacheEvents implements persimmoncart.Engine. The stream ends when ctx is done.
func (c *Client) CacheEvents(ctx context.Context, from uint64) (persimmoncart.CacheEventStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	body, err := c.open(ctx, call{operation: "cache events", method: http.MethodGet, path: cachePath + "?from=" + strconv.FormatUint(from, 10)})
	if err != nil {
		cancel()
		return nil, err
	}
	return &clientCacheEventStream{lineReader: newLineReader(body, cancel)}, nil
}

// Cancel implements persimmoncart.Engine.
func (c *Client) Cancel(ctx context.Context, attempt persimmoncart.AttemptID) error {
	return c.call(ctx, call{operation: "cancel", path: cancelPath, attempt: attempt, body: wireAttempt{Attempt: attempt}}, nil)
}

// Decode implements persimmoncart.Engine. When ctx is done, the generation is
// cancelled.
func (c *Client) Decode(ctx context.Context, request persimmoncart.DecodeRequest) (persimmoncart.TokenStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	body, err := c.open(ctx, call{operation: "decode", path: decodePath, attempt: request.Attempt, body: wireDecode{
		Attempt:         request.Attempt,
		Class:           request.Class,
		Deadline:        request.Deadline,
		MaxOutputTokens: request.MaxOutputTokens,
		Start:           request.Start,
		Tag:             wireTag(request.Tag),
	}})
	if err != nil {
		cancel()
		return nil, err
	}
	return &clientTokenStream{
		lineReader: newLineReader(body, cancel),
		parser:     newTokenParser(request.Attempt, request.Start),
	}, nil
}

// Import implements persimmoncart.Engine.
func (c *Client) Import(ctx context.Context, request persimmoncart.ImportRequest) error {
	return c.call(ctx, call{operation: "import", path: importPath, attempt: request.Attempt, handle: request.Handle, body: wireImport{
		Attempt:  request.Attempt,
		Blocks:   request.Blocks,
		Deadline: request.Deadline,
		From:     request.From,
		Handle:   request.Handle,
		Size:     request.Size,
		Tag:      wireTag(request.Tag),
	}}, nil)
}

// ListWork implements persimmoncart.Engine.
func (c *Client) ListWork(ctx context.Context) ([]persimmoncart.WorkItem, error) {
	var l wireWorkList
	if err := c.call(ctx, call{operation: "work", method: http.MethodGet, path: workPath}, &l); err != nil {
		return nil, err
	}
	list := make([]persimmoncart.WorkItem, 0, len(l.Work))
	for _, w := range l.Work {
		list = append(list, persimmoncart.WorkItem{Attempt: w.Attempt, Blocks: w.Blocks, Deadline: w.Deadline, Tag: persimmoncart.Tag(w.Tag)})
	}
	return list, nil
}

// Load implements persimmoncart.Engine.
func (c *Client) Load(ctx context.Context) (persimmoncart.LoadReport, error) {
	var l transport.LoadReport
	if err := c.call(ctx, call{operation: "load", method: http.MethodGet, path: loadPath}, &l); err != nil {
		return persimmoncart.LoadReport{}, err
	}
	return l.Report(), nil
}

// Order implements persimmoncart.Engine.
func (c *Client) Order(ctx context.Context, order persimmoncart.Order) error {
	return c.call(ctx, call{operation: "order", path: orderPath, body: wireOrder(order)}, nil)
}

// Prefill implements persimmoncart.Engine. It returns a
// *persimmoncart.AttemptMismatchError if the response belongs to another attempt,
// and a *transport.ProtocolError if the result is out of range.
func (c *Client) Prefill(ctx context.Context, request persimmoncart.PrefillRequest) (persimmoncart.PrefillResult, error) {
	var p wirePrefillResult
	if err := c.call(ctx, call{operation: "prefill", path: prefillPath, attempt: request.Attempt, body: wirePrefill{
		Attempt:   request.Attempt,
		Class:     request.Class,
		Deadline:  request.Deadline,
		Generated: request.Generated,
		Model:     request.Model,
		Prompt:    request.Prompt,
		Tag:       wireTag(request.Tag),
	}}, &p); err != nil {
		return persimmoncart.PrefillResult{}, err
	}
	if p.Attempt != request.Attempt {
		return persimmoncart.PrefillResult{}, &persimmoncart.AttemptMismatchError{Got: p.Attempt, Want: request.Attempt}
	}
	if p.Handle == "" || p.Size < 0 || p.Tokens < 0 || p.CachedTokens < 0 || p.CachedTokens > p.Tokens {
		return persimmoncart.PrefillResult{}, &transport.ProtocolError{Reason: "prefill result out of range", Sample: p.Handle}
	}
	return persimmoncart.PrefillResult(p), nil
}

// Release implements persimmoncart.Engine.
func (c *Client) Release(ctx context.Context, attempt persimmoncart.AttemptID) error {
	return c.call(ctx, call{operation: "release", path: releasePath, attempt: attempt, body: wireAttempt{Attempt: attempt}}, nil)
}

// A call describes one request to an engine.
type call struct {
	attempt   persimmoncart.AttemptID
	body      any
	handle    string
	method    string // POST if empty
	operation string
	path      string
}

// call sends one request and decodes the JSON response into response unless it is
// nil.
func (c *Client) call(ctx context.Context, request call, response any) error {
	body, err := c.open(ctx, request)
	if err != nil {
		return err
	}
	defer closeBody(body)
	if response == nil {
		return nil
	}
	if err := transport.ReadJSON(body, maxResponseBytes, response); err != nil {
		return errors.Wrapf(err, "%s: engine %s", request.operation, c.Addr)
	}
	return nil
}

// open sends one request and returns the body of a successful response. It returns
// a *persimmoncart.UnavailableError if the request was never sent.
func (c *Client) open(ctx context.Context, request call) (io.ReadCloser, error) {
	ctx, tracker := transport.TrackSend(ctx)
	var body io.Reader
	if request.body != nil {
		b, err := json.Marshal(request.body)
		if err != nil {
			return nil, &persimmoncart.UnavailableError{Err: err, Operation: request.operation}
		}
		body = bytes.NewReader(b)
	}
	method := request.method
	if method == "" {
		method = http.MethodPost
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, transport.URL(c.Addr, c.Secure)+request.path, body)
	if err != nil {
		return nil, &persimmoncart.UnavailableError{Err: err, Operation: request.operation}
	}
	r, err := c.HTTP.Do(httpRequest) //nolint:bodyclose // the caller closes the body
	if err != nil {
		if tracker.Sent() {
			return nil, errors.Wrapf(err, "%s: engine %s", request.operation, c.Addr)
		}
		return nil, &persimmoncart.UnavailableError{Err: err, Operation: request.operation}
	}
	if r.StatusCode == http.StatusOK {
		return r.Body, nil
	}
	defer closeBody(r.Body)
	p, err := transport.ReadProblem(r)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: engine %s", request.operation, c.Addr)
	}
	return nil, c.problemError(request, p)
}

// problemError converts an error response to the error of the call.
func (c *Client) problemError(request call, p *transport.Problem) error {
	switch p.Code {
	case codeKVMissing:
		return &persimmoncart.KVMissingError{Attempt: request.attempt, Handle: request.handle}
	case codeRefused:
		return &persimmoncart.EndpointRefusedError{Addr: c.Addr, Reason: p.Message, RetryAfter: time.Duration(p.RetryAfter)}
	case codeUnavailable:
		return &persimmoncart.UnavailableError{Err: p, Operation: request.operation, RetryAfter: time.Duration(p.RetryAfter)}
	default:
		return errors.Wrapf(p, "%s: engine %s", request.operation, c.Addr)
	}
}

// closeBody reads the rest of a short body, so that the connection can be reused,
// and closes it.
func closeBody(b io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, b, transport.MaxProblemBytes)
	_ = b.Close()
}
