package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

// Defaults of fields that are absent from a file.
const (
	DefaultFirstTokenTarget = Duration(1600 * time.Millisecond)
	DefaultMaxBodyBytes     = 4 << 20
	DefaultMaxOutputTokens  = 1024
	DefaultSlots            = 20
	DefaultTimeout          = Duration(30 * time.Second)
	DefaultTokenGapTarget   = Duration(60 * time.Millisecond)
	DefaultWeight           = 1
)

// Spec is the content of one configuration object in files, in the store and in
// the administration API.
//
// The fields of specs have the order of the stored JSON, which state hashes depend
// on, and their JSON tags are also the names of the fields in YAML files.
type Spec interface {
	// setDefaults sets absent fields to their defaults.
	setDefaults()
	// name returns the object's name.
	name() string
}

// newSpec returns an empty spec of the kind, or nil if the kind is unknown.
func newSpec(k Kind) Spec {
	switch k {
	case KindAccount:
		return &AccountSpec{}
	case KindDrain:
		return &DrainSpec{}
	case KindEndpoint:
		return &EndpointSpec{}
	case KindLink:
		return &LinkSpec{}
	case KindOverride:
		return &OverrideSpec{}
	case KindPin:
		return &PinSpec{}
	case KindPool:
		return &PoolSpec{}
	case KindRoute:
		return &RouteSpec{}
	case KindSheet:
		return &SheetSpec{}
	default:
		return nil
	}
}

// decodeSpec decodes a spec of the kind from canonical JSON. It returns a *KindError
// if the kind is unknown.
func decodeSpec(k Kind, value []byte) (Spec, error) {
	s := newSpec(k)
	if s == nil {
		return nil, &KindError{Value: string(k)}
	}
	if err := json.Unmarshal(value, s); err != nil {
		return nil, errors.Wrapf(err, "decode %s", k)
	}
	return s, nil
}

// Encode returns the canonical JSON of the spec.
func Encode(s Spec) []byte {
	b, err := json.Marshal(s)
	if err != nil {
		// Specs contain only types that always encode; the parser rejects NaN.
		panic(fmt.Sprintf("encode %T: %v", s, err))
	}
	return b
}

// AccountSpec describes a client account. It contains only hashes of API keys, never
// the keys themselves.
type AccountSpec struct {
	Name      string              `json:"name"`
	Burst     int                 `json:"burst"` // requests that may arrive at once; Rate rounded up if absent
	Class     persimmoncart.Class `json:"class"`
	Keys      []KeyHash           `json:"keys"`
	Rate      float64             `json:"rate"`             // requests per second
	TokenRate float64             `json:"tokens,omitempty"` // prompt and output tokens per second; zero is unlimited
	Weight    int                 `json:"weight"`           // share in the admission queue relative to other accounts
}

func (s *AccountSpec) setDefaults() {
	if s.Class == 0 {
		s.Class = persimmoncart.ClassBatch
	}
	if s.Burst == 0 {
		s.Burst = int(max(1, math.Min(math.Ceil(s.Rate), maxCount)))
	}
	if s.Weight == 0 {
		s.Weight = DefaultWeight
	}
}

func (s *AccountSpec) name() string { return s.Name }

// DrainSpec makes the endpoint of the same name receive no new requests.
type DrainSpec struct {
	Name string `json:"name"`
}

func (s *DrainSpec) setDefaults() {}

func (s *DrainSpec) name() string { return s.Name }

// EndpointSpec describes one endpoint: an engine or an application endpoint.
type EndpointSpec struct {
	Name         string             `json:"name"`
	Addr         netip.AddrPort     `json:"addr"`
	Blocks       int                `json:"blocks,omitempty"` // memory blocks of an engine
	DataCentre   string             `json:"centre"`
	Capabilities []string           `json:"checks,omitempty"` // fence, repeat or sender
	Models       []string           `json:"models,omitempty"`
	Pool         string             `json:"pool"`
	Region       string             `json:"region"`
	Role         persimmoncart.Role `json:"role"`
	Slots        int                `json:"slots"` // requests that can run at the same time
}

func (s *EndpointSpec) setDefaults() {
	if s.Slots == 0 {
		s.Slots = DefaultSlots
	}
}

func (s *EndpointSpec) name() string { return s.Name }

// LinkSpec describes a network path of limited bandwidth between data centres or
// regions.
type LinkSpec struct {
	Name  string  `json:"name"`
	From  string  `json:"from"`
	Price float64 `json:"price,omitempty"` // currency units per gigabyte
	Rate  float64 `json:"rate"`            // bytes per second in each direction
	To    string  `json:"to"`
}

func (s *LinkSpec) setDefaults() {}

func (s *LinkSpec) name() string { return s.Name }

