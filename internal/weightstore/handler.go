package weightstore

import (
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// A Handler serves a weight store over HTTP. Set the field before Handler is called.
type Handler struct {
	Store persimmoncart.WeightStore
}

// Handler returns the HTTP handler.
func (h *Handler) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(modelsPath, h.models)
	return r
}

// models serves Models.
func (h *Handler) models(w http.ResponseWriter, r *http.Request) {
	models, err := h.Store.Models(r.Context())
	if err != nil {
		p := &transport.Problem{Code: codeUnavailable, Message: err.Error(), Status: http.StatusServiceUnavailable}
		if e := (*persimmoncart.UnavailableError)(nil); errors.As(err, &e) {
			p.RetryAfter = transport.Duration(e.RetryAfter)
		}
		transport.WriteProblem(w, p)
		return
	}
	response := wireModels{Models: make(map[persimmoncart.ModelName]wireWeights, len(models))}
	for n, m := range models {
		response.Models[n] = wireWeights{Fetch: transport.Duration(m.FetchTime), Size: m.Size}
	}
	transport.WriteJSON(w, http.StatusOK, response)
}
