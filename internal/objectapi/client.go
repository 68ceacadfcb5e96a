// Package objectapi implements the platform's object API (the store).
//
// Client calls it over HTTP, Memory is an in-memory store, and Handler serves a
// store over HTTP. Faulty, Logging and Metered wrap a store to inject faults, write
// logs and record metrics.
package objectapi

import (
	"bytes"
	"context"
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

var _ persimmoncart.Store = (*Client)(nil)

const (
	// maxListBytes is the largest accepted list response. The largest list is that
	// of the configuration.
	maxListBytes = 256 << 20
	// maxObjectBytes is the largest accepted object: a value in base64 and its key.
	maxObjectBytes = persimmoncart.MaxValueBytes*4/3 + 64<<10
)

// A Client is a Store over HTTP. Set the fields before the first call.
//
// A write returns a *persimmoncart.UnavailableError if its request was never sent
// or the store refused it, and a *persimmoncart.AmbiguousError if it was sent and
// there is no valid response from the store.
type Client struct {
	Addr   netip.AddrPort
	HTTP   *http.Client // from transport.NewClient
	Secure bool         // use HTTPS
	Timer  persimmoncart.Timer
}

// Create implements persimmoncart.Store.
func (c *Client) Create(ctx context.Context, key string, value []byte) (persimmoncart.Version, error) {
	return c.put(ctx, key, value, 0, "If-None-Match", "*")
}

// Delete implements persimmoncart.Store.
func (c *Client) Delete(ctx context.Context, key string, version persimmoncart.Version) error {
	_, err := c.write(ctx, write{etag: formatETag(version), header: "If-Match", key: key, method: http.MethodDelete, version: version})
	return err
}

// Get implements persimmoncart.Store.
func (c *Client) Get(ctx context.Context, key string) (persimmoncart.Object, error) {
	var o wireObject
	if err := c.read(ctx, "get", key, objectPath+url.PathEscape(key), maxObjectBytes, &o); err != nil {
		return persimmoncart.Object{}, err
	}
	if o.Key != key {
		return persimmoncart.Object{}, &persimmoncart.UnavailableError{
			Err:       transport.NewProtocolError("response for another key", []byte(o.Key)),
			Operation: "get",
		}
	}
	return persimmoncart.Object{Key: o.Key, Value: o.Value, Version: o.Version}, nil
}

// List implements persimmoncart.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]persimmoncart.Object, error) {
	var l wireList
	path := listPath + "?prefix=" + url.QueryEscape(prefix)
	if err := c.read(ctx, "list", prefix, path, maxListBytes, &l); err != nil {
		return nil, err
	}
	list := make([]persimmoncart.Object, 0, len(l.Objects))
	for _, o := range l.Objects {
		list = append(list, persimmoncart.Object{Key: o.Key, Value: o.Value, Version: o.Version})
	}
	return list, nil
}

// Update implements persimmoncart.Store.
func (c *Client) Update(ctx context.Context, key string, value []byte, version persimmoncart.Version) (persimmoncart.Version, error) {
	return c.put(ctx, key, value, version, "If-Match", formatETag(version))
}

// Watch implements persimmoncart.Store.
func (c *Client) Watch(ctx context.Context, prefix string, from persimmoncart.Version) (persimmoncart.Watch, error) {
	path := watchPath + "?prefix=" + url.QueryEscape(prefix) + "&from=" + strconv.FormatUint(uint64(from), 10)
	// The watch outlives this call, so ctx applies only until it is open.
	watchCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	r, err := c.send(watchCtx, http.MethodGet, path, nil, nil)
	if err != nil {
		cancel()
		return nil, &persimmoncart.UnavailableError{Err: err, Operation: watchOperation}
	}
	if r.StatusCode != http.StatusOK {
		defer cancel()
		defer closeBody(r)
		return nil, readError(r, watchOperation, prefix, from)
	}
	if !stop() {
		cancel()
		closeBody(r)
		return nil, &persimmoncart.UnavailableError{Err: ctx.Err(), Operation: watchOperation}
	}
	return newClientWatch(r.Body, cancel, c.Timer), nil
}

// put sends one Create or Update.
func (c *Client) put(ctx context.Context, key string, value []byte, version persimmoncart.Version, header, tag string) (persimmoncart.Version, error) {
	if len(value) > persimmoncart.MaxValueBytes {
		return 0, &persimmoncart.TooLargeError{Key: key, Size: len(value)}
	}
	return c.write(ctx, write{etag: tag, header: header, key: key, method: http.MethodPut, value: value, version: version})
}