// OverrideSpec replaces the numbers of replicas that the sheet plans for the pool of
// the same name.
type OverrideSpec struct {
	Name    string    `json:"name"`
	Decode  int       `json:"decode"`
	Prefill int       `json:"prefill"`
	Until   time.Time `json:"until,omitzero"` // end of the override; zero if it lasts until it is deleted
}

func (s *OverrideSpec) setDefaults() {}

func (s *OverrideSpec) name() string { return s.Name }

// PinSpec fixes the role and models of the endpoint of the same name. The planner
// decides on those that are absent.
type PinSpec struct {
	Name   string             `json:"name"`
	Models []string           `json:"models,omitempty"`
	Role   persimmoncart.Role `json:"role,omitzero"`
}

func (s *PinSpec) setDefaults() {}

func (s *PinSpec) name() string { return s.Name }

// PoolSpec describes a set of endpoints that serve the same models or the same
// application calls.
type PoolSpec struct {
	Name             string             `json:"name"`
	Decode           int                `json:"decode,omitempty"` // desired decode replicas
	FirstTokenTarget Duration           `json:"first,omitempty"`  // target time to the first token
	Models           []string           `json:"models,omitempty"`
	TokenGapTarget   Duration           `json:"pace,omitempty"`    // target time between tokens
	Prefill          int                `json:"prefill,omitempty"` // desired prefill replicas
	Role             persimmoncart.Role `json:"role,omitzero"`     // RoleApplication, or zero for engines
}

func (s *PoolSpec) setDefaults() {
	if s.Role == persimmoncart.RoleApplication {
		return
	}
	if s.FirstTokenTarget == 0 {
		s.FirstTokenTarget = DefaultFirstTokenTarget
	}
	if s.TokenGapTarget == 0 {
		s.TokenGapTarget = DefaultTokenGapTarget
	}
}

func (s *PoolSpec) name() string { return s.Name }

// RouteSpec describes a route from callers to a pool.
type RouteSpec struct {
	Name            string              `json:"name"`
	MaxBodyBytes    int64               `json:"body"`
	Class           persimmoncart.Class `json:"class"`
	Hedge           bool                `json:"hedge,omitempty"`
	MaxOutputTokens int                 `json:"limit,omitempty"`
	Models          []string            `json:"models,omitempty"`
	Pool            string              `json:"pool"`
	Idempotent      bool                `json:"repeat,omitempty"` // calls may run more than once
	Timeout         Duration            `json:"timeout"`
}

func (s *RouteSpec) setDefaults() {
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if s.Class == 0 {
		s.Class = persimmoncart.ClassInteractive
	}
	if s.MaxOutputTokens == 0 && len(s.Models) > 0 {
		s.MaxOutputTokens = DefaultMaxOutputTokens
	}
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
}

func (s *RouteSpec) name() string { return s.Name }

// SheetSpec is the demand forecast and plan of one day, named by its date.
type SheetSpec struct {
	Name string    `json:"name"` // date in the form 2006-01-02
	Rows []RowSpec `json:"rows"`
}

func (s *SheetSpec) setDefaults() {}

func (s *SheetSpec) name() string { return s.Name }

// RowSpec is the plan for one pool and model from From to To.
type RowSpec struct {
	Decode  int       `json:"decode"` // desired decode replicas
	From    time.Time `json:"from"`
	Model   string    `json:"model"`
	Pool    string    `json:"pool"`
	Prefill int       `json:"prefill"` // desired prefill replicas
	Rate    float64   `json:"rate"`    // expected requests per second
	To      time.Time `json:"to"`
}

// Duration is a time.Duration with a text form such as "1.5s".
type Duration time.Duration

// String returns the duration in its text form.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "parse duration")
	}
	*d = Duration(v)
	return nil
}

// KeyHash is the SHA-256 of an API key. Its text form is 64 hexadecimal digits, with
// an optional prefix "sha256:" on input.
type KeyHash persimmoncart.KeyHash

// HashKey returns the SHA-256 of an API key.
func HashKey(key string) KeyHash { return KeyHash(sha256.Sum256([]byte(key))) }

// String returns the hash in hexadecimal digits.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns a *KeyHashError for
// text that is not a hash.
func (h *KeyHash) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(strings.TrimPrefix(string(text), "sha256:"))
	if err != nil || len(b) != len(h) {
		return &KeyHashError{Size: len(text)}
	}
	copy(h[:], b)
	return nil
}

// KeyHashError reports text that is not the hash of a key. It does not contain the
// text, which may be a key entered by mistake.
type KeyHashError struct {
	Size int // length of the text in bytes
}

// Error implements error.
func (e *KeyHashError) Error() string {
	return fmt.Sprintf("text of %d bytes is no key hash; want the SHA-256 of the key as 64 hexadecimal digits", e.Size)
}
