package admin

import (
	_ "embed" // for the OpenAPI document
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart/internal/config"
)

const (
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes = config.MaxFileBytes

	defaultHistoryVersions = 20 // in a reply to a request without a count
	pathPrefix             = "/admin/v1"
)

//go:embed openapi.json
var openapi []byte

// Server serves the administration API over HTTP.
type Server struct {
	Logger  zerolog.Logger
	Service Service
	Tokens  []Token
}

// Handler returns the HTTP handler of all paths of the API.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, &Error{Code: CodeNotFound, Message: "no such path; see " + pathPrefix + "/openapi.json"})
	})
	r.Route(pathPrefix, func(r chi.Router) {
		r.Get("/openapi.json", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(openapi) // the client may have disconnected
		})
		r.Get("/history", s.serve(RoleViewer, s.history))
		r.Get("/objects", s.serve(RoleViewer, s.objects))
		r.Get("/objects/{kind}", s.serve(RoleViewer, s.objects))
		r.Get("/objects/{kind}/{name}", s.serve(RoleViewer, s.objects))
		r.Get("/outcomes", s.serve(RoleViewer, s.outcome))
		r.Get("/plan", s.serve(RoleViewer, s.plan))
		r.Get("/status", s.serve(RoleViewer, s.status))
		r.Post("/apply", s.serve(RoleOperator, s.apply))
		r.Post("/diff", s.serve(RoleViewer, s.diff))
		r.Post("/rollback", s.serve(RoleAdmin, s.rollback))
	})
	return r
}

// operation serves one request of an authenticated operator and returns the reply.
type operation func(r *http.Request, t *Token) (any, error)

// serve returns an HTTP handler that authenticates the caller, requires at least the
// given role, and writes the reply or error of f.
func (s *Server) serve(role Role, f operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		t := authenticate(s.Tokens, r)
		if t == nil {
			writeError(w, &Error{Code: CodeTokenUnknown, Message: "no known token; send Authorization: Bearer <token>"})
			return
		}
		if t.Role < role {
			writeError(w, &Error{Code: CodeForbidden, Message: "this call needs role " + role.String() + "; " + t.Name + " is " + t.Role.String()})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		reply, err := f(r, t)
		if err != nil {
			var e *Error
			if !errors.As(err, &e) {
				e = &Error{Code: CodeInternal, Message: err.Error()}
			}
			s.Logger.Info().Str("author", t.Name).Str("code", e.Code).Str("path", r.URL.Path).Msg("administration call refused")
			writeError(w, e)
			return
		}
		if r.Method != http.MethodGet {
			s.Logger.Info().Str("author", t.Name).Str("path", r.URL.Path).Msg("administration call")
		}
		writeJSON(w, http.StatusOK, reply)
	}
}

func (s *Server) apply(r *http.Request, t *Token) (any, error) {
	request, err := decode[ApplyRequest](r.Body)
	if err != nil {
		return nil, err
	}
	request.Author, request.Role = t.Name, t.Role
	return s.Service.Apply(r.Context(), request)
}

func (s *Server) diff(r *http.Request, _ *Token) (any, error) {
	request, err := decode[ApplyRequest](r.Body)
	if err != nil {
		return nil, err
	}
	return s.Service.Diff(r.Context(), request)
}

func (s *Server) history(r *http.Request, _ *Token) (any, error) {
	from, err := queryNumber(r, "from", 0)
	if err != nil {
		return nil, err
	}
	count, err := queryNumber(r, "count", defaultHistoryVersions)
	if err != nil {
		return nil, err
	}
	return s.Service.History(r.Context(), from, int(min(count, maxHistoryVersions)))
}

func (s *Server) objects(r *http.Request, _ *Token) (any, error) {
	return s.Service.Objects(r.Context(), chi.URLParam(r, "kind"), chi.URLParam(r, "name"))
}

func (s *Server) outcome(r *http.Request, _ *Token) (any, error) {
	q := r.URL.Query()
	if q.Get("account") == "" || q.Get("route") == "" || q.Get("key") == "" {
		return nil, &Error{Code: CodeBadRequest, Message: "account, route and key are needed"}
	}
	return s.Service.Outcome(r.Context(), q.Get("account"), q.Get("route"), q.Get("key"))
}

func (s *Server) plan(r *http.Request, _ *Token) (any, error) {
	return s.Service.Plan(r.Context())
}

func (s *Server) rollback(r *http.Request, t *Token) (any, error) {
	request, err := decode[RollbackRequest](r.Body)
	if err != nil {
		return nil, err
	}
	request.Author = t.Name
	return s.Service.Rollback(r.Context(), request)
}

func (s *Server) status(r *http.Request, _ *Token) (any, error) {
	return s.Service.Status(r.Context())
}

// queryNumber returns a whole number from the query, or missing if it is absent.
func queryNumber(r *http.Request, name string, missing uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return missing, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, &Error{Code: CodeBadRequest, Message: name + " is no whole number"}
	}
	return n, nil
}

// decode reads one JSON value. It returns an *Error for unknown fields, further
// values, and bodies that are too large.
func decode[T any](body io.Reader) (T, error) {
	var v T
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	err := d.Decode(&v)
	if large := (&http.MaxBytesError{}); errors.As(err, &large) {
		return v, &Error{Code: CodeTooLarge, Message: "body is larger than " + strconv.FormatInt(large.Limit, 10) + " bytes"}
	}
	if err != nil {
		return v, &Error{Code: CodeBadRequest, Message: "body: " + err.Error()}
	}
	if d.More() {
		return v, &Error{Code: CodeBadRequest, Message: "body: more than one JSON value"}
	}
	return v, nil
}

// httpStatuses maps error codes to HTTP statuses.
var httpStatuses = map[string]int{
	CodeBadRequest:   http.StatusBadRequest,
	CodeConflict:     http.StatusConflict,
	CodeForbidden:    http.StatusForbidden,
	CodeInternal:     http.StatusInternalServerError,
	CodeInvalid:      http.StatusUnprocessableEntity,
	CodeNotFound:     http.StatusNotFound,
	CodeStoreDown:    http.StatusServiceUnavailable,
	CodeTooLarge:     http.StatusRequestEntityTooLarge,
	CodeTokenUnknown: http.StatusUnauthorized,
	CodeUnsettled:    http.StatusServiceUnavailable,
}

// errorBody is the body of an error response.
type errorBody struct {
	Error *Error `json:"error"`
}

// writeError writes an error response.
func writeError(w http.ResponseWriter, e *Error) {
	if e.Code == CodeStoreDown || e.Code == CodeUnsettled {
		w.Header().Set("Retry-After", "2")
	}
	writeJSON(w, httpStatuses[e.Code], errorBody{Error: e})
}

// writeJSON writes a response with v as its JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}