// read sends one read and decodes the JSON response into response. Reads have no
// effect, so every failure is an *UnavailableError unless the store reports another
// error.
func (c *Client) read(ctx context.Context, operation, key, path string, limit int64, response any) error {
	r, err := c.send(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return &persimmoncart.UnavailableError{Err: err, Operation: operation}
	}
	defer closeBody(r)
	if r.StatusCode != http.StatusOK {
		return readError(r, operation, key, 0)
	}
	if err := transport.ReadJSON(r.Body, limit, response); err != nil {
		return &persimmoncart.UnavailableError{Err: err, Operation: operation}
	}
	return nil
}

// send sends one request.
func (c *Client) send(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, transport.URL(c.Addr, c.Secure)+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for k, v := range header {
		r.Header[k] = v
	}
	return c.HTTP.Do(r)
}

// A write is one Create, Delete or Update.
type write struct {
	etag    string
	header  string // name of the condition header
	key     string
	method  string
	value   []byte
	version persimmoncart.Version
}

// write sends one write. It returns the errors described at Client.
func (c *Client) write(ctx context.Context, w write) (persimmoncart.Version, error) {
	ctx, tracker := transport.TrackSend(ctx)
	header := http.Header{w.header: {w.etag}}
	r, err := c.send(ctx, w.method, objectPath+url.PathEscape(w.key), header, w.value)
	if err != nil {
		if tracker.Sent() {
			return 0, &persimmoncart.AmbiguousError{Err: err, Key: w.key}
		}
		return 0, &persimmoncart.UnavailableError{Err: err, Operation: w.method}
	}
	defer closeBody(r)
	if r.StatusCode != http.StatusOK {
		err := responseError(r, w.method, w.key, w.version)
		if e := (*UnexpectedResponseError)(nil); errors.As(err, &e) {
			return 0, &persimmoncart.AmbiguousError{Err: err, Key: w.key}
		}
		return 0, err
	}
	var v wireVersion
	if err := transport.ReadJSON(r.Body, maxObjectBytes, &v); err != nil {
		return 0, &persimmoncart.AmbiguousError{Err: err, Key: w.key}
	}
	return v.Version, nil
}

// readError returns the error that the response to a read reports. A response that
// is not from the store gives an *UnavailableError.
func readError(r *http.Response, operation, key string, from persimmoncart.Version) error {
	err := responseError(r, operation, key, from)
	if e := (*UnexpectedResponseError)(nil); errors.As(err, &e) {
		return &persimmoncart.UnavailableError{Err: err, Operation: operation}
	}
	return err
}

// responseError returns the error that the response r reports. The result is an
// *UnexpectedResponseError if the response is not from the store, which leaves the
// result of the call unknown.
func responseError(r *http.Response, operation, key string, want persimmoncart.Version) error {
	p, err := transport.ReadProblem(r)
	if err != nil {
		return &UnexpectedResponseError{Err: err}
	}
	switch p.Code {
	case codeConflict:
		return &persimmoncart.ConflictError{Have: persimmoncart.Version(p.Have), Key: key, Want: want}
	case codeHistory:
		return &persimmoncart.UnavailableError{
			Err:       &persimmoncart.HistoryError{From: want, Oldest: persimmoncart.Version(p.Have)},
			Operation: operation,
		}
	case codeInvalid:
		return &persimmoncart.UnavailableError{Err: &RequestError{Reason: p.Message}, Operation: operation}
	case codeNotFound:
		return &persimmoncart.NotFoundError{Key: key}
	case codeTooLarge:
		return &persimmoncart.TooLargeError{Key: key, Size: int(p.Have)}
	case codeUnavailable:
		return &persimmoncart.UnavailableError{Err: p, Operation: operation, RetryAfter: time.Duration(p.RetryAfter)}
	default:
		return &UnexpectedResponseError{Err: p}
	}
}

// An UnexpectedResponseError reports a response that is not from the store.
type UnexpectedResponseError struct {
	Err error
}

// Error implements error.
func (e *UnexpectedResponseError) Error() string {
	return "unexpected response: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnexpectedResponseError) Unwrap() error { return e.Err }

// closeBody reads the rest of a short body, so that the connection can be reused,
// and closes it.
func closeBody(r *http.Response) {
	_, _ = io.CopyN(io.Discard, r.Body, transport.MaxProblemBytes)
	_ = r.Body.Close()
}
