package persimmoncart

import (
	"net/netip"
	"strconv"
)

// BlockTokens is the number of tokens in one block of engine memory.
const BlockTokens = 1024

// Blocks returns the number of memory blocks that the KV cache of the given
// number of tokens occupies.
func Blocks(tokens int) int {
	return (tokens + BlockTokens - 1) / BlockTokens
}

// Capabilities are the checks that an endpoint performs itself, as configured in
// its record.
type Capabilities struct {
	Authenticates bool // verifies the sender of an order
	Deduplicates  bool // runs a call with a repeated idempotency key only once
	Fences        bool // refuses an order or call with an outdated fencing token
}

// An Endpoint is one replica of a pool: a model engine or an application endpoint.
type Endpoint struct {
	Addr         netip.AddrPort
	Blocks       int // memory blocks of an engine; see BlockTokens
	Capabilities Capabilities
	DataCentre   DataCentre
	ID           EndpointID
	Incarnation  Incarnation // of the process that has the ID now; zero if unknown
	Leaving      bool        // shutting down; takes no new requests
	Models       []ModelName
	Pool         PoolName
	Region       Region
	Role         Role
	Slots        int             // requests that can run at the same time
	Software     SoftwareVersion // of the process; what two versions write does not fit together
}

// Roles of endpoints.
const (
	RoleApplication Role = iota + 1
	RoleDecode
	RolePrefill
)

// A Role is the function of an endpoint in its pool.
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

// UnmarshalText implements encoding.TextUnmarshaler. It returns a *RoleError for
// an unknown name.
func (r *Role) UnmarshalText(text []byte) error {
	parsed, err := ParseRole(string(text))
	if err != nil {
		return err
	}
	*r = parsed
	return nil
}

// A RoleError reports an unknown role name.
type RoleError struct {
	Value string
}

// Error implements error.
func (e *RoleError) Error() string {
	return "unknown role " + strconv.Quote(e.Value)
}
