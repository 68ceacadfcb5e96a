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

// Defaults of fields that a file leaves out.
const (
	DefaultMaxBodyBytes     = 4 << 20 // bytes
	DefaultFirstTokenTarget = Duration(1600 * time.Millisecond)
	DefaultMaxOutputTokens  = 1024 // tokens
	DefaultTokenGapTarget   = Duration(60 * time.Millisecond)
	DefaultSlots            = 20
	DefaultTimeout          = Duration(30 * time.Second)
	DefaultWeight           = 1
)

// A Spec is the content of one configuration object in files, in the store and
// in the administration API.
type Spec interface {
	// setDefaults sets the defaults of fields that are absent.
	setDefaults()
	// name returns the object's name.
	name() string
}

// newSpec returns an empty spec of the kind.
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

// decodeSpec returns the spec of the kind from canonical JSON.
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
		// Specs hold only types that always encode; NaN is refused by the parser.
		panic(fmt.Sprintf("encode %T: %v", s, err))
	}
	return b
}

// An AccountSpec is an account: keys are hashes, never the keys themselves.
type AccountSpec struct {
	Name      string              `json:"name"`
	Burst     int                 `json:"burst"` // requests
	Class     persimmoncart.Class `json:"class"`
	Keys      []KeyHash           `json:"keys"`
	Rate      float64             `json:"rate"`             // requests a second
	TokenRate float64             `json:"tokens,omitempty"` // a second; zero is unlimited
	Weight    int                 `json:"weight"`
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

// A DrainSpec names an endpoint that gets no new work.
type DrainSpec struct {
	Name string `json:"name"`
}

func (s *DrainSpec) setDefaults() {}

func (s *DrainSpec) name() string { return s.Name }

// An EndpointSpec is one replica.
type EndpointSpec struct {
	Name         string             `json:"name"`
	Addr         netip.AddrPort     `json:"addr"`
	Blocks       int                `json:"blocks,omitempty"`
	DataCentre   string             `json:"centre"`           // data centre
	Capabilities []string           `json:"checks,omitempty"` // fence, repeat, sender
	Models       []string           `json:"models,omitempty"`
	Pool         string             `json:"pool"`
	Region       string             `json:"region"`
	Role         persimmoncart.Role `json:"role"`
	Slots        int                `json:"slots"`
}

func (s *EndpointSpec) setDefaults() {
	if s.Slots == 0 {
		s.Slots = DefaultSlots
	}
}

func (s *EndpointSpec) name() string { return s.Name }

// A LinkSpec is a network path of limited rate.
type LinkSpec struct {
	Name  string  `json:"name"`
	From  string  `json:"from"`
	Price float64 `json:"price,omitempty"` // currency units a gigabyte
	Rate  float64 `json:"rate"`            // bytes a second, each way
	To    string  `json:"to"`
}

func (s *LinkSpec) setDefaults() {}

func (s *LinkSpec) name() string { return s.Name }

// An OverrideSpec replaces the sheet's sizes of the pool that it is named for.
type OverrideSpec struct {
	Name    string    `json:"name"`
	Decode  int       `json:"decode"`
	Prefill int       `json:"prefill"`
	Until   time.Time `json:"until,omitzero"`
}

func (s *OverrideSpec) setDefaults() {}

func (s *OverrideSpec) name() string { return s.Name }

// A PinSpec holds the endpoint that it is named for in a role with models.
type PinSpec struct {
	Name   string             `json:"name"`
	Models []string           `json:"models,omitempty"`
	Role   persimmoncart.Role `json:"role,omitzero"`
}

func (s *PinSpec) setDefaults() {}

func (s *PinSpec) name() string { return s.Name }

// A PoolSpec is a set of endpoints that serve the same models or calls.
type PoolSpec struct {
	Name             string             `json:"name"`
	Decode           int                `json:"decode,omitempty"`
	FirstTokenTarget Duration           `json:"first,omitempty"` // to the first token
	Models           []string           `json:"models,omitempty"`
	TokenGapTarget   Duration           `json:"pace,omitempty"` // between tokens
	Prefill          int                `json:"prefill,omitempty"`
	Role             persimmoncart.Role `json:"role,omitzero"` // application, or absent
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

// A RouteSpec leads callers to a pool.
type RouteSpec struct {
	Name            string              `json:"name"`
	MaxBodyBytes    int64               `json:"body"` // bytes
	Class           persimmoncart.Class `json:"class"`
	Hedge           bool                `json:"hedge,omitempty"`
	MaxOutputTokens int                 `json:"limit,omitempty"` // output tokens
	Models          []string            `json:"models,omitempty"`
	Pool            string              `json:"pool"`
	Idempotent      bool                `json:"repeat,omitempty"`
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

// A SheetSpec is the demand plan of one day, named by its date.
type SheetSpec struct {
	Name string    `json:"name"` // 2006-01-02
	Rows []RowSpec `json:"rows"`
}

func (s *SheetSpec) setDefaults() {}

func (s *SheetSpec) name() string { return s.Name }

// A RowSpec is the plan of one pool and model over a span of the day.
type RowSpec struct {
	Decode  int       `json:"decode"`
	From    time.Time `json:"from"`
	Model   string    `json:"model"`
	Pool    string    `json:"pool"`
	Prefill int       `json:"prefill"`
	Rate    float64   `json:"rate"` // expected requests a second
	To      time.Time `json:"to"`
}

// A Duration is a time.Duration that files write as "1.5s".
type Duration time.Duration

// String returns the duration as files write it.
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

// A KeyHash is the hash of an API key, written as 64 hexadecimal digits.
type KeyHash persimmoncart.KeyHash

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return KeyHash(sha256.Sum256([]byte(key))) }

// String returns the hash in hexadecimal digits.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *KeyHash) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(strings.TrimPrefix(string(text), "sha256:"))
	if err != nil || len(b) != len(h) {
		return &KeyHashError{Size: len(text)}
	}
	copy(h[:], b)
	return nil
}

// A KeyHashError reports text that is no hash of a key. It does not repeat the
// text, which may be a key that was entered by mistake.
type KeyHashError struct {
	Size int // bytes
}

// Error implements error.
func (e *KeyHashError) Error() string {
	return fmt.Sprintf("text of %d bytes is no key hash; want the SHA-256 of the key as 64 hexadecimal digits", e.Size)
}
