package inbound

import (
	"bytes"

	"github.com/persimmoncart/persimmoncart"
)

// recordRead records a read of up to size bytes and returns the phase.
func (c *Conn) recordRead(p []byte, size int) phase {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if size > 1 { // net/http waits for the end of the connection by a read of one byte
		c.lastRead = 0
	}
	c.lastRead += headCost(p[:min(len(p), readAhead)])
	return c.phase
}

// startHead records that the head of a request begins.
func (c *Conn) startHead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.awaitHead()
	if !c.readsCut {
		_ = c.Conn.SetReadDeadline(c.headStart.Add(c.limits.headerTime)) // fails only on a closed connection
	}
}

// awaitHead begins phaseHead. The caller holds the mutex.
func (c *Conn) awaitHead() {
	c.headBytes, c.headStart, c.phase = 0, c.guard.Timer.Now(), phaseHead
	c.hold.Wait(c.headStart)
}

// readHead counts bytes of a head. The connection is dismissed if they do not fit.
func (c *Conn) readHead(p []byte, err error) (int, error) {
	switch {
	case c.isCut():
		return 0, c.refuseCut()
	case err != nil:
		if isTimeout(err) && c.headBytes > 0 {
			c.guard.reportCut(persimmoncart.RefusalProgress, phaseHead)
		}
		return len(p), err
	}
	c.headBytes += len(p)
	if limit := c.limits.headerBytes; limit > 0 && c.headBytes > limit {
		c.guard.refuse(persimmoncart.RefusalHeadTooLarge, phaseHead)
		return 0, c.dismiss(responseHeaderTooLarge)
	}
	if !c.takeHead(c.headCharge+headCost(p)) && (!c.listener.checks || c.headCharge > smallHead) {
		c.guard.refuse(persimmoncart.RefusalMemory, phaseHead)
		return 0, c.dismiss(responseNotRun)
	}
	return len(p), nil
}

// refuseCut responds to a head that has waited for its client and is cut, and returns the
// error of the read. Nothing is left to be read, so that the response is not lost when
// net/http closes the connection.
func (c *Conn) refuseCut() error {
	c.mutex.Lock()
	first := !c.broken
	c.broken = true
	c.mutex.Unlock()
	if first {
		c.guard.Metrics.CountRefusal(persimmoncart.RefusalMemory) // cut has logged it
		if c.Conn.SetWriteDeadline(c.guard.Timer.Now().Add(refuseTime)) == nil {
			_, _ = c.Conn.Write([]byte(responseNotRun)) // a client that is gone needs none
		}
	}
	return c.readError(errCut)
}

// dismiss responds to a head that has not been read to its end, and returns the error of
// the read. The request has not run.
func (c *Conn) dismiss(response string) error {
	c.mutex.Lock()
	c.broken, c.readsCut, c.dismissed = true, true, true
	c.mutex.Unlock()
	c.guard.dismiss(c.Conn, response, false)
	return c.readError(errCut)
}

// giveHead gives back what is taken for heads, up to the given cost.
func (c *Conn) giveHead(left int64) {
	if c.headCharge > left {
		c.hold.Give(c.kind, c.headCharge-left)
		c.headCharge = left
	}
}

// takeHead sets what is taken for heads to the given cost. It reports false if that does
// not fit.
func (c *Conn) takeHead(cost int64) bool {
	if cost <= c.headCharge {
		c.giveHead(cost)
		return true
	}
	if !c.hold.Take(c.kind, cost-c.headCharge) {
		return false
	}
	c.headCharge = cost
	return true
}

// headCost returns what bytes of a head cost.
func headCost(p []byte) int64 { return int64(len(p) + bytes.Count(p, []byte("\n"))*fieldCost) }
