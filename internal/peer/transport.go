package peer

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
)

// MessageOverhead is the estimated number of bytes on the wire for each message
// in addition to its body: HTTP/2 frame headers 18, indexed header fields 20,
// TLS record 22, TCP and IP headers with timestamps 52.
const MessageOverhead = 112

// A Transport sends requests to other instances.
type Transport interface {
	// Call sends the request and calls done once, with the reply or an error,
	// possibly in another goroutine. The error is a *ConnectionRefusedError if
	// the host is reachable and nothing listens at the address, and a
	// *TimeoutError if the peer is unreachable or did not reply within timeout.
	Call(to netip.AddrPort, request proto.Message, timeout time.Duration, done func(proto.Message, error))
}

// A Handler handles requests of other instances.
type Handler interface {
	// Handle calls respond once with the reply or an error, possibly after it has
	// returned and in another goroutine.
	Handle(request proto.Message, respond func(proto.Message, error))
}

// A Mux passes each request to the handler of its service. The keys are service
// names, as ServiceName returns them.
type Mux map[string]Handler

// Handle implements Handler. It responds with an *UnknownRequestError if the
// service has no handler.
func (m Mux) Handle(request proto.Message, respond func(proto.Message, error)) {
	h, found := m[ServiceName(request)]
	if !found {
		respond(nil, &UnknownRequestError{Name: string(request.ProtoReflect().Descriptor().FullName())})
		return
	}
	h.Handle(request, respond)
}

// ServiceName returns the name of the service that a message belongs to: the
// first component of its protobuf package, such as "member" for
// member.v1.ProbeRequest.
func ServiceName(message proto.Message) string {
	name, _, _ := strings.Cut(string(message.ProtoReflect().Descriptor().FullName()), ".")
	return name
}

// MessageSize returns the estimated size of a message on the wire, in bytes.
func MessageSize(message proto.Message) int {
	return MessageOverhead + proto.Size(message)
}

// A ConnectionRefusedError reports that a host is reachable, but no process
// listens at the address.
type ConnectionRefusedError struct {
	Addr netip.AddrPort
}

// Error implements error.
func (e *ConnectionRefusedError) Error() string {
	return fmt.Sprintf("connection to %s refused", e.Addr)
}

// A TimeoutError reports that no reply arrived in time, or that the peer was
// unreachable.
type TimeoutError struct {
	Addr    netip.AddrPort
	Timeout time.Duration
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("no reply from %s within %s", e.Addr, e.Timeout)
}

// An UnknownRequestError reports a request of a type that no handler serves.
type UnknownRequestError struct {
	Name string // full name of the protobuf message
}

// Error implements error.
func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no handler for %s", e.Name)
}
