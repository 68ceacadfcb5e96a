// Package application speaks to application endpoints.
//
// Client calls one endpoint over HTTP, Fake is an endpoint in memory that counts
// how often each call ran, Handler serves an endpoint over HTTP, and Logging
// wraps one.
package application

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

var (
	_ persimmoncart.Application  = (*Client)(nil)
	_ persimmoncart.Applications = (*Clients)(nil)
)

// Headers of calls and answers.
const (
	AttemptHeader    = "Persimmon-Attempt" // in both; the answer repeats the call's
	FenceHeader      = "Persimmon-Fence"   // fencing token of the claim
	KeyHeader        = "Idempotency-Key"
	OutcomeHeader    = "Persimmon-Outcome" // "not_run" in a refusal before acting
	ReasonHeader     = "Persimmon-Reason"  // of a refusal
	RetryAfterHeader = "Persimmon-Retry"   // of a refusal: a duration such as "1.5s"
)

const (
	loadPath = "/-/load"
	// maxResponseBytes bounds the answer of an endpoint.
	maxResponseBytes = 8 << 20
)

// hopByHopHeaders belong to one connection and are not passed on, in either direction.
var hopByHopHeaders = []string{
	"Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// clientHeaders are set by Client and not passed on from its caller or to it.
//
// X-Idempotency-Key is among them because net/http repeats a call that has it.
var clientHeaders = []string{
	AttemptHeader, FenceHeader, KeyHeader, OutcomeHeader, ReasonHeader, RetryAfterHeader, "X-Idempotency-Key",
}

// A Clients connects to application endpoints over HTTP. Set the fields before
// the first call.
type Clients struct {
	HTTP   *http.Client // from transport.NewClient
	Secure bool         // HTTPS
}

// Application implements persimmoncart.Applications.
func (c *Clients) Application(addr netip.AddrPort) persimmoncart.Application {
	return &Client{Addr: addr, HTTP: c.HTTP, Secure: c.Secure}
}

// A Client is an Application over HTTP. Set the fields before the first call.
type Client struct {
	Addr   netip.AddrPort
	HTTP   *http.Client // from transport.NewClient
	Secure bool         // HTTPS
}

// Call implements persimmoncart.Application. An answer without an attempt gives
// a *HeaderError, a truncated one io.ErrUnexpectedEOF; both leave open whether
// the call ran.
func (c *Client) Call(ctx context.Context, request persimmoncart.CallRequest) (*persimmoncart.CallResponse, error) {
	r, err := c.send(ctx, request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Body.Close() }()
	attempt, err := persimmoncart.ParseAttemptID(r.Header.Get(AttemptHeader))
	if err != nil {
		return nil, &HeaderError{Value: r.Header.Get(AttemptHeader)}
	}
	if attempt != request.Attempt {
		return nil, &persimmoncart.AttemptMismatchError{Got: attempt, Want: request.Attempt}
	}
	if r.Header.Get(OutcomeHeader) == persimmoncart.OutcomeNotRun.String() {
		// A malformed time only means that the endpoint named no usable one.
		retry, _ := time.ParseDuration(r.Header.Get(RetryAfterHeader))
		return nil, &persimmoncart.EndpointRefusedError{Addr: c.Addr, Reason: r.Header.Get(ReasonHeader), RetryAfter: max(retry, 0)}
	}
	body, err := transport.ReadAll(r.Body, maxResponseBytes)
	if err != nil {
		return nil, c.wrapError(ctx, err)
	}
	header := r.Header.Clone()
	stripHeaders(header)
	return &persimmoncart.CallResponse{Attempt: attempt, Body: body, Header: header, Status: r.StatusCode}, nil
}

// Load implements persimmoncart.Application.
func (c *Client) Load(ctx context.Context) (persimmoncart.LoadReport, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, transport.URL(c.Addr, c.Secure)+loadPath, nil)
	if err != nil {
		return persimmoncart.LoadReport{}, &persimmoncart.UnavailableError{Err: err, Operation: "load"}
	}
	r, err := c.HTTP.Do(q)
	if err != nil {
		return persimmoncart.LoadReport{}, &persimmoncart.UnavailableError{Err: err, Operation: "load"}
	}
	defer func() { _ = r.Body.Close() }()
	var l transport.LoadReport
	if r.StatusCode != http.StatusOK {
		return persimmoncart.LoadReport{}, &persimmoncart.UnavailableError{Err: &StatusError{Status: r.StatusCode}, Operation: "load"}
	}
	if err := transport.ReadJSON(r.Body, transport.MaxProblemBytes, &l); err != nil {
		return persimmoncart.LoadReport{}, &persimmoncart.UnavailableError{Err: err, Operation: "load"}
	}
	return l.Report(), nil
}

// send sends one call and returns the answer with an open body.
func (c *Client) send(ctx context.Context, request persimmoncart.CallRequest) (*http.Response, error) {
	ctx, tracker := transport.TrackSend(ctx)
	path := "/" + strings.TrimPrefix(request.Path, "/")
	if _, err := url.ParseRequestURI(path); err != nil {
		return nil, &persimmoncart.UnavailableError{Err: err, Operation: "call"}
	}
	q, err := http.NewRequestWithContext(ctx, request.Method, transport.URL(c.Addr, c.Secure)+path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, &persimmoncart.UnavailableError{Err: err, Operation: "call"}
	}
	if request.Header != nil {
		q.Header = request.Header.Clone()
	}
	stripHeaders(q.Header)
	q.Header.Set(AttemptHeader, request.Attempt.String())
	if request.Key != "" {
		// The canonical form would let net/http repeat the call by itself on a
		// broken connection, which only a claim may decide.
		q.Header["idempotency-key"] = []string{request.Key}
	}
	if request.Fence != 0 {
		q.Header.Set(FenceHeader, strconv.FormatUint(request.Fence, 10))
	}
	if !isLookup(request.Method) {
		// Without GetBody, net/http cannot send the body a second time.
		q.GetBody = nil
	}
	r, err := c.HTTP.Do(q)
	if err == nil {
		return r, nil
	}
	if !tracker.Sent() {
		return nil, &persimmoncart.UnavailableError{Err: err, Operation: "call"}
	}
	return nil, c.wrapError(ctx, err)
}

// wrapError adds the endpoint to an error that leaves open whether the call ran.
func (c *Client) wrapError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return errors.Wrapf(err, "call: application %s", c.Addr)
}

// stripHeaders removes the headers that are not passed on.
func stripHeaders(h http.Header) {
	for _, k := range h.Values("Connection") {
		for n := range strings.SplitSeq(k, ",") {
			h.Del(strings.TrimSpace(n))
		}
	}
	for _, k := range slices.Concat(hopByHopHeaders, clientHeaders) {
		h.Del(k)
	}
}

// A HeaderError reports an answer without a valid attempt.
type HeaderError struct {
	Value string
}

// Error implements error.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("answer without a valid %s: %q", AttemptHeader, e.Value)
}

// A StatusError reports an unexpected status.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return "unexpected status " + strconv.Itoa(e.Status)
}

// isTruncated reports whether err stands for a cut answer.
func isTruncated(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF)
}
