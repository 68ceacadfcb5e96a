package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// maxRequestBytes is the largest accepted request body; prefill requests, which
// contain the prompt, are the largest.
const maxRequestBytes = 8 << 20

// A Handler serves an engine over HTTP. Set the fields before Handler is called.
//
// Errors that a Fake returns because of an injected fault are reproduced on the
// wire as broken connections, malformed data or data of another attempt.
type Handler struct {
	Engine persimmoncart.Engine
	Fake   *Fake // serves exported KV cache, counters and faults; may be nil
}

// Handler returns the HTTP handler.
func (h *Handler) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(cachePath, h.cacheEvents)
	r.Get(loadPath, h.load)
	r.Get(workPath, h.work)
	r.Post(cancelPath, post(h.cancel))
	r.Post(decodePath, h.decode)
	r.Post(importPath, post(h.importKV))
	r.Post(orderPath, post(h.order))
	r.Post(prefillPath, post(h.prefill))
	r.Post(releasePath, post(h.release))
	if h.Fake != nil {
		r.Get(CountersPath, func(w http.ResponseWriter, _ *http.Request) {
			transport.WriteJSON(w, http.StatusOK, h.Fake.Counters())
		})
		r.Get(kvPath, h.export)
		r.Put(faultsPath, post(func(_ context.Context, faults Faults) (any, error) {
			h.Fake.Change(func(f *Faults) { *f = faults })
			return faults, nil
		}))
	}
	return r
}

// cacheEvents streams cache events.
func (h *Handler) cacheEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		writeInvalid(w, err)
		return
	}
	s, err := h.Engine.CacheEvents(r.Context(), from)
	if err != nil {
		writeError(w, err)
		return
	}
	defer func() { _ = s.Close() }()
	control := startStream(w)
	for {
		e, err := s.Next(r.Context())
		if err != nil {
			return
		}
		b, err := json.Marshal(wireCacheEvent(e))
		if err != nil {
			return
		}
		if _, err := w.Write(append(append([]byte(dataPrefix), b...), "\n\n"...)); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
	}
}

// cancel serves Cancel.
func (h *Handler) cancel(ctx context.Context, a wireAttempt) (any, error) {
	return struct{}{}, h.Engine.Cancel(ctx, a.Attempt)
}

// decode streams the tokens of a generation.
func (h *Handler) decode(w http.ResponseWriter, r *http.Request) {
	var d wireDecode
	if err := transport.ReadJSON(r.Body, maxRequestBytes, &d); err != nil {
		writeInvalid(w, err)
		return
	}
	s, err := h.Engine.Decode(r.Context(), persimmoncart.DecodeRequest{
		Attempt:         d.Attempt,
		Class:           d.Class,
		Deadline:        d.Deadline,
		MaxOutputTokens: d.MaxOutputTokens,
		Start:           d.Start,
		Tag:             persimmoncart.Tag(d.Tag),
	})
	if err != nil {
		writeError(w, err)
		return
	}
	defer func() { _ = s.Close() }()
	control := startStream(w)
	var b []byte
	for {
		t, err := s.Next(r.Context())
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			writeStreamError(w, control, err)
			return
		}
		b = appendToken(b[:0], t)
		if _, err := w.Write(b); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
	}
}

// export serves exported KV cache.
func (h *Handler) export(w http.ResponseWriter, r *http.Request) {
	kv, err := h.Fake.Export(r.Context(), r.URL.Query().Get("handle"))
	if err != nil {
		writeError(w, err)
		return
	}
	transport.WriteJSON(w, http.StatusOK, kv)
}

// importKV serves Import.
func (h *Handler) importKV(ctx context.Context, i wireImport) (any, error) {
	return struct{}{}, h.Engine.Import(ctx, persimmoncart.ImportRequest{
		Attempt:  i.Attempt,
		Blocks:   i.Blocks,
		Deadline: i.Deadline,
		From:     i.From,
		Handle:   i.Handle,
		Size:     i.Size,
		Tag:      persimmoncart.Tag(i.Tag),
	})
}

