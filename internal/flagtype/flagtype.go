// Package flagtype holds types of flags and commands that several programs share.
package flagtype

import (
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

var (
	_ flags.Commander   = Command{}
	_ flags.Unmarshaler = (*Address)(nil)
)

// An Address is a flag with an address and port.
type Address struct {
	netip.AddrPort
}

// UnmarshalFlag implements flags.Unmarshaler.
func (a *Address) UnmarshalFlag(value string) error {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil {
		return errors.Wrapf(err, "parse %q", value)
	}
	a.AddrPort = parsed
	return nil
}

// A Command implements flags.Commander for commands that the program starts by
// itself after parsing, because they need a context.
type Command struct{}

// Execute implements flags.Commander.
func (Command) Execute([]string) error { return nil }
