package persimmoncart

import (
	"context"
	"fmt"
	"net/netip"
	"time"
)

// A CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Evicted  bool
	Prefix   uint64 // hash of the prompt up to the end of one block
	Sequence uint64 // consecutive; a gap means that events were lost
}

// A CacheEventStream reads the cache events of one engine.
type CacheEventStream interface {
	// Close ends the stream.
	Close() error
	// Next waits for the next event.
	Next(ctx context.Context) (CacheEvent, error)
}

// A DecodeRequest asks a decode engine to generate tokens from imported KV cache.
type DecodeRequest struct {
	Attempt         AttemptID
	Class           Class
	Deadline        time.Time
	MaxOutputTokens int // of the whole response, tokens before Start included
	Start           int // index of the first token to generate
	Tag             Tag
}

// An Engine is a client of one model engine.
//
// Its methods return an *EndpointRefusedError if the engine refused the call
// before running it, a *KVMissingError if it has no such KV cache, and an
// *UnavailableError if the call had no effect. After any other error the call may
// have had an effect.
type Engine interface {
	// CacheEvents streams the changes of the prefix cache that follow the sequence
	// number from.
	CacheEvents(ctx context.Context, from uint64) (CacheEventStream, error)
	// Cancel ends all work of the attempt and frees its memory. Cancelling an
	// unknown attempt is not an error.
	Cancel(ctx context.Context, attempt AttemptID) error
	// Decode generates tokens. Closing the stream cancels the generation.
	Decode(ctx context.Context, request DecodeRequest) (TokenStream, error)
	// Import copies the KV cache of an attempt from a prefill engine.
	Import(ctx context.Context, request ImportRequest) error
	// ListWork lists the work items that hold memory on the engine.
	ListWork(ctx context.Context) ([]WorkItem, error)
	// Load returns the newest load report, which lags behind the actual load.
	Load(ctx context.Context) (LoadReport, error)
	// Order loads or unloads a model, or changes the engine's role.
	Order(ctx context.Context, order Order) error
	// Prefill computes the KV cache of a prompt and exports it.
	Prefill(ctx context.Context, request PrefillRequest) (PrefillResult, error)
	// Release frees the exported KV cache of the attempt.
	Release(ctx context.Context, attempt AttemptID) error
}

// Engines provides clients of engines.
type Engines interface {
	// Engine returns the client of the engine at addr. It does not wait for a
	// connection.
	Engine(addr netip.AddrPort) Engine
}

// An ImportRequest asks a decode engine to fetch KV cache from a prefill engine.
type ImportRequest struct {
	Attempt  AttemptID
	Blocks   int // memory blocks to reserve for the prompt and the whole response
	Deadline time.Time
	From     netip.AddrPort // of the prefill engine
	Handle   string
	Size     int64 // bytes
	Tag      Tag
}

// A LoadReport is the load that an engine or application endpoint reports.
type LoadReport struct {
	Blocks     int
	FreeBlocks int
	Leaving    bool
	Models     []ModelName
	Role       Role
	Running    int
	Slots      int
	Time       time.Time
	Waiting    int
}

// Kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderRole   OrderKind = "role"
	OrderUnload OrderKind = "unload"
)

// An Order changes the models or the role of an engine. Orders are idempotent,
// as they state the desired result.
type Order struct {
	Fence  uint64 // fencing token of the sender's lease
	Kind   OrderKind
	Model  ModelName
	Role   Role
	Sender InstanceID
}

// An OrderKind is the kind of an order.
type OrderKind string

// A PrefillRequest requests the KV cache of a prompt from a prefill engine.
type PrefillRequest struct {
	Attempt   AttemptID
	Class     Class
	Deadline  time.Time
	Generated []string // tokens already sent to the caller of a resumed stream
	Model     ModelName
	Prompt    string
	Tag       Tag
}

// A PrefillResult is the exported KV cache of a prompt.
type PrefillResult struct {
	Attempt      AttemptID
	CachedTokens int // prompt tokens found in the prefix cache
	Handle       string
	Size         int64 // bytes
	Tokens       int   // prompt tokens
}

// A Token is one generated token.
type Token struct {
	Attempt AttemptID
	Index   int // position in the response, from zero
	Last    bool
	Text    string
}

// A TokenStream reads generated tokens.
type TokenStream interface {
	// Close cancels the generation and frees its memory.
	Close() error
	// Next waits for the next token. After the token with Last set it returns
	// io.EOF; if the stream ends earlier, io.ErrUnexpectedEOF.
	Next(ctx context.Context) (Token, error)
}

// A WorkItem is one unit of work that holds memory on an engine.
type WorkItem struct {
	Attempt  AttemptID
	Blocks   int
	Deadline time.Time
	Tag      Tag
}

// An EndpointRefusedError reports that an endpoint refused a call before acting on it.
type EndpointRefusedError struct {
	Addr       netip.AddrPort
	Load       *EndpointLoad // nil if the endpoint did not state it
	Reason     string
	RetryAfter time.Duration // zero if the endpoint did not state it
}

// Error implements error.
func (e *EndpointRefusedError) Error() string {
	return fmt.Sprintf("endpoint %s refused: %s", e.Addr, e.Reason)
}

// A KVMissingError reports that an exported KV cache was evicted or never existed.
type KVMissingError struct {
	Attempt AttemptID
	Handle  string
}

// Error implements error.
func (e *KVMissingError) Error() string {
	return fmt.Sprintf("no KV cache %q for attempt %s", e.Handle, e.Attempt)
}

// An AttemptMismatchError reports a response that belongs to another attempt.
type AttemptMismatchError struct {
	Got  AttemptID
	Want AttemptID
}

// Error implements error.
func (e *AttemptMismatchError) Error() string {
	return fmt.Sprintf("answer belongs to attempt %s, not %s", e.Got, e.Want)
}
