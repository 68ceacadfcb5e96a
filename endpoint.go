package persimmoncart

import (
	"net/netip"
	"strconv"
)

// BlockTokens is the number of tokens in one block of engine memory.
const BlockTokens = 1024

// Blocks returns the number of memory blocks that tokens tokens occupy.
func Blocks(tokens int) int {
	return (tokens + BlockTokens - 1) / BlockTokens
}

// Capabilities are the properties of an endpoint that its record states.
type Capabilities struct {
	Authenticates bool // checks who sends an order
	Deduplicates  bool // recognises a repeated idempotency key by itself
	Fences        bool // refuses an order or call with an old fencing token
}

// An Endpoint is one replica: a model engine or an application endpoint.
type Endpoint struct {
	Addr         netip.AddrPort
	Blocks       int // memory blocks of an engine
	Capabilities Capabilities
	DataCentre   DataCentre
	ID           EndpointID
	Incarnation  Incarnation // of the process behind ID; zero if unknown
	Leaving      bool
	Models       []ModelName
	Pool         PoolName
	Region       Region
	Role         Role
	Slots        int // requests that run at the same time
}

// Roles of endpoints.
const (
	RoleApplication Role = iota + 1
	RoleDecode
	RolePrefill
)

// A Role is what an endpoint does in its pool.
type Role uint8

// ParseRole returns the Role with the given name. It returns a *RoleError for
// other names.
func ParseRole(name string) (Role, error) {
	for _, r := range []Role{RoleApplication, RoleDecode, RolePrefill} {
		if r.String() == name {
			return r, nil
		}
	}
	return 0, &RoleError{Value: name}
}

// String returns the name of the role in configuration files.
func (r Role) String() string {
	switch r {
	case RoleApplication:
		return "application"
	case RoleDecode:
		return "decode"
	case RolePrefill:
		return "prefill"
	default:
		return "role(" + strconv.Itoa(int(r)) + ")"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (r Role) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Role) UnmarshalText(text []byte) error {
	parsed, err := ParseRole(string(text))
	if err != nil {
		return err
	}
	*r = parsed
	return nil
}

// A RoleError reports the name of no role.
type RoleError struct {
	Value string
}

// Error implements error.
func (e *RoleError) Error() string {
	return "unknown role " + strconv.Quote(e.Value)
}
