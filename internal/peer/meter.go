package peer

import (
	"context"
	"sync"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
)

// A Meter counts the bytes of the messages that this instance sends: requests
// at the client and replies at the handler. It is safe for concurrent use.
type Meter struct {
	mutex sync.Mutex
	sent  map[string]int64
}

// Count adds a message and returns the number of bytes counted for it.
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

// BytesSent returns the bytes sent so far, by service.
func (m *Meter) BytesSent() map[string]int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	sent := make(map[string]int64, len(m.sent))
	for s, n := range m.sent {
		sent[s] = n
	}
	return sent
}

// Interceptor returns an interceptor for clients and handlers that counts.
func (m *Meter) Interceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			client := request.Spec().IsClient
			if message, is := request.Any().(proto.Message); is && client {
				m.Count(message)
			}
			response, err := next(ctx, request)
			if err != nil || client {
				return response, err
			}
			if message, is := response.Any().(proto.Message); is {
				m.Count(message)
			}
			return response, nil
		}
	}
}
