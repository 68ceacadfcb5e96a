// Package flagtype provides types for the flags of several programs.
package flagtype

import (
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

var _ flags.Unmarshaler = (*Address)(nil)

// An Address is a flag whose value is an IP address with a port.
type Address struct {
	netip.AddrPort
}

// UnmarshalFlag implements flags.Unmarshaler. It returns an error if value isn't
// an IP address with a port.
func (a *Address) UnmarshalFlag(value string) error {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil {
		return errors.Wrapf(err, "parse %q", value)
	}
	a.AddrPort = parsed
	return nil
}
