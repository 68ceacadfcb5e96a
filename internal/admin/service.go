// Package admin is the administration API: the calls of operators, the HTTP
// server of an entry instance, and the client that persimmonctl uses.
package admin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
)

// A Service is what operators can do. Errors are *Error.
type Service interface {
	// Apply makes the content of files the next version.
	Apply(ctx context.Context, request ApplyRequest) (ApplyReply, error)
	// Diff returns what Apply would change; it changes nothing.
	Diff(ctx context.Context, request ApplyRequest) (DiffReply, error)
	// History returns versions, newest first.
	History(ctx context.Context, from uint64, count int) (HistoryReply, error)
	// Objects returns the objects of a kind, or all if it is empty; a name
	// selects one.
	Objects(ctx context.Context, kind, name string) (ObjectsReply, error)
	// Outcome returns what is known of a call that may not be repeated.
	Outcome(ctx context.Context, account, route, key string) (OutcomeReply, error)
	// Plan returns the recorded plan of each pool.
	Plan(ctx context.Context) (PlanReply, error)
	// Rollback makes the content of an earlier version the next version.
	Rollback(ctx context.Context, request RollbackRequest) (ApplyReply, error)
	// Status returns the version in force on each live instance.
	Status(ctx context.Context) (StatusReply, error)
}

// A File is one configuration file or sheet.
type File struct {
	Data string `json:"data"`
	Name string `json:"name"`           // a name that ends in .csv holds a sheet
	Zone string `json:"zone,omitempty"` // time zone of a sheet; UTC if empty
}

// An ApplyRequest asks for a change.
type ApplyRequest struct {
	Author string          `json:"-"`                // set by the server from the token
	Base   uint64          `json:"base,omitempty"`   // version that the files were made from; zero is the newest
	Delete []string        `json:"delete,omitempty"` // keys "kind/name"
	Files  []File          `json:"files,omitempty"`
	ID     string          `json:"id,omitempty"` // the same for each retry
	Note   string          `json:"note,omitempty"`
	Role   Role            `json:"-"`              // of the author
	Wait   config.Duration `json:"wait,omitempty"` // how long to wait until it is in force everywhere
}

// An ApplyReply says what was applied.
type ApplyReply struct {
	Changes []Change `json:"changes"`
	Lagging []string `json:"lagging,omitempty"` // live instances without the version at the end of the wait
	Version uint64   `json:"version"`
	Waited  bool     `json:"waited,omitempty"` // the version is in force on all live instances
}

// A Change is the change of one object.
type Change struct {
	Action string               `json:"action"` // create, delete or update
	Fields []config.FieldChange `json:"fields,omitempty"`
	Key    string               `json:"key"`
}

// A DiffReply lists what would change.
type DiffReply struct {
	Changes []Change `json:"changes"`
	Version uint64   `json:"version"` // version that the files were compared with
}

// A HistoryReply lists versions, newest first.
type HistoryReply struct {
	Versions []VersionRecord `json:"versions"`
}

// A VersionRecord is the audit record of one version.
type VersionRecord struct {
	Time    time.Time `json:"at"`
	Author  string    `json:"author"`
	Changes []Change  `json:"changes"`
	ID      string    `json:"id"`
	Note    string    `json:"note,omitempty"`
	Version uint64    `json:"version"`
}

// An ObjectsReply lists objects.
type ObjectsReply struct {
	Objects []Object `json:"objects"`
	Version uint64   `json:"version"`
}

// An Object is one object in canonical JSON.
type Object struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// An OutcomeReply is what the store knows of a call.
type OutcomeReply struct {
	Time    time.Time `json:"at,omitzero"`
	Outcome string    `json:"outcome"` // answered, not_run or unknown
	State   string    `json:"state"`   // state of the claim
	Status  int       `json:"status,omitempty"`
}

// A PlanReply lists the recorded plans of pools.
type PlanReply struct {
	Pools []PoolPlan `json:"pools"`
}

// A PoolPlan is the recorded plan of one pool.
type PoolPlan struct {
	CreatedAt time.Time    `json:"at,omitzero"`
	Pool      string       `json:"pool"`
	Shares    []ModelShare `json:"shares"`
	Version   uint64       `json:"version"`           // of the configuration
	Warning   string       `json:"warning,omitempty"` // why today's sheet is not in force
}

// A ModelShare counts the engines planned for a model.
type ModelShare struct {
	Decode  int    `json:"decode"`
	Model   string `json:"model"`
	Prefill int    `json:"prefill"`
}

// A RollbackRequest asks for the content of an earlier version.
type RollbackRequest struct {
	Author  string          `json:"-"`
	ID      string          `json:"id,omitempty"`
	Note    string          `json:"note,omitempty"`
	Only    []string        `json:"only,omitempty"` // keys; all objects if empty
	Version uint64          `json:"version"`
	Wait    config.Duration `json:"wait,omitempty"`
}

// A StatusReply names the versions in force.
type StatusReply struct {
	Instances []InstanceStatus `json:"instances,omitempty"`
	Lagging   []string         `json:"lagging,omitempty"` // instances below Version, or without an answer
	Sheet     string           `json:"sheet,omitempty"`   // day of the newest sheet
	Store     string           `json:"store"`             // up or down
	Version   uint64           `json:"version"`           // newest version known
	Warnings  []string         `json:"warnings,omitempty"`
}

// An InstanceStatus is the version in force on one instance.
type InstanceStatus struct {
	Centre  string `json:"centre"`
	Error   string `json:"error,omitempty"`
	ID      string `json:"id"`
	Region  string `json:"region"`
	Version uint64 `json:"version"`
}

// Codes of errors. They are stable.
const (
	CodeBadRequest   = "bad_request"
	CodeConflict     = "conflict"
	CodeForbidden    = "forbidden"
	CodeInternal     = "internal"
	CodeInvalid      = "invalid"
	CodeNotFound     = "not_found"
	CodeStoreDown    = "store_down"
	CodeTooLarge     = "too_large"
	CodeTokenUnknown = "token_unknown"
	CodeUnsettled    = "unsettled"
)

// An Error is the error of a call, as in its body {"error":{…}}.
type Error struct {
	Code     string         `json:"code"`
	Conflict *Conflict      `json:"conflict,omitempty"`
	ID       string         `json:"id,omitempty"` // for a retry after unsettled
	Issues   []config.Issue `json:"issues,omitempty"`
	Message  string         `json:"message"`
}

// Error implements error.
func (e *Error) Error() string {
	text := e.Code + ": " + e.Message
	for _, i := range e.Issues {
		text += "\n" + i.String()
	}
	return text
}

// A Conflict names who changed an object first, and how.
type Conflict struct {
	Time    time.Time            `json:"at,omitzero"`
	Author  string               `json:"author"`
	Fields  []config.FieldChange `json:"fields"` // from the base to the content in force
	Key     string               `json:"key"`
	Ours    []config.FieldChange `json:"ours"` // from the content in force to ours
	Version uint64               `json:"version"`
}

// apiChanges returns the changes in the form of the API.
func apiChanges(in []persimmoncart.ConfigChange) []Change {
	out := make([]Change, len(in))
	for i, c := range in {
		out[i] = Change{Action: "update", Fields: config.DiffFields(c.Before, c.After), Key: c.Key}
		switch {
		case c.Before == nil:
			out[i].Action = "create"
		case c.After == nil:
			out[i].Action = "delete"
		}
	}
	return out
}
