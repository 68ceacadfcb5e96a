// Package instancelist implements the protocol of the platform's list of instances
// and endpoints.
//
// Client calls it over HTTP, Fake is an in-memory list that shows changes with a
// delay, and Handler serves a list over HTTP.
package instancelist

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

var _ persimmoncart.InstanceList = (*Client)(nil)

const (
	listPath = "/v1/instances"
	// maxResponseBytes allows about 2 kB for each of 11,400 entries.
	maxResponseBytes = 32 << 20
)

// A Client is an InstanceList over HTTP. Set the fields before the first call.
type Client struct {
	Addr   netip.AddrPort
	HTTP   *http.Client // from transport.NewClient
	Secure bool         // use HTTPS
}

// List implements persimmoncart.InstanceList. The call has no effect, so all errors
// are *persimmoncart.UnavailableError.
func (c *Client) List(ctx context.Context) ([]persimmoncart.ListEntry, error) {
	var response wireList
	if err := transport.Get(ctx, c.HTTP, transport.URL(c.Addr, c.Secure)+listPath, maxResponseBytes, &response); err != nil {
		return nil, &persimmoncart.UnavailableError{Err: err, Operation: "list instances"}
	}
	return response.entries(), nil
}
