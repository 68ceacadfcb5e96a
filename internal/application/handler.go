package application

import (
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

const (
	countersPath = "/-/counters"
	faultsPath   = "/-/faults"
	// RecordsPath is the path of a Fake's records, a JSON object by idempotency key.
	RecordsPath = "/-/records"
	// maxRequestBytes bounds the body of a call.
	maxRequestBytes = 8 << 20
)

// A Handler serves an application endpoint over HTTP. Set the fields before
// Handler is called.
//
// It turns the errors of a Fake with faults into the corresponding failures on
// the wire: closed connections, truncated responses and responses of other
// attempts.
type Handler struct {
	Application persimmoncart.Application
	Fake        *Fake // serves records, counters and faults; may be nil
}

// Handler returns the HTTP handler.
func (h *Handler) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(loadPath, h.load)
	if h.Fake != nil {
		r.Get(countersPath, func(w http.ResponseWriter, _ *http.Request) {
			transport.WriteJSON(w, http.StatusOK, h.Fake.Counters())
		})
		r.Get(RecordsPath, func(w http.ResponseWriter, _ *http.Request) {
			transport.WriteJSON(w, http.StatusOK, h.Fake.Records.All())
		})
		r.Put(faultsPath, h.setFaults)
	}
	r.HandleFunc("/*", h.call)
	return r
}

// call serves one call.
func (h *Handler) call(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(AttemptHeader, r.Header.Get(AttemptHeader))
	request, err := readCall(r)
	if err != nil {
		writeRefusal(w, &persimmoncart.EndpointRefusedError{Reason: err.Error()})
		return
	}
	response, err := h.Application.Call(r.Context(), request)
	var (
		header      *HeaderError
		mismatch    *persimmoncart.AttemptMismatchError
		refused     *persimmoncart.EndpointRefusedError
		unavailable *persimmoncart.UnavailableError
	)
	switch {
	case err == nil:
		for k, v := range response.Header {
			w.Header()[k] = v
		}
		w.WriteHeader(response.Status)
		// A failed write means that the client is gone.
		_, _ = w.Write(response.Body)
	case errors.As(err, &header):
		w.Header().Set(AttemptHeader, header.Value)
	case errors.As(err, &mismatch):
		w.Header().Set(AttemptHeader, mismatch.Got.String())
	case errors.As(err, &refused):
		writeRefusal(w, refused)
	case errors.As(err, &unavailable):
		writeRefusal(w, &persimmoncart.EndpointRefusedError{Reason: err.Error(), RetryAfter: unavailable.RetryAfter})
	case isTruncated(err):
		w.Header().Set("Content-Length", strconv.Itoa(maxRequestBytes))
		_, _ = w.Write([]byte("{"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		panic(http.ErrAbortHandler)
	}
}

// setFaults replaces the faults of the Fake.
func (h *Handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := transport.ReadJSON(r.Body, transport.MaxProblemBytes, &faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.Fake.Change(func(f *Faults) { *f = faults })
	transport.WriteJSON(w, http.StatusOK, faults)
}

// load serves the endpoint's load report.
func (h *Handler) load(w http.ResponseWriter, r *http.Request) {
	l, err := h.Application.Load(r.Context())
	if err != nil {
		transport.WriteProblem(w, &transport.Problem{Code: "unavailable", Message: err.Error(), Status: http.StatusServiceUnavailable})
		return
	}
	transport.WriteJSON(w, http.StatusOK, transport.NewLoadReport(l))
}

// readCall decodes the call in a request. It returns a *HeaderError if the
// attempt is missing or invalid.
func readCall(r *http.Request) (persimmoncart.CallRequest, error) {
	attempt, err := persimmoncart.ParseAttemptID(r.Header.Get(AttemptHeader))
	if err != nil {
		return persimmoncart.CallRequest{}, &HeaderError{Value: r.Header.Get(AttemptHeader)}
	}
	var fence uint64
	if s := r.Header.Get(FenceHeader); s != "" {
		if fence, err = strconv.ParseUint(s, 10, 64); err != nil {
			return persimmoncart.CallRequest{}, err
		}
	}
	body, err := transport.ReadAll(r.Body, maxRequestBytes)
	if err != nil {
		return persimmoncart.CallRequest{}, err
	}
	header := r.Header.Clone()
	stripHeaders(header)
	return persimmoncart.CallRequest{
		Attempt: attempt,
		Body:    body,
		Fence:   fence,
		Header:  header,
		Key:     r.Header.Get(KeyHeader),
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
	}, nil
}

// writeRefusal writes the response to a call that was refused before it ran.
func writeRefusal(w http.ResponseWriter, e *persimmoncart.EndpointRefusedError) {
	w.Header().Set(OutcomeHeader, persimmoncart.OutcomeNotRun.String())
	w.Header().Set(ReasonHeader, e.Reason)
	if e.RetryAfter > 0 {
		w.Header().Set(RetryAfterHeader, e.RetryAfter.String())
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
