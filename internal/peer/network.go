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

// How a Port treats requests.
const (
	PortOpen         PortState = iota // passes requests to the handler
	PortRefused                       // refuses connections: no process runs, but the host is up
	PortUnresponsive                  // never replies: the host is down, or the process is paused
)

// A PortState is how a Port treats requests.
type PortState uint8

// A Network is an in-memory network that carries messages between Ports, for
// tests and simulations. It marshals the messages, as a real network does.
//
// Handlers and callbacks run in the goroutine that advances the timer. Ports are
// safe for concurrent use. The fields of the Network are set before its first
// use, or in the goroutine that advances the timer while nothing else runs.
type Network struct {
	Delay       func(from, to netip.AddrPort) time.Duration // of a message, one way; nil means 1 ms
	Drop        float64                                     // share of messages that are lost, from 0 to 1
	Duplicate   float64                                     // share of requests that arrive twice, from 0 to 1
	Partitioned func(from, to netip.AddrPort) bool          // whether all messages in this direction are lost; nil means never
	Rand        *rand.Rand                                  // required with Drop or Duplicate
	Timer       persimmoncart.Timer
	mutex       sync.Mutex
	ports       map[netip.AddrPort]*Port
}

// copies returns how many copies of a request arrive: 2 if it is duplicated,
// otherwise 1.
func (n *Network) copies() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.Duplicate > 0 && n.Rand.Float64() < n.Duplicate {
		return 2
	}
	return 1
}

// Port returns the port at addr, which it creates when needed.
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

// A Port connects one instance to a Network. It implements Transport.
type Port struct {
	Handler Handler // nil refuses requests

	addr     netip.AddrPort
	messages int // messages sent
	network  *Network
	process  int            // number of processes that StopProcess has ended
	sent     map[string]int // bytes by service
	state    PortState
}

// BytesSent returns the number of bytes sent, by service name.
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
		if delay, arrives := n.delay(p.addr, to); arrives {
			n.Timer.After(delay, func(time.Time) { p.deliver(to, request, body, c.finish) })
		}
	}
}

// MessagesSent returns the number of messages sent.
func (p *Port) MessagesSent() int {
	p.network.mutex.Lock()
	defer p.network.mutex.Unlock()
	return p.messages
}

// SetState sets how the port treats requests. Unlike StopProcess it keeps the
// calls in flight.
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

// StopProcess ends the process that uses the port, so that its calls in flight
// never return, and sets how the port treats requests from then on.
func (p *Port) StopProcess(state PortState) {
	p.network.mutex.Lock()
	defer p.network.mutex.Unlock()
	p.process++
	p.state = state
}

// TotalBytesSent returns the number of bytes sent for all services.
func (p *Port) TotalBytesSent() int {
	p.network.mutex.Lock()
	defer p.network.mutex.Unlock()
	total := 0
	for _, bytes := range p.sent {
		total += bytes
	}
	return total
}

// countSent counts a message that is sent and returns it marshalled.
func (p *Port) countSent(message proto.Message) []byte {
	body, err := proto.Marshal(message)
	if err != nil {
		panic(err) // messages of the program's own types can always be marshalled
	}
	p.network.mutex.Lock()
	defer p.network.mutex.Unlock()
	p.messages++
	p.sent[ServiceName(message)] += MessageOverhead + len(body)
	return body
}

// currentProcess returns the number of the process that uses the port; each
// process that uses the same port later has a higher one.
func (p *Port) currentProcess() int {
	p.network.mutex.Lock()
	defer p.network.mutex.Unlock()
	return p.process
}

// deliver passes a request to the handler of the port at to and sends its reply
// back to finish.
func (p *Port) deliver(to netip.AddrPort, request proto.Message, body []byte, finish func(proto.Message, error)) {
	n := p.network
	target := n.Port(to)
	state := target.State()
	if state == PortUnresponsive {
		return
	}
	sendBack := func(reply proto.Message, err error) {
		if delay, arrives := n.delay(to, p.addr); arrives {
			n.Timer.After(delay, func(time.Time) { finish(reply, err) })
		}
	}
	if state == PortRefused || target.Handler == nil {
		sendBack(nil, &ConnectionRefusedError{Addr: to})
		return
	}
	target.Handler.Handle(clone(request, body), func(reply proto.Message, err error) {
		if target.State() != PortOpen {
			return
		}
		if err != nil {
			sendBack(nil, err)
			return
		}
		sendBack(clone(reply, target.countSent(reply)), nil)
	})
}

// A networkCall is a call in flight.
type networkCall struct {
	done       func(proto.Message, error)
	ended      bool // only used in the goroutine that advances the timer
	port       *Port
	process    int // number of the calling process
	timeoutErr error
}

// finish ends the call with a reply or an error, unless it has ended already. If
// the port is not open by then, the caller gets the timeout in place of the reply;
// if the calling process has been stopped, nothing is called.
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

// clone returns a message of the type of message, unmarshalled from body.
func clone(message proto.Message, body []byte) proto.Message {
	c := message.ProtoReflect().New().Interface()
	if err := proto.Unmarshal(body, c); err != nil {
		panic(err) // body was marshalled from the same type
	}
	return c
}
