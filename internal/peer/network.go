package peer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart"
)

// States of a Port.
const (
	PortOpen    PortState = iota // requests are handled
	PortRefused                  // the process is gone and its host is up
	PortSilent                   // the host is gone, or the process is paused
)

// A PortState says how a Port treats requests.
type PortState uint8

// A Network carries messages between the Ports of one process, for tests and
// harnesses. Messages are marshalled, as on a real network.
//
// It runs in the goroutine that drives the timer and is not safe for others.
type Network struct {
	Cut       func(from, to netip.AddrPort) bool          // nil cuts nothing
	Delay     func(from, to netip.AddrPort) time.Duration // one way; nil is 1 ms
	Drop      float64                                     // share of messages that are lost
	Duplicate float64                                     // share of requests that arrive twice
	Rand      *rand.Rand                                  // needed for Drop and Duplicate
	Timer     persimmoncart.Timer
	ports     map[netip.AddrPort]*Port
}

// Port returns the port at addr and creates it when needed.
func (n *Network) Port(addr netip.AddrPort) *Port {
	if n.ports == nil {
		n.ports = map[netip.AddrPort]*Port{}
	}
	p := n.ports[addr]
	if p == nil {
		p = &Port{Sent: map[string]int{}, addr: addr, network: n}
		n.ports[addr] = p
	}
	return p
}

// delay returns the delay of a message, or false if it is lost.
func (n *Network) delay(from, to netip.AddrPort) (time.Duration, bool) {
	if n.Cut != nil && n.Cut(from, to) {
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
	Handler  Handler
	Messages int            // messages sent
	Sent     map[string]int // bytes sent, by service
	State    PortState
	addr     netip.AddrPort
	network  *Network
}

// Call implements Transport.
func (p *Port) Call(to netip.AddrPort, request proto.Message, timeout time.Duration, done func(proto.Message, error)) {
	n := p.network
	body := p.count(request)
	open := true
	var stop func()
	finish := func(reply proto.Message, err error) {
		if !open {
			return
		}
		open = false
		stop()
		// A paused or ended process does not see the result.
		if p.State == PortOpen {
			done(reply, err)
		}
	}
	stop = n.Timer.After(timeout, func(time.Time) {
		finish(nil, &SilentError{Addr: to, Timeout: timeout})
	})
	if p.State != PortOpen {
		return
	}
	copies := 1
	if n.Duplicate > 0 && n.Rand.Float64() < n.Duplicate {
		copies = 2
	}
	for range copies {
		d, arrives := n.delay(p.addr, to)
		if !arrives {
			continue
		}
		n.Timer.After(d, func(time.Time) { p.deliver(to, request, body, finish) })
	}
}

// TotalSent returns the bytes sent for all services.
func (p *Port) TotalSent() int {
	total := 0
	for _, s := range p.Sent {
		total += s
	}
	return total
}

// count adds a message to the counters and returns its body.
func (p *Port) count(message proto.Message) []byte {
	body, err := proto.Marshal(message)
	if err != nil {
		panic(err) // messages are built by this program and always marshal
	}
	p.Messages++
	p.Sent[ServiceOf(message)] += MessageOverhead + len(body)
	return body
}

// deliver hands a request to the port at to.
func (p *Port) deliver(to netip.AddrPort, request proto.Message, body []byte, finish func(proto.Message, error)) {
	n := p.network
	q := n.ports[to]
	if q == nil || q.State == PortSilent {
		return
	}
	back := func(reply proto.Message, err error) {
		if d, arrives := n.delay(to, p.addr); arrives {
			n.Timer.After(d, func(time.Time) { finish(reply, err) })
		}
	}
	if q.State == PortRefused || q.Handler == nil {
		back(nil, &RefusedError{Addr: to})
		return
	}
	q.Handler.Handle(clone(request, body), func(reply proto.Message, err error) {
		if q.State != PortOpen {
			return
		}
		if err != nil {
			back(nil, err)
			return
		}
		back(clone(reply, q.count(reply)), nil)
	})
}

// clone returns a message of the same type as message, read from body.
func clone(message proto.Message, body []byte) proto.Message {
	c := message.ProtoReflect().New().Interface()
	if err := proto.Unmarshal(body, c); err != nil {
		panic(err) // body was marshalled from the same type
	}
	return c
}
