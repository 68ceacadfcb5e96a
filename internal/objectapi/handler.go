package objectapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// keepAliveInterval is the interval at which Handler writes an empty line to a watch.
const keepAliveInterval = 5 * time.Second

// A Handler serves a Store over HTTP. Set the fields before Handler is called.
//
// It closes the connection of a write that returns an *AmbiguousError, which the
// client sees as a lost response.
type Handler struct {
	Faulty *Faulty // serves the path that sets its faults; may be nil
	Memory *Memory // serves the path that returns its counters; may be nil
	Store  persimmoncart.Store
	Timer  persimmoncart.Timer
}

// Handler returns the HTTP handler.
func (h *Handler) Handler() http.Handler {
	r := chi.NewRouter()
	r.Delete(objectPath+"*", h.remove)
	r.Get(objectPath+"*", h.get)
	r.Get(listPath, h.list)
	r.Get(watchPath, h.watch)
	r.Put(objectPath+"*", h.put)
	if h.Faulty != nil {
		r.Put(faultsPath, h.setFaults)
	}
	if h.Memory != nil {
		r.Get(countersPath, func(w http.ResponseWriter, _ *http.Request) {
			transport.WriteJSON(w, http.StatusOK, h.Memory.Counters())
		})
	}
	return r
}

// get serves one object.
func (h *Handler) get(w http.ResponseWriter, r *http.Request) {
	key, err := requestKey(r)
	if err != nil {
		writeError(w, err)
		return
	}
	o, err := h.Store.Get(r.Context(), key)
	if err != nil {
		writeError(w, err)
		return
	}
	transport.WriteJSON(w, http.StatusOK, wireObject{Key: o.Key, Value: o.Value, Version: o.Version})
}

// list serves the objects below a prefix.
func (h *Handler) list(w http.ResponseWriter, r *http.Request) {
	list, err := h.Store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	response := wireList{Objects: make([]wireObject, 0, len(list))}
	for _, o := range list {
		response.Objects = append(response.Objects, wireObject{Key: o.Key, Value: o.Value, Version: o.Version})
	}
	transport.WriteJSON(w, http.StatusOK, response)
}

// put serves Create (If-None-Match: *) and Update (If-Match: "version").
func (h *Handler) put(w http.ResponseWriter, r *http.Request) {
	key, err := requestKey(r)
	if err != nil {
		writeError(w, err)
		return
	}
	value, err := transport.ReadAll(r.Body, persimmoncart.MaxValueBytes)
	if err != nil {
		if e := (*transport.ResponseTooLargeError)(nil); errors.As(err, &e) {
			err = &persimmoncart.TooLargeError{Key: key, Size: int(max(r.ContentLength, persimmoncart.MaxValueBytes+1))}
		}
		writeError(w, err)
		return
	}
	var version persimmoncart.Version
	if r.Header.Get("If-None-Match") == "*" {
		version, err = h.Store.Create(r.Context(), key, value)
	} else {
		var want persimmoncart.Version
		if want, err = parseETag(r.Header.Get("If-Match")); err == nil {
			version, err = h.Store.Update(r.Context(), key, value, want)
		}
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", formatETag(version))
	transport.WriteJSON(w, http.StatusOK, wireVersion{Version: version})
}

// remove serves Delete.
func (h *Handler) remove(w http.ResponseWriter, r *http.Request) {
	key, err := requestKey(r)
	if err != nil {
		writeError(w, err)
		return
	}
	want, err := parseETag(r.Header.Get("If-Match"))
	if err != nil {
		writeError(w, err)
		return
	}
	if err := h.Store.Delete(r.Context(), key, want); err != nil {
		writeError(w, err)
		return
	}
	transport.WriteJSON(w, http.StatusOK, wireVersion{})
}

// setFaults sets the faults of Faulty.
func (h *Handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var f wireFaults
	if err := transport.ReadJSON(r.Body, transport.MaxProblemBytes, &f); err != nil {
		writeError(w, err)
		return
	}
	h.Faulty.SetDelay(time.Duration(f.Delay))
	h.Faulty.SetDown(f.Down)
	h.Faulty.DropRequests(f.Drop)
	h.Faulty.LoseResponses(f.Lose)
	transport.WriteJSON(w, http.StatusOK, f)
}

// watch serves a watch as one JSON object per line. Empty lines are keep-alives.
func (h *Handler) watch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		writeError(w, &RequestError{Reason: err.Error()})
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	watch, err := h.Store.Watch(ctx, r.URL.Query().Get("prefix"), persimmoncart.Version(from))
	if err != nil {
		writeError(w, err)
		return
	}
	defer func() { _ = watch.Close() }()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	events := make(chan wireObject)
	go func() {
		defer close(events)
		for {
			e, err := watch.Next(ctx)
			if err != nil {
				return
			}
			o := wireObject{Deleted: e.Deleted, Key: e.Object.Key, Value: e.Object.Value, Version: e.Object.Version}
			select {
			case <-ctx.Done():
				return
			case events <- o:
			}
		}
	}()
	keepAlive := make(chan struct{}, 1)
	stop := h.Timer.Subscribe(keepAliveInterval, func(time.Time) {
		select {
		case keepAlive <- struct{}{}:
		default:
		}
	})
	defer stop()
	encoder := json.NewEncoder(w)
	for {
		select {
		case o, ok := <-events:
			if !ok {
				panic(http.ErrAbortHandler)
			}
			err = encoder.Encode(o)
		case <-keepAlive:
			_, err = w.Write([]byte("\n"))
		}
		if err == nil {
			err = control.Flush()
		}
		if err != nil {
			return
		}
	}
}

// A RequestError reports a request that violates the protocol.
type RequestError struct {
	Reason string
}

// Error implements error.
func (e *RequestError) Error() string {
	return "invalid request: " + e.Reason
}

// requestKey returns the object key in the request's path, or a *RequestError.
func requestKey(r *http.Request) (string, error) {
	key, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), objectPath))
	if err != nil || key == "" {
		return "", &RequestError{Reason: "path without a key"}
	}
	return key, nil
}

// writeError sends the response for err. For an *AmbiguousError it closes the
// connection instead.
func writeError(w http.ResponseWriter, err error) {
	p := &transport.Problem{Code: codeInvalid, Message: err.Error(), Status: http.StatusBadRequest}
	var (
		ambiguous   *persimmoncart.AmbiguousError
		conflict    *persimmoncart.ConflictError
		history     *persimmoncart.HistoryError
		large       *persimmoncart.TooLargeError
		missing     *persimmoncart.NotFoundError
		unavailable *persimmoncart.UnavailableError
	)
	switch {
	case errors.As(err, &ambiguous):
		panic(http.ErrAbortHandler)
	case errors.As(err, &conflict):
		p.Code, p.Status, p.Have = codeConflict, http.StatusPreconditionFailed, uint64(conflict.Have)
	case errors.As(err, &history):
		p.Code, p.Status, p.Have = codeHistory, http.StatusGone, uint64(history.Oldest)
	case errors.As(err, &large):
		p.Code, p.Status, p.Have = codeTooLarge, http.StatusRequestEntityTooLarge, uint64(large.Size)
	case errors.As(err, &missing):
		p.Code, p.Status = codeNotFound, http.StatusNotFound
	case errors.As(err, &unavailable):
		p.Code, p.Status, p.RetryAfter = codeUnavailable, http.StatusServiceUnavailable, transport.Duration(unavailable.RetryAfter)
	}
	transport.WriteProblem(w, p)
}
