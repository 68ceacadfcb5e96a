// Package admin implements the administration API: its operations, the HTTP server
// of an entry instance, and the client that persimmonctl uses.
package admin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
)

// Service defines the operations of the administration API. A LocalService returns
// only errors of type *Error. A Client also returns others, such as an
// *UnreachableError.
type Service interface {
	// Apply commits the objects of the files as the next version.
	Apply(ctx context.Context, request ApplyRequest) (ApplyReply, error)
	// Diff returns the changes that Apply would make, without making them.
	Diff(ctx context.Context, request ApplyRequest) (DiffReply, error)
	// History returns up to count versions, newest first, starting at version
	// from; zero starts at the newest.
	History(ctx context.Context, from uint64, count int) (HistoryReply, error)
	// Objects returns the objects of a kind, or of all kinds if it is empty. If
	// name is not empty, it returns only the object of that name.
	Objects(ctx context.Context, kind, name string) (ObjectsReply, error)
	// Outcome returns the recorded outcome of a non-idempotent call.
	Outcome(ctx context.Context, account, route, key string) (OutcomeReply, error)
	// Plan returns the recorded plan of each pool.
	Plan(ctx context.Context) (PlanReply, error)
	// Rollback commits the content of an earlier version as the next version.
	Rollback(ctx context.Context, request RollbackRequest) (ApplyReply, error)
	// Status returns the version in force on each live instance.
	Status(ctx context.Context) (StatusReply, error)
}

// File is one configuration file or sheet.
type File struct {
	Data string `json:"data"`
	Name string `json:"name"`           // the file is a sheet if the name ends in .csv
	Zone string `json:"zone,omitempty"` // time zone of a sheet; UTC if empty
}

// ApplyRequest requests a change of the configuration.
type ApplyRequest struct {
	Author string          `json:"-"`                // set by the server from the token
	Base   uint64          `json:"base,omitempty"`   // version that the files were made from; zero is the newest
	Delete []string        `json:"delete,omitempty"` // keys of the form "kind/name"
	Files  []File          `json:"files,omitempty"`
	ID     string          `json:"id,omitempty"` // identical in all retries; random if empty
	Note   string          `json:"note,omitempty"`
	Role   Role            `json:"-"`              // of the author
	Wait   config.Duration `json:"wait,omitempty"` // how long to wait until the change is in force on all live instances
}

// ApplyReply reports the applied changes and their version.
type ApplyReply struct {
	Changes []Change `json:"changes"`
	Lagging []string `json:"lagging,omitempty"` // live instances without the version at the end of the wait
	Version uint64   `json:"version"`
	Waited  bool     `json:"waited,omitempty"` // the version is in force on all live instances
}

// Change is the change of one object.
type Change struct {
	Action string               `json:"action"` // create, delete or update
	Fields []config.FieldChange `json:"fields,omitempty"`
	Key    string               `json:"key"`
}

// DiffReply lists the changes that a request would make.
type DiffReply struct {
	Changes []Change `json:"changes"`
	Version uint64   `json:"version"` // version that the files were compared with
}

// HistoryReply lists versions, newest first.
type HistoryReply struct {
	Versions []VersionRecord `json:"versions"`
}

// VersionRecord is the audit record of one version.
type VersionRecord struct {
	Time    time.Time `json:"at"`
	Author  string    `json:"author"`
	Changes []Change  `json:"changes"`
	ID      string    `json:"id"`
	Note    string    `json:"note,omitempty"`
	Version uint64    `json:"version"`
}

// ObjectsReply lists configuration objects and the version that they belong to.
type ObjectsReply struct {
	Objects []Object `json:"objects"`
	Version uint64   `json:"version"`
}

// Object is one configuration object in canonical JSON.
type Object struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// OutcomeReply is the recorded outcome of a call.
type OutcomeReply struct {
	Time    time.Time `json:"at,omitzero"`
	Outcome string    `json:"outcome"`          // answered, not_run or unknown
	State   string    `json:"state"`            // state of the claim
	Status  int       `json:"status,omitempty"` // HTTP status of the response, if one is recorded
}

// PlanReply lists the recorded plans of pools.
type PlanReply struct {
	Pools []PoolPlan `json:"pools"`
}

// PoolPlan is the recorded plan of one pool.
type PoolPlan struct {
	CreatedAt time.Time    `json:"at,omitzero"`
	Pool      string       `json:"pool"`
	Shares    []ModelShare `json:"shares"`
	Version   uint64       `json:"version"`           // configuration version that the plan was made from
	Warning   string       `json:"warning,omitempty"` // why today's sheet is not in force
}

// ModelShare counts the engines planned for a model by role.
type ModelShare struct {
	Decode  int    `json:"decode"`
	Model   string `json:"model"`
	Prefill int    `json:"prefill"`
}

// RollbackRequest requests the content of an earlier version.
type RollbackRequest struct {
	Author  string          `json:"-"`            // set by the server from the token
	ID      string          `json:"id,omitempty"` // identical in all retries; random if empty
	Note    string          `json:"note,omitempty"`
	Only    []string        `json:"only,omitempty"` // keys of the objects to restore; all if empty
	Version uint64          `json:"version"`
	Wait    config.Duration `json:"wait,omitempty"` // how long to wait until the change is in force on all live instances
}

// StatusReply reports the versions in force and the state of the store.
type StatusReply struct {
	Instances []InstanceStatus `json:"instances,omitempty"`
	Lagging   []string         `json:"lagging,omitempty"` // IDs of instances below Version, or without a response
	Sheet     string           `json:"sheet,omitempty"`   // day of the newest sheet
	Store     string           `json:"store"`             // up or down
	Version   uint64           `json:"version"`           // newest version known
	Warnings  []string         `json:"warnings,omitempty"`
}

// InstanceStatus is the version in force on one instance.
type InstanceStatus struct {
	DataCentre string `json:"centre"`
	Error      string `json:"error,omitempty"` // failure of the call to the instance
	ID         string `json:"id"`
	Region     string `json:"region"`
	Version    uint64 `json:"version"`
}

// Error codes. They are part of the API and do not change.
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

// Error is the error of a call, sent in the response body as {"error":{…}}.
type Error struct {
	Code     string         `json:"code"`
	Conflict *Conflict      `json:"conflict,omitempty"`
	ID       string         `json:"id,omitempty"` // ID to retry with after CodeUnsettled
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

// Conflict describes the change of another author that an edit conflicts with.
type Conflict struct {
	Time    time.Time            `json:"at,omitzero"`
	Author  string               `json:"author"` // empty if the change is not in the versions searched
	Fields  []config.FieldChange `json:"fields"` // from the base version to the content in force
	Key     string               `json:"key"`
	Ours    []config.FieldChange `json:"ours"`    // from the content in force to the requested one
	Version uint64               `json:"version"` // zero if the change is not in the versions searched
}

// apiChanges converts changes to the API's representation.
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
