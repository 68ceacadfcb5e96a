package peer_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/peer"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	loadv1 "github.com/persimmoncart/persimmoncart/proto/load/v1"
	memberv1 "github.com/persimmoncart/persimmoncart/proto/member/v1"
)

// An echoHandler replies to every type of request, with a number taken from the
// request where the reply has one.
type echoHandler struct{}

func (echoHandler) Handle(request proto.Message, respond func(proto.Message, error)) {
	switch r := request.(type) {
	case *memberv1.ProbeRequest:
		respond(&memberv1.ProbeReply{Sequence: r.GetSequence()}, nil)
	case *memberv1.ProbeViaRequest:
		respond(&memberv1.ProbeViaReply{Result: memberv1.Result_ANSWERED}, nil)
	case *memberv1.RecordRequest:
		respond(&memberv1.RecordReply{Record: &memberv1.CellRecord{Epoch: r.GetAfter() + 1}}, nil)
	case *memberv1.SummaryRequest:
		respond(&memberv1.SummaryReply{HaveVersion: r.GetCell().GetVersion()}, nil)
	case *loadv1.BorrowRequest:
		respond(&loadv1.BorrowReply{Digest: &loadv1.Digest{Sequence: r.GetId()}}, nil)
	case *loadv1.ReturnRequest:
		respond(&loadv1.ReturnReply{}, nil)
	}
}

// Guards against a request type that Client or Network does not carry, and
// against counters of sent bytes that differ between the two.
func TestTransports(t *testing.T) {
	defer goleak.VerifyNone(t)
	mux := peer.Mux{"load": echoHandler{}, "member": echoHandler{}}
	serverMeter := &peer.Meter{}
	routes := http.NewServeMux()
	for path, handler := range (&peer.Server{Handler: mux, Meter: serverMeter}).Routes() {
		routes.Handle(path, handler)
	}
	server := httptest.NewUnstartedServer(routes)
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	client := &peer.Client{HTTP: peer.NewHTTPClient(nil), Meter: &peer.Meter{}}
	defer client.HTTP.CloseIdleConnections()

	v := timer.NewVirtual(time.Unix(0, 0))
	network := &peer.Network{Timer: v}
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	network.Port(addr).Handler = mux
	port := network.Port(netip.MustParseAddrPort("10.0.0.1:1"))

	messages := []struct{ request, reply proto.Message }{
		{&memberv1.ProbeRequest{Sequence: 3}, &memberv1.ProbeReply{Sequence: 3}},
		{&memberv1.ProbeViaRequest{Id: "a"}, &memberv1.ProbeViaReply{Result: memberv1.Result_ANSWERED}},
		{&memberv1.RecordRequest{After: 4}, &memberv1.RecordReply{Record: &memberv1.CellRecord{Epoch: 5}}},
		{&memberv1.SummaryRequest{Cell: &memberv1.Cell{Version: 6}}, &memberv1.SummaryReply{HaveVersion: 6}},
		{&loadv1.BorrowRequest{Id: 7}, &loadv1.BorrowReply{Digest: &loadv1.Digest{Sequence: 7}}},
		{&loadv1.ReturnRequest{From: "x"}, &loadv1.ReturnReply{}},
	}
	for _, m := range messages {
		t.Run(string(m.request.ProtoReflect().Descriptor().Name()), func(t *testing.T) {
			replies := make(chan proto.Message, 1)
			done := func(reply proto.Message, err error) {
				assert.Check(t, err)
				replies <- reply
			}
			client.Call(addr, m.request, time.Minute, done)
			assert.Assert(t, proto.Equal(<-replies, m.reply))
			port.Call(addr, m.request, time.Minute, done)
			v.Advance(time.Second)
			assert.Assert(t, proto.Equal(<-replies, m.reply))
		})
	}
	for service, n := range client.Meter.BytesSent() {
		assert.Equal(t, int(n), port.BytesSent()[service])
	}
	for service, n := range serverMeter.BytesSent() {
		assert.Equal(t, int(n), network.Port(addr).BytesSent()[service])
	}
}

// Guards against a stopped process that is reported as a timeout: only a refused
// connection proves that the process has ended.
func TestRefused(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	server.Close()
	errs := make(chan error, 1)
	client := &peer.Client{HTTP: peer.NewHTTPClient(nil)}
	client.Call(addr, &memberv1.ProbeRequest{}, time.Minute, func(_ proto.Message, err error) { errs <- err })
	var refused *peer.ConnectionRefusedError
	assert.Assert(t, errors.As(<-errs, &refused))
	assert.Equal(t, refused.Addr, addr)
}

// Guards against a fault of the in-memory network that ends the call not at all,
// twice or with the wrong error.
func TestNetworkFaults(t *testing.T) {
	a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	timeout, refused := &peer.TimeoutError{}, &peer.ConnectionRefusedError{}
	tests := []struct {
		name  string
		fault func(*peer.Network)
		want  any
	}{
		{"cut", func(n *peer.Network) { n.Partitioned = func(_, to netip.AddrPort) bool { return to == b } }, &timeout},
		{"cut on the way back", func(n *peer.Network) { n.Partitioned = func(_, to netip.AddrPort) bool { return to == a } }, &timeout},
		{"paused", func(n *peer.Network) { n.Port(b).SetState(peer.PortUnresponsive) }, &timeout},
		{"refused", func(n *peer.Network) { n.Port(b).SetState(peer.PortRefused) }, &refused},
		{"late", func(n *peer.Network) {
			n.Delay = func(netip.AddrPort, netip.AddrPort) time.Duration { return time.Minute }
		}, &timeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := timer.NewVirtual(time.Unix(0, 0))
			network := &peer.Network{Timer: v}
			network.Port(b).Handler = echoHandler{}
			tt.fault(network)
			calls := 0
			network.Port(a).Call(b, &memberv1.ProbeRequest{}, time.Second, func(_ proto.Message, err error) {
				calls++
				assert.Assert(t, errors.As(err, tt.want), "%v", err)
			})
			v.Advance(time.Hour)
			assert.Equal(t, calls, 1)
		})
	}
}
