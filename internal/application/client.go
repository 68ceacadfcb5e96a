// Package application provides clients, fakes and handlers of application
// endpoints.
//
// Client calls one endpoint over HTTP. Fake is an in-memory endpoint that
// counts how often each call ran. Handler serves an endpoint over HTTP, and
// Logging logs the calls to one.
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

// Headers of calls and responses.
const (
	AttemptHeader    = "Persimmon-Attempt" // attempt of a call, which the response repeats
	FenceHeader      = "Persimmon-Fence"   // fencing token of the claim
	KeyHeader        = "Idempotency-Key"
	OutcomeHeader    = "Persimmon-Outcome" // "not_run" if the endpoint refused the call before running it
	ReasonHeader     = "Persimmon-Reason"  // reason of a refusal
	RetryAfterHeader = "Persimmon-Retry"   // time until a retry after a refusal, such as "1.5s"
)

const (
	loadPath = "/-/load"
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 8 << 20
)

// hopByHopHeaders apply to a single connection and are removed from calls and
// responses.
var hopByHopHeaders = []string{
	"Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// clientHeaders are set by Client and are removed from the headers that it is
// given and that it returns.
//
// X-Idempotency-Key is among them because net/http retries requests that have it.
var clientHeaders = []string{
	AttemptHeader, FenceHeader, KeyHeader, OutcomeHeader, ReasonHeader, RetryAfterHeader, "X-Idempotency-Key",
}

// A Clients returns clients of application endpoints. Set the fields before the
// first call.
type Clients struct {
	HTTP   *http.Client // from transport.NewClient
	Secure bool         // use HTTPS
}

// Application implements persimmoncart.Applications.
func (c *Clients) Application(addr netip.AddrPort) persimmoncart.Application {
	return &Client{Addr: addr, HTTP: c.HTTP, Secure: c.Secure}
}

// A Client is an Application that calls an endpoint over HTTP. Set the fields
// before the first call.
type Client struct {
	Addr   netip.AddrPort
	HTTP   *http.Client // from transport.NewClient
	Secure bool         // use HTTPS
}

// Call implements persimmoncart.Application. It returns a *HeaderError for a
// response without a valid attempt and io.ErrUnexpectedEOF for a truncated one.
// After either it is unknown whether the call ran.
func (c *Client) Call(ctx context.Context, request persimmoncart.CallRequest) (*persimmoncart.CallResponse, error) {
	response, err := c.send(ctx, request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	attempt, err := persimmoncart.ParseAttemptID(response.Header.Get(AttemptHeader))
	if err != nil {
		return nil, &HeaderError{Value: response.Header.Get(AttemptHeader)}
	}
	if attempt != request.Attempt {
		return nil, &persimmoncart.AttemptMismatchError{Got: attempt, Want: request.Attempt}
	}
	if response.Header.Get(OutcomeHeader) == persimmoncart.OutcomeNotRun.String() {
		// A malformed duration counts as none.
		retryAfter, _ := time.ParseDuration(response.Header.Get(RetryAfterHeader))
		return nil, &persimmoncart.EndpointRefusedError{Addr: c.Addr, Reason: response.Header.Get(ReasonHeader), RetryAfter: max(retryAfter, 0)}
	}
	body, err := transport.ReadAll(response.Body, maxResponseBytes)
	if err != nil {
		return nil, c.wrapError(ctx, err)
	}
	header := response.Header.Clone()
	stripHeaders(header)
	return &persimmoncart.CallResponse{Attempt: attempt, Body: body, Header: header, Status: response.StatusCode}, nil
}

// Load implements persimmoncart.Application.
func (c *Client) Load(ctx context.Context) (persimmoncart.LoadReport, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, transport.URL(c.Addr, c.Secure)+loadPath, nil)
	if err != nil {
		return persimmoncart.LoadReport{}, &persimmoncart.UnavailableError{Err: err, Operation: "load"}
	}
	response, err := c.HTTP.Do(httpRequest)
	if err != nil {
		return persimmoncart.LoadReport{}, &persimmoncart.UnavailableError{Err: err, Operation: "load"}
	}
	defer func() { _ = response.Body.Close() }()
	var report transport.LoadReport
	if response.StatusCode != http.StatusOK {
		return persimmoncart.LoadReport{}, &persimmoncart.UnavailableError{Err: &StatusError{Status: response.StatusCode}, Operation: "load"}
	}
	if err := transport.ReadJSON(response.Body, transport.MaxProblemBytes, &report); err != nil {
		return persimmoncart.LoadReport{}, &persimmoncart.UnavailableError{Err: err, Operation: "load"}
	}
	return report.Report(), nil
}

// send sends one call and returns the response, whose body the caller has to
// close. It returns an *UnavailableError if nothing was sent.
func (c *Client) send(ctx context.Context, request persimmoncart.CallRequest) (*http.Response, error) {
	ctx, tracker := transport.TrackSend(ctx)
	path := "/" + strings.TrimPrefix(request.Path, "/")
	if _, err := url.ParseRequestURI(path); err != nil {
		return nil, &persimmoncart.UnavailableError{Err: err, Operation: "call"}
	}
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, transport.URL(c.Addr, c.Secure)+path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, &persimmoncart.UnavailableError{Err: err, Operation: "call"}
	}
	if request.Header != nil {
		httpRequest.Header = request.Header.Clone()
	}
	stripHeaders(httpRequest.Header)
	httpRequest.Header.Set(AttemptHeader, request.Attempt.String())
	if request.Key != "" {
		// With the canonical form of the header, net/http would retry the call by
		// itself on a broken connection. Retries require a claim.
		httpRequest.Header["idempotency-key"] = []string{request.Key}
	}
	if request.Fence != 0 {
		httpRequest.Header.Set(FenceHeader, strconv.FormatUint(request.Fence, 10))
	}
	if !isLookup(request.Method) {
		// Without GetBody, net/http cannot send the body a second time.
		httpRequest.GetBody = nil
	}
	response, err := c.HTTP.Do(httpRequest)
	if err == nil {
		return response, nil
	}
	if !tracker.Sent() {
		return nil, &persimmoncart.UnavailableError{Err: err, Operation: "call"}
	}
	return nil, c.wrapError(ctx, err)
}

// wrapError adds the endpoint's address to an error after which it is unknown
// whether the call ran. A context error replaces err.
func (c *Client) wrapError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return errors.Wrapf(err, "call: application %s", c.Addr)
}

// stripHeaders removes hop-by-hop headers and those set by Client.
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

// A HeaderError reports a call or response whose AttemptHeader is missing or
// invalid.
type HeaderError struct {
	Value string
}

// Error implements error. A fake sends the text in ReasonHeader.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("answer without a valid %s: %q", AttemptHeader, e.Value)
}

// A StatusError reports a response with an unexpected status.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return "unexpected status " + strconv.Itoa(e.Status)
}

// isTruncated reports whether err means that a response was truncated.
func isTruncated(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF)
}
