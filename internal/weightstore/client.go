// Package weightstore speaks to the platform's store of model weights.
//
// Client calls it over HTTP, Fake is a weight store in memory, Handler serves
// one over HTTP.
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

// A wireModels is the answer to a call of Models.
type wireModels struct {
	Models map[persimmoncart.ModelName]wireWeights `json:"models"`
}

// A wireWeights describes the weights of one model.
type wireWeights struct {
	Fetch transport.Duration `json:"fetch"`
	Size  int64              `json:"size"` // bytes
}

// A Client is a WeightStore over HTTP. Set the fields before the first call.
type Client struct {
	Addr   netip.AddrPort
	HTTP   *http.Client // from transport.NewClient
	Secure bool         // HTTPS
}

// Models implements persimmoncart.WeightStore. All errors are *UnavailableError:
// the call has no effect.
func (c *Client) Models(ctx context.Context) (map[persimmoncart.ModelName]persimmoncart.Weights, error) {
	unavailable := func(err error) error {
		u := &persimmoncart.UnavailableError{Err: err, Operation: "models"}
		if p := (*transport.Problem)(nil); errors.As(err, &p) {
			u.RetryAfter = time.Duration(p.RetryAfter)
		}
		return u
	}
	var answer wireModels
	if err := transport.Get(ctx, c.HTTP, transport.URL(c.Addr, c.Secure)+modelsPath, maxResponseBytes, &answer); err != nil {
		return nil, unavailable(err)
	}
	models := make(map[persimmoncart.ModelName]persimmoncart.Weights, len(answer.Models))
	for n, w := range answer.Models {
		if w.Size < 0 || w.Fetch < 0 {
			return nil, unavailable(&transport.ProtocolError{Reason: "negative weights", Sample: string(n)})
		}
		models[n] = persimmoncart.Weights{FetchTime: time.Duration(w.Fetch), Size: w.Size}
	}
	return models, nil
}
