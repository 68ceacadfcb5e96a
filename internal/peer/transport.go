package peer

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
)

// MessageOverhead is the number of bytes counted for each message beside its
// body: HTTP/2 frame headers 18, indexed header fields 20, TLS record 22, TCP
// and IP headers with timestamps 52.
const MessageOverhead = 112

// A Transport sends requests to other instances.
type Transport interface {
	// Call sends the request and calls done once, with the reply or an error,
	// possibly in another goroutine. Errors are *ConnectionRefusedError if nothing listens
	// at the address of a reachable host, and *TimeoutError if no answer arrived
	// within timeout.
	Call(to netip.AddrPort, request proto.Message, timeout time.Duration, done func(proto.Message, error))
}

// A Handler answers requests of other instances.
type Handler interface {
	// Handle calls respond once, possibly later and in another goroutine.
	Handle(request proto.Message, respond func(proto.Message, error))
}

// A Mux passes requests to the handler of their service, by service name.
type Mux map[string]Handler

// Handle implements Handler.
func (m Mux) Handle(request proto.Message, respond func(proto.Message, error)) {
	h, found := m[ServiceName(request)]
	if !found {
		respond(nil, &UnknownRequestError{Name: string(request.ProtoReflect().Descriptor().FullName())})
		return
	}
	h.Handle(request, respond)
}

// ServiceName returns the subsystem that a message belongs to: the first part of
// its protobuf package, as "member" for member.v1.ProbeRequest.
func ServiceName(message proto.Message) string {
	name, _, _ := strings.Cut(string(message.ProtoReflect().Descriptor().FullName()), ".")
	return name
}

// MessageSize returns the number of bytes counted for a message.
func MessageSize(message proto.Message) int {
	return MessageOverhead + proto.Size(message)
}

// A ConnectionRefusedError reports that no process listens at an address whose host answers.
type ConnectionRefusedError struct {
	Addr netip.AddrPort
}

// Error implements error.
func (e *ConnectionRefusedError) Error() string {
	return fmt.Sprintf("connection to %s refused", e.Addr)
}

// A TimeoutError reports that no answer arrived in time.
type TimeoutError struct {
	Addr    netip.AddrPort
	Timeout time.Duration
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("no answer from %s within %s", e.Addr, e.Timeout)
}

// An UnknownRequestError reports a request that no handler serves.
type UnknownRequestError struct {
	Name string
}

// Error implements error.
func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no handler for %s", e.Name)
}