// load serves Load.
func (h *Handler) load(w http.ResponseWriter, r *http.Request) {
	l, err := h.Engine.Load(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	transport.WriteJSON(w, http.StatusOK, transport.NewLoadReport(l))
}

// order serves Order.
func (h *Handler) order(ctx context.Context, o wireOrder) (any, error) {
	return struct{}{}, h.Engine.Order(ctx, persimmoncart.Order(o))
}

// prefill serves Prefill.
func (h *Handler) prefill(ctx context.Context, p wirePrefill) (any, error) {
	result, err := h.Engine.Prefill(ctx, persimmoncart.PrefillRequest{
		Attempt:   p.Attempt,
		Class:     p.Class,
		Deadline:  p.Deadline,
		Generated: p.Generated,
		Model:     p.Model,
		Prompt:    p.Prompt,
		Tag:       persimmoncart.Tag(p.Tag),
	})
	if e := (*persimmoncart.AttemptMismatchError)(nil); errors.As(err, &e) {
		return wirePrefillResult{Attempt: e.Got, Handle: "crossed"}, nil
	}
	return wirePrefillResult(result), err
}

// release serves Release.
func (h *Handler) release(ctx context.Context, a wireAttempt) (any, error) {
	return struct{}{}, h.Engine.Release(ctx, a.Attempt)
}

// work serves ListWork.
func (h *Handler) work(w http.ResponseWriter, r *http.Request) {
	list, err := h.Engine.ListWork(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	response := wireWorkList{Work: make([]wireWorkItem, 0, len(list))}
	for _, k := range list {
		response.Work = append(response.Work, wireWorkItem{Attempt: k.Attempt, Blocks: k.Blocks, Deadline: k.Deadline, Tag: wireTag(k.Tag)})
	}
	transport.WriteJSON(w, http.StatusOK, response)
}

// post returns a handler that decodes a T from the request body, calls do and
// sends its result as JSON.
func post[T any](do func(context.Context, T) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request T
		if err := transport.ReadJSON(r.Body, maxRequestBytes, &request); err != nil {
			writeInvalid(w, err)
			return
		}
		response, err := do(r.Context(), request)
		if err != nil {
			writeError(w, err)
			return
		}
		transport.WriteJSON(w, http.StatusOK, response)
	}
}

// startStream sends the header of an event stream.
func startStream(w http.ResponseWriter) *http.ResponseController {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	// If the flush fails because the client is gone, the next write fails too.
	_ = control.Flush()
	return control
}

// writeStreamError ends a stream with the malformed event that err describes, or by
// closing the connection.
func writeStreamError(w http.ResponseWriter, control *http.ResponseController, err error) {
	var (
		protocol *transport.ProtocolError
		index    *TokenIndexError
		mismatch *persimmoncart.AttemptMismatchError
		b        []byte
	)
	switch {
	case errors.As(err, &protocol):
		b = []byte(dataPrefix + protocol.Sample + "\n\n")
	case errors.As(err, &index):
		b = appendToken(nil, persimmoncart.Token{Attempt: index.Attempt, Index: index.Got, Text: " x"})
	case errors.As(err, &mismatch):
		b = appendToken(nil, persimmoncart.Token{Attempt: mismatch.Got, Text: " x"})
	default:
		panic(http.ErrAbortHandler)
	}
	if _, err := w.Write(b); err == nil {
		_ = control.Flush()
	}
}

// writeError sends the response for err. If the engine crashed, it closes the
// connection instead.
func writeError(w http.ResponseWriter, err error) {
	var (
		protocol    *transport.ProtocolError
		missing     *persimmoncart.KVMissingError
		refused     *persimmoncart.EndpointRefusedError
		unavailable *persimmoncart.UnavailableError
	)
	p := &transport.Problem{Code: codeFailed, Message: err.Error(), Status: http.StatusInternalServerError}
	switch {
	case errors.Is(err, errCrashed):
		panic(http.ErrAbortHandler)
	case errors.As(err, &protocol):
		_, _ = w.Write([]byte(protocol.Sample))
		return
	case errors.As(err, &missing):
		p.Code, p.Status = codeKVMissing, http.StatusNotFound
	case errors.As(err, &refused):
		p.Code, p.Message, p.Status = codeRefused, refused.Reason, http.StatusServiceUnavailable
		p.RetryAfter = transport.Duration(refused.RetryAfter)
	case errors.As(err, &unavailable):
		p.Code, p.Status, p.RetryAfter = codeUnavailable, http.StatusServiceUnavailable, transport.Duration(unavailable.RetryAfter)
	}
	transport.WriteProblem(w, p)
}

// writeInvalid sends the response to a request that violates the protocol.
func writeInvalid(w http.ResponseWriter, err error) {
	transport.WriteProblem(w, &transport.Problem{Code: codeRefused, Message: err.Error(), Status: http.StatusBadRequest})
}
