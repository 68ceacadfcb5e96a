// Package weightstore implements the protocol of the platform's store of model
// weights.
//
// Client calls it over HTTP, Fake is an in-memory weight store, and Handler serves
// a weight store over HTTP.
package weightstore

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

var _ persimmoncart.WeightStore = (*Client)(nil)

const (
	codeUnavailable  = "unavailable"
	maxResponseBytes = 4 << 20
	modelsPath       = "/v1/models"
)

// A wireModels is the response to a Models request.
type wireModels struct {
	Models map[persimmoncart.ModelName]wireWeights `json:"models"`
}

// A wireWeights describes the weights of one model.
type wireWeights struct {
	Fetch transport.Duration `json:"fetch"` // time of a fetch
	Size  int64              `json:"size"`  // bytes
}

// A Client is a WeightStore over HTTP. Set the fields before the first call.
type Client struct {
	Addr   netip.AddrPort
	HTTP   *http.Client // from transport.NewClient
	Secure bool         // use HTTPS
}

// Models implements persimmoncart.WeightStore. The call has no effect, so all errors
// are *persimmoncart.UnavailableError.
func (c *Client) Models(ctx context.Context) (map[persimmoncart.ModelName]persimmoncart.Weights, error) {
	unavailable := func(err error) error {
		u := &persimmoncart.UnavailableError{Err: err, Operation: "models"}
		if p := (*transport.Problem)(nil); errors.As(err, &p) {
			u.RetryAfter = time.Duration(p.RetryAfter)
		}
		return u
	}
	var response wireModels
	if err := transport.Get(ctx, c.HTTP, transport.URL(c.Addr, c.Secure)+modelsPath, maxResponseBytes, &response); err != nil {
		return nil, unavailable(err)
	}
	models := make(map[persimmoncart.ModelName]persimmoncart.Weights, len(response.Models))
	for n, w := range response.Models {
		if w.Size < 0 || w.Fetch < 0 {
			return nil, unavailable(&transport.ProtocolError{Reason: "negative weights", Sample: string(n)})
		}
		models[n] = persimmoncart.Weights{FetchTime: time.Duration(w.Fetch), Size: w.Size}
	}
	return models, nil
}
