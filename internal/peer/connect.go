package peer

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	loadv1 "github.com/persimmoncart/persimmoncart/proto/load/v1"
	"github.com/persimmoncart/persimmoncart/proto/load/v1/loadv1connect"
	memberv1 "github.com/persimmoncart/persimmoncart/proto/member/v1"
	"github.com/persimmoncart/persimmoncart/proto/member/v1/memberv1connect"
)

// maxClients bounds the cache of clients: the members of a cell and of the
// region's cells with the gateways of other regions stay below it.
const maxClients = 1024

var _ Transport = (*Client)(nil)

// A Client is the Transport over connect-go. Set the fields before the first
// call. It is safe for concurrent use.
type Client struct {
	HTTP   *http.Client // from NewHTTPClient
	Meter  *Meter       // nil counts nothing
	Secure bool         // HTTP has a TLS configuration

	mutex sync.Mutex
	peers map[netip.AddrPort]*peerClients
}

// peerClients are the service peerClients of one peer.
type peerClients struct {
	load   loadv1connect.LoadsClient
	member memberv1connect.MembersClient
}

// Call implements Transport. The callback runs in another goroutine.
func (c *Client) Call(to netip.AddrPort, request proto.Message, timeout time.Duration, done func(proto.Message, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		reply, err := c.peer(to).call(ctx, request)
		if err != nil {
			done(nil, callError(to, timeout, err))
			return
		}
		done(reply, nil)
	}()
}

// peer returns the clients for an address. Connections are cached by HTTP.
func (c *Client) peer(to netip.AddrPort) *peerClients {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p := c.peers[to]; p != nil {
		return p
	}
	if c.peers == nil || len(c.peers) >= maxClients {
		c.peers = map[netip.AddrPort]*peerClients{} // clients hold no connections
	}
	var options []connect.ClientOption
	if c.Meter != nil {
		options = append(options, connect.WithInterceptors(c.Meter.Interceptor()))
	}
	url := URL(to, c.Secure)
	p := &peerClients{
		load:   loadv1connect.NewLoadsClient(c.HTTP, url, options...),
		member: memberv1connect.NewMembersClient(c.HTTP, url, options...),
	}
	c.peers[to] = p
	return p
}

// call sends a request to the method that takes its type.
func (c *peerClients) call(ctx context.Context, request proto.Message) (proto.Message, error) {
	switch r := request.(type) {
	case *memberv1.ProbeRequest:
		return callUnary(ctx, c.member.Probe, r)
	case *memberv1.ProbeViaRequest:
		return callUnary(ctx, c.member.ProbeVia, r)
	case *memberv1.RecordRequest:
		return callUnary(ctx, c.member.Record, r)
	case *memberv1.SummaryRequest:
		return callUnary(ctx, c.member.Summary, r)
	case *loadv1.BorrowRequest:
		return callUnary(ctx, c.load.Borrow, r)
	case *loadv1.ReturnRequest:
		return callUnary(ctx, c.load.Return, r)
	default:
		return nil, &UnknownRequestError{Name: string(request.ProtoReflect().Descriptor().FullName())}
	}
}

// callUnary calls one method with a message and returns the reply's message.
func callUnary[Q, P any, R interface {
	*P
	proto.Message
}](ctx context.Context, method func(context.Context, *connect.Request[Q]) (*connect.Response[P], error), request *Q) (proto.Message, error) {
	response, err := method(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return R(response.Msg), nil
}

// callError returns the Transport's error for an error of connect.
func callError(to netip.AddrPort, timeout time.Duration, err error) error {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return &ConnectionRefusedError{Addr: to}
	case connect.CodeOf(err) == connect.CodeDeadlineExceeded || connect.CodeOf(err) == connect.CodeUnavailable:
		return &TimeoutError{Addr: to, Timeout: timeout}
	default:
		return errors.Wrapf(err, "call %s", to)
	}
}

// A Server serves the services of peers over connect-go.
type Server struct {
	Handler Handler
	Meter   *Meter // nil counts nothing
}

// Routes returns the paths of the services and their handlers.
func (s *Server) Routes() map[string]http.Handler {
	var options []connect.HandlerOption
	if s.Meter != nil {
		options = append(options, connect.WithInterceptors(s.Meter.Interceptor()))
	}
	routes := map[string]http.Handler{}
	path, handler := memberv1connect.NewMembersHandler(memberServer{s.Handler}, options...)
	routes[path] = handler
	path, handler = loadv1connect.NewLoadsHandler(loadServer{s.Handler}, options...)
	routes[path] = handler
	return routes
}

// A memberServer serves member.v1 with a Handler.
type memberServer struct{ handler Handler }

func (s memberServer) Probe(ctx context.Context, r *connect.Request[memberv1.ProbeRequest]) (*connect.Response[memberv1.ProbeReply], error) {
	return serve[memberv1.ProbeReply](ctx, s.handler, r.Msg)
}

func (s memberServer) ProbeVia(ctx context.Context, r *connect.Request[memberv1.ProbeViaRequest]) (*connect.Response[memberv1.ProbeViaReply], error) {
	return serve[memberv1.ProbeViaReply](ctx, s.handler, r.Msg)
}

func (s memberServer) Record(ctx context.Context, r *connect.Request[memberv1.RecordRequest]) (*connect.Response[memberv1.RecordReply], error) {
	return serve[memberv1.RecordReply](ctx, s.handler, r.Msg)
}

func (s memberServer) Summary(ctx context.Context, r *connect.Request[memberv1.SummaryRequest]) (*connect.Response[memberv1.SummaryReply], error) {
	return serve[memberv1.SummaryReply](ctx, s.handler, r.Msg)
}

// A loadServer serves load.v1 with a Handler.
type loadServer struct{ handler Handler }

func (s loadServer) Borrow(ctx context.Context, r *connect.Request[loadv1.BorrowRequest]) (*connect.Response[loadv1.BorrowReply], error) {
	return serve[loadv1.BorrowReply](ctx, s.handler, r.Msg)
}

func (s loadServer) Return(ctx context.Context, r *connect.Request[loadv1.ReturnRequest]) (*connect.Response[loadv1.ReturnReply], error) {
	return serve[loadv1.ReturnReply](ctx, s.handler, r.Msg)
}

// serve passes a request to the handler and waits for its reply.
func serve[P any, R interface {
	*P
	proto.Message
}](ctx context.Context, handler Handler, request proto.Message) (*connect.Response[P], error) {
	type result struct {
		err   error
		reply proto.Message
	}
	results := make(chan result, 1)
	handler.Handle(request, func(reply proto.Message, err error) { results <- result{err, reply} })
	select {
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	case r := <-results:
		if r.err != nil {
			return nil, connect.NewError(connect.CodeUnknown, r.err)
		}
		return connect.NewResponse((*P)(r.reply.(R))), nil
	}
}
