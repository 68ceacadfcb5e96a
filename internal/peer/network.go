package peer

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart"
)

// States of a Port.
const (
	PortOpen         PortState = iota // requests are handled
	PortRefused                       // the process is gone and its host is up
	PortUnresponsive                  // the host is gone, or the process is paused
)

// A PortState says how a Port treats requests.
type PortState uint8

// A Network carries messages between the Ports of one process, for tests and
// harnesses. Messages are marshalled, as on a real network.
//
// Handlers and callbacks run in the goroutine that drives the timer. Ports are
// safe for concurrent use; the fields of the Network are set before that or in
// the driving goroutine while nothing else runs.
type Network struct {
	Delay       func(from, to netip.AddrPort) time.Duration // one way; nil is 1 ms
	Drop        float64                                     // share of messages that are lost
	Duplicate   float64                                     // share of requests that arrive twice
	Partitioned func(from, to netip.AddrPort) bool          // nil cuts nothing
	Rand        *rand.Rand                                  // needed for Drop and Duplicate
	Timer       persimmoncart.Timer
	mutex       sync.Mutex
	ports       map[netip.AddrPort]*Port
}

// copies returns how often a request arrives.
func (n *Network) copies() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.Duplicate > 0 && n.Rand.Float64() < n.Duplicate {
		return 2
	}
	return 1
}

// Port returns the port at addr and creates it when needed.
func (n *Network) Port(addr netip.AddrPort) *Port {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.ports == nil {
		n.ports = map[netip.AddrPort]*Port{}
	}
	p := n.ports[addr]
	if p == nil {
		p = &Port{addr: addr, network: n, sent: map[string]int{}}
		n.ports[addr] = p
	}
	return p
}

// delay returns the delay of a message, or false if it is lost.
func (n *Network) delay(from, to netip.AddrPort) (time.Duration, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.Partitioned != nil && n.Partitioned(from, to) {
		return 0, false
	}
	if n.Drop > 0 && n.Rand.Float64() < n.Drop {
		return 0, false
	}
	if n.Delay == nil {
		return time.Millisecond, true
	}
	return n.Delay(from, to), true
}

// A Port is the connection of one instance to a Network.
type Port struct {
	Handler Handler

	addr     netip.AddrPort
	messages int
	network  *Network
	process  int // counts the processes that have used the port
	sent     map[string]int
	state    PortState
}

// BytesSent returns the bytes sent, by service.
func (p *Port) BytesSent() map[string]int {
	p.network.mutex.Lock()
	defer p.network.mutex.Unlock()
	return maps.Clone(p.sent)
}

// Call implements Transport.
func (p *Port) Call(to netip.AddrPort, request proto.Message, timeout time.Duration, done func(proto.Message, error)) {
	n := p.network
	body := p.countSent(request)
	c := &networkCall{done: done, port: p, process: p.currentProcess(), timeoutErr: &TimeoutError{Addr: to, Timeout: timeout}}
	n.Timer.After(timeout, func(time.Time) { c.finish(nil, c.timeoutErr) })
	if p.State() != PortOpen {
		return
	}
	for range n.copies() {
		if d, arrives := n.delay(p.addr, to); arrives {
			n.Timer.After(d, func(time.Time) { p.deliver(to, request, body, c.finish) })
		}
	}
}

// MessagesSent returns the number of messages sent.
func (p *Port) MessagesSent() int {
	p.network.mutex.Lock()
	defer p.network.mutex.Unlock()
	return p.messages
}

// SetState sets how the port treats requests. The process that uses it goes on.
func (p *Port) SetState(state PortState) {
	p.network.mutex.Lock()
	defer p.network.mutex.Unlock()
	p.state = state
}

// State returns how the port treats requests.
func (p *Port) State() PortState {
	p.network.mutex.Lock()
	defer p.network.mutex.Unlock()
	return p.state
}

// StopProcess ends the process that uses the port: its calls in flight never return.
func (p *Port) StopProcess(state PortState) {
	p.network.mutex.Lock()
	defer p.network.mutex.Unlock()
	p.process++
	p.state = state
}

// TotalBytesSent returns the bytes sent for all services.
func (p *Port) TotalBytesSent() int {
	p.network.mutex.Lock()
	defer p.network.mutex.Unlock()
	total := 0
	for _, s := range p.sent {
		total += s
	}
	return total
}

// countSent adds a message to the counters and returns its body.
func (p *Port) countSent(message proto.Message) []byte {
	body, err := proto.Marshal(message)
	if err != nil {
		panic(err) // messages are built by this program and always marshal
	}
	p.network.mutex.Lock()
	defer p.network.mutex.Unlock()
	p.messages++
	p.sent[ServiceName(message)] += MessageOverhead + len(body)
	return body
}

// currentProcess returns the number of the process that uses the port.
func (p *Port) currentProcess() int {
	p.network.mutex.Lock()
	defer p.network.mutex.Unlock()
	return p.process
}

// deliver hands a request to the port at to.
func (p *Port) deliver(to netip.AddrPort, request proto.Message, body []byte, finish func(proto.Message, error)) {
	n := p.network
	q := n.Port(to)
	state := q.State()
	if state == PortUnresponsive {
		return
	}
	back := func(reply proto.Message, err error) {
		if d, arrives := n.delay(to, p.addr); arrives {
			n.Timer.After(d, func(time.Time) { finish(reply, err) })
		}
	}
	if state == PortRefused || q.Handler == nil {
		back(nil, &ConnectionRefusedError{Addr: to})
		return
	}
	q.Handler.Handle(clone(request, body), func(reply proto.Message, err error) {
		if q.State() != PortOpen {
			return
		}
		if err != nil {
			back(nil, err)
			return
		}
		back(clone(reply, q.countSent(reply)), nil)
	})
}

// A networkCall is one call in flight.
type networkCall struct {
	done       func(proto.Message, error)
	ended      bool // only used in the driving goroutine
	port       *Port
	process    int
	timeoutErr error
}

// finish ends the call once. A paused process sees no answer but its timeout.
func (c *networkCall) finish(reply proto.Message, err error) {
	if c.ended {
		return
	}
	c.ended = true
	switch {
	case c.port.currentProcess() != c.process:
	case c.port.State() != PortOpen:
		c.done(nil, c.timeoutErr)
	default:
		c.done(reply, err)
	}
}

// clone returns a message of the same type as message, read from body.
func clone(message proto.Message, body []byte) proto.Message {
	c := message.ProtoReflect().New().Interface()
	if err := proto.Unmarshal(body, c); err != nil {
		panic(err) // body was marshalled from the same type
	}
	return c
}
