package instancelist

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// setPath replaces the list of a Fake.
const setPath = "/-/list"

// A Handler serves an instance list over HTTP. Set the fields before Handler is called.
type Handler struct {
	Fake *Fake // its list can be replaced over HTTP; may be nil
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
	answer := wireList{Endpoints: []wireEndpoint{}, Instances: []wireInstance{}}
	for _, l := range list {
		if l.Endpoint != nil {
			answer.Endpoints = append(answer.Endpoints, newWireEndpoint(l.Endpoint))
		} else if l.Instance != nil {
			answer.Instances = append(answer.Instances, newWireInstance(l.Instance))
		}
	}
	transport.WriteJSON(w, http.StatusOK, answer)
}

// set replaces the list.
func (h *Handler) set(w http.ResponseWriter, r *http.Request) {
	var l wireList
	if err := transport.ReadJSON(r.Body, maxResponseBytes, &l); err != nil {
		transport.WriteProblem(w, &transport.Problem{Code: "invalid", Message: err.Error(), Status: http.StatusBadRequest})
		return
	}
	h.Fake.Change(func([]persimmoncart.ListEntry) []persimmoncart.ListEntry { return l.entries() })
	transport.WriteJSON(w, http.StatusOK, l)
}
