package transport

import (
	"errors"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// A probedConn is a connection whose writes call probe and then fail.
type probedConn struct {
	net.Conn
	probe func()
}

// Write implements net.Conn.
func (c *probedConn) Write([]byte) (int, error) {
	c.probe()
	return 0, errors.New("closed")
}

// Guards against a call that is abandoned during its write and counts as not
// sent, although its bytes may have left the process.
func TestSentDuringWrite(t *testing.T) {
	s, during := &SendTracker{}, false
	c := &countingConn{Conn: &probedConn{probe: func() { during = s.Sent() }}}
	s.add(c)
	_, err := c.Write([]byte("x"))
	assert.ErrorContains(t, err, "closed")
	assert.Assert(t, during)
	assert.Assert(t, !s.Sent())
}
