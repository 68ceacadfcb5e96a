package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-faster/errors"
)

// maxReplyBytes is the maximum size of a reply. The largest reply is the list of all
// objects.
const maxReplyBytes = 64 << 20

var _ Service = (*Client)(nil)

// Client calls the administration API of an instance.
type Client struct {
	BaseURL string // URL of the instance's administration listener
	HTTP    *http.Client
	Token   string
}

// Apply implements Service. The server determines the author from the token.
func (c *Client) Apply(ctx context.Context, request ApplyRequest) (ApplyReply, error) {
	return send[ApplyReply](ctx, c, http.MethodPost, "/apply", request)
}

// Diff implements Service.
func (c *Client) Diff(ctx context.Context, request ApplyRequest) (DiffReply, error) {
	return send[DiffReply](ctx, c, http.MethodPost, "/diff", request)
}

// History implements Service.
func (c *Client) History(ctx context.Context, from uint64, count int) (HistoryReply, error) {
	q := url.Values{"count": {strconv.Itoa(count)}, "from": {strconv.FormatUint(from, 10)}}
	return send[HistoryReply](ctx, c, http.MethodGet, "/history?"+q.Encode(), nil)
}

// Objects implements Service.
func (c *Client) Objects(ctx context.Context, kind, name string) (ObjectsReply, error) {
	path := "/objects"
	for _, segment := range []string{kind, name} {
		if segment != "" {
			path += "/" + url.PathEscape(segment)
		}
	}
	return send[ObjectsReply](ctx, c, http.MethodGet, path, nil)
}

// Outcome implements Service.
func (c *Client) Outcome(ctx context.Context, account, route, key string) (OutcomeReply, error) {
	q := url.Values{"account": {account}, "key": {key}, "route": {route}}
	return send[OutcomeReply](ctx, c, http.MethodGet, "/outcomes?"+q.Encode(), nil)
}

// Plan implements Service.
func (c *Client) Plan(ctx context.Context) (PlanReply, error) {
	return send[PlanReply](ctx, c, http.MethodGet, "/plan", nil)
}

// Rollback implements Service. The server determines the author from the token.
func (c *Client) Rollback(ctx context.Context, request RollbackRequest) (ApplyReply, error) {
	return send[ApplyReply](ctx, c, http.MethodPost, "/rollback", request)
}

// Status implements Service.
func (c *Client) Status(ctx context.Context) (StatusReply, error) {
	return send[StatusReply](ctx, c, http.MethodGet, "/status", nil)
}

// send makes one call with the body, if it is not nil, as JSON. It returns an *Error
// if the server refuses the call, and an *UnreachableError if there is no response.
func send[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var out T
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return out, errors.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.BaseURL+pathPrefix+path, reader)
	if err != nil {
		return out, errors.Wrap(err, "make request")
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	reply, err := c.HTTP.Do(r)
	if err != nil {
		return out, &UnreachableError{BaseURL: c.BaseURL, Err: err}
	}
	defer func() { _ = reply.Body.Close() }() // the whole reply has been read
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxReplyBytes))
	if err != nil {
		return out, &UnreachableError{BaseURL: c.BaseURL, Err: err}
	}
	if reply.StatusCode != http.StatusOK {
		var e errorBody
		if err := json.Unmarshal(data, &e); err != nil || e.Error == nil {
			return out, &Error{Code: CodeInternal, Message: "status " + reply.Status}
		}
		return out, e.Error
	}
	if err := json.Unmarshal(data, &out); err != nil {
		return out, errors.Wrap(err, "decode reply")
	}
	return out, nil
}

// UnreachableError reports that an instance did not respond. The requested change
// may have been applied. Retrying it with the same ID is safe: it is never applied
// twice.
type UnreachableError struct {
	BaseURL string
	Err     error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return "no answer from " + e.BaseURL + ": " + e.Err.Error()
}

// Unwrap returns the error of the HTTP client.
func (e *UnreachableError) Unwrap() error { return e.Err }
