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

// maxClients bounds the cache of clients, in instances. The peers of one
// instance, which are the members of the cells of its region and the gateways
// of other regions, are fewer. A full cache is cleared.
const maxClients = 1024

var _ Transport = (*Client)(nil)

// A Client implements Transport over connect-go. It is safe for concurrent use;
// its fields are set before the first call.
type Client struct {
	HTTP   *http.Client // from NewHTTPClient
	Meter  *Meter       // optional; counts the bytes sent
	Secure bool         // whether HTTP uses TLS

	mutex sync.Mutex
	peers map[netip.AddrPort]*peerClients
}

// peerClients holds the service clients of one instance.
type peerClients struct {
	load   loadv1connect.LoadsClient
	member memberv1connect.MembersClient
}

// Call implements Transport. It calls done in another goroutine.
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

// peer returns the service clients for an address and creates them when needed.
func (c *Client) peer(to netip.AddrPort) *peerClients {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if clients := c.peers[to]; clients != nil {
		return clients
	}
	if c.peers == nil || len(c.peers) >= maxClients {
		c.peers = map[netip.AddrPort]*peerClients{} // costs no connections: HTTP pools them
	}
	var options []connect.ClientOption
	if c.Meter != nil {
		options = append(options, connect.WithInterceptors(c.Meter.Interceptor()))
	}
	url := URL(to, c.Secure)
	clients := &peerClients{
		load:   loadv1connect.NewLoadsClient(c.HTTP, url, options...),
		member: memberv1connect.NewMembersClient(c.HTTP, url, options...),
	}
	c.peers[to] = clients
	return clients
}

// call calls the service method for the type of the request. It returns an
// *UnknownRequestError if there is none.
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

// callUnary calls a unary method with a message and returns the reply message.
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

// callError returns the error that Transport specifies for an error of connect.
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

// A Server serves the member and load services to other instances over
// connect-go.
type Server struct {
	Handler Handler
	Meter   *Meter // optional; counts the bytes sent
}

// Routes returns the HTTP handlers of the services by their paths.
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

// A memberServer passes the requests of the member.v1 service to a Handler.
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

// A loadServer passes the requests of the load.v1 service to a Handler.
type loadServer struct{ handler Handler }

func (s loadServer) Borrow(ctx context.Context, r *connect.Request[loadv1.BorrowRequest]) (*connect.Response[loadv1.BorrowReply], error) {
	return serve[loadv1.BorrowReply](ctx, s.handler, r.Msg)
}

func (s loadServer) Return(ctx context.Context, r *connect.Request[loadv1.ReturnRequest]) (*connect.Response[loadv1.ReturnReply], error) {
	return serve[loadv1.ReturnReply](ctx, s.handler, r.Msg)
}

// serve passes a request to the handler and waits for its reply, or until ctx is
// done.
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
