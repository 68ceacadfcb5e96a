package peer

import (
	"context"
	"sync"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
)

// A Meter counts the bytes of the messages that this instance sends: the
// requests of its clients and the replies of its handlers. It is safe for
// concurrent use.
type Meter struct {
	mutex sync.Mutex
	sent  map[string]int64 // bytes by service
}

// Count adds the size of a message that is sent and returns it in bytes.
func (m *Meter) Count(message proto.Message) int {
	n := MessageSize(message)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.sent == nil {
		m.sent = map[string]int64{}
	}
	m.sent[ServiceName(message)] += int64(n)
	return n
}

// BytesSent returns the number of bytes sent so far, by service name.
func (m *Meter) BytesSent() map[string]int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	sent := make(map[string]int64, len(m.sent))
	for service, n := range m.sent {
		sent[service] = n
	}
	return sent
}

// Interceptor returns an interceptor for clients and handlers that counts the
// messages they send.
func (m *Meter) Interceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			client := request.Spec().IsClient
			if message, ok := request.Any().(proto.Message); ok && client {
				m.Count(message)
			}
			response, err := next(ctx, request)
			if err != nil || client {
				return response, err
			}
			if message, ok := response.Any().(proto.Message); ok {
				m.Count(message)
			}
			return response, nil
		}
	}
}
