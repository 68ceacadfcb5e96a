package transport

import (
	"errors"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// A probedConn calls probe in the middle of each write, which then fails.
type probedConn struct {
	net.Conn
	probe func()
}

// Write implements net.Conn.
func (c *probedConn) Write([]byte) (int, error) {
	c.probe()
	return 0, errors.New("closed")
}

// Guards against a call that is given up during its write and counts as not
// sent while its bytes may be on their way.
func TestSentDuringWrite(t *testing.T) {
	s, during := &SendTracker{}, false
	c := &countingConn{Conn: &probedConn{probe: func() { during = s.Sent() }}}
	s.add(c)
	_, err := c.Write([]byte("x"))
	assert.ErrorContains(t, err, "closed")
	assert.Assert(t, during)
	assert.Assert(t, !s.Sent())
}
