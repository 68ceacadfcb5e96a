package instancelist

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// setPath is the path at which the list of a Fake is replaced.
const setPath = "/-/list"

// A Handler serves an instance list over HTTP. Set the fields before Handler is called.
type Handler struct {
	Fake *Fake // serves the path that replaces its list; may be nil
	List persimmoncart.InstanceList
}

// Handler returns the HTTP handler.
func (h *Handler) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(listPath, h.list)
	if h.Fake != nil {
		r.Put(setPath, h.set)
	}
	return r
}

// list serves List.
func (h *Handler) list(w http.ResponseWriter, r *http.Request) {
	list, err := h.List.List(r.Context())
	if err != nil {
		transport.WriteProblem(w, &transport.Problem{
			Code: "unavailable", Message: err.Error(), Status: http.StatusServiceUnavailable,
		})
		return
	}
	response := wireList{Endpoints: []wireEndpoint{}, Instances: []wireInstance{}}
	for _, l := range list {
		if l.Endpoint != nil {
			response.Endpoints = append(response.Endpoints, newWireEndpoint(l.Endpoint))
		} else if l.Instance != nil {
			response.Instances = append(response.Instances, newWireInstance(l.Instance))
		}
	}
	transport.WriteJSON(w, http.StatusOK, response)
}

// set replaces the list of Fake.
func (h *Handler) set(w http.ResponseWriter, r *http.Request) {
	var l wireList
	if err := transport.ReadJSON(r.Body, maxResponseBytes, &l); err != nil {
		transport.WriteProblem(w, &transport.Problem{Code: "invalid", Message: err.Error(), Status: http.StatusBadRequest})
		return
	}
	h.Fake.Change(func([]persimmoncart.ListEntry) []persimmoncart.ListEntry { return l.entries() })
	transport.WriteJSON(w, http.StatusOK, l)
}
