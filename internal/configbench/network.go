package configbench

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart/internal/peer"
	configv1 "github.com/persimmoncart/persimmoncart/proto/config/v1"
	"github.com/persimmoncart/persimmoncart/proto/config/v1/configv1connect"
)

// Bytes of frames and headers of one call over a warm HTTP/2 connection.
const (
	requestHeader = 90
	replyHeader   = 60
)

// A client calls one peer through the in-memory network.
type client struct {
	from *node
	to   netip.AddrPort
}

// client implements peer.Config.Client.
func (n *node) client(to netip.AddrPort) configv1connect.PeersClient {
	return &client{from: n, to: to}
}

// Digest implements configv1connect.PeersClient.
func (c *client) Digest(ctx context.Context, r *connect.Request[configv1.DigestRequest]) (*connect.Response[configv1.DigestReply], error) {
	return call(ctx, c, r, (*peer.ConfigHandler).Digest)
}

// Pull implements configv1connect.PeersClient.
func (c *client) Pull(ctx context.Context, r *connect.Request[configv1.PullRequest]) (*connect.Response[configv1.PullReply], error) {
	return call(ctx, c, r, (*peer.ConfigHandler).Pull)
}

// Push implements configv1connect.PeersClient.
func (c *client) Push(ctx context.Context, r *connect.Request[configv1.PushRequest]) (*connect.Response[configv1.DigestReply], error) {
	return call(ctx, c, r, (*peer.ConfigHandler).Push)
}

// call passes a request and its reply through the network.
func call[Q, R any](ctx context.Context, c *client, r *connect.Request[Q],
	serve func(*peer.ConfigHandler, context.Context, *connect.Request[Q]) (*connect.Response[R], error),
) (*connect.Response[R], error) {
	w := c.from.world
	to := w.byAddr[c.to]
	if to == nil {
		// Half of the dead instances leave a host that refuses connections.
		wait := callTimeout
		if c.to.Addr().As4()[3]%2 == 0 {
			wait = nearLatency
		}
		return nil, c.fail(ctx, wait)
	}
	if err := c.pass(ctx, c.from, to, requestHeader+size(any(r.Msg).(proto.Message))); err != nil {
		return nil, err
	}
	reply, err := serve(to.handler, ctx, r)
	if err != nil {
		return nil, err
	}
	if err := c.pass(ctx, to, c.from, replyHeader+size(any(reply.Msg).(proto.Message))); err != nil {
		return nil, err
	}
	return reply, nil
}

// pass passes one message.
func (c *client) pass(ctx context.Context, from, to *node, bytes int) error {
	w := c.from.world
	w.measure.sent(from.slot, bytes)
	d := w.latency(from.self.Region, to.self.Region)
	if from.self.Region != to.self.Region {
		d += time.Duration(float64(bytes) / farRate * float64(time.Second))
	}
	if err := w.scheduler.Sleep(ctx, d); err != nil {
		return connect.NewError(connect.CodeCanceled, err)
	}
	if !from.alive || !to.alive || !w.reachable(from.self.Region, to.self.Region) {
		return c.fail(ctx, callTimeout)
	}
	return nil
}

// fail returns the error of a call without an answer after some time.
func (c *client) fail(ctx context.Context, after time.Duration) error {
	if err := c.from.world.scheduler.Sleep(ctx, after); err != nil {
		return connect.NewError(connect.CodeCanceled, err)
	}
	return connect.NewError(connect.CodeUnavailable, errUnreachable)
}

// sizes keeps the compressed sizes of messages, which go to many peers.
var sizes = map[uint64]int{}

// size returns the bytes of a message as the transport sends it.
func size(m proto.Message) int {
	n := proto.Size(m)
	if n < peer.ConfigGzipBytes {
		return n
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return n
	}
	key := xxhash.Sum64(data)
	if known := sizes[key]; known > 0 {
		return known
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	_, _ = z.Write(data) // a bytes.Buffer does not fail
	_ = z.Close()
	sizes[key] = b.Len()
	return b.Len()
}
