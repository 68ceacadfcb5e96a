// Package instancelist speaks to the platform's list of instances and endpoints.
//
// Client calls it over HTTP, Fake is a list in memory that lags, Handler serves
// one over HTTP.
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
	// maxResponseBytes leaves about 2 kB for each of 11,400 entries.
	maxResponseBytes = 32 << 20
)

// A Client is an InstanceList over HTTP. Set the fields before the first call.
type Client struct {
	Addr   netip.AddrPort
	HTTP   *http.Client // from transport.NewClient
	Secure bool         // HTTPS
}

// List implements persimmoncart.InstanceList. All errors are *UnavailableError:
// the call has no effect.
func (c *Client) List(ctx context.Context) ([]persimmoncart.ListEntry, error) {
	var answer wireList
	if err := transport.Get(ctx, c.HTTP, transport.URL(c.Addr, c.Secure)+listPath, maxResponseBytes, &answer); err != nil {
		return nil, &persimmoncart.UnavailableError{Err: err, Operation: "list instances"}
	}
	return answer.entries(), nil
}
