package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/peer"
)

// A fakeWriter is a claim writer that records the last claim and settlement and
// returns fixed results.
type fakeWriter struct {
	fail    error
	granted persimmoncart.ClaimGrant
	nonce   persimmoncart.Nonce
	settled persimmoncart.Settlement
}

func (w *fakeWriter) WriteClaim(_ context.Context, key persimmoncart.ClaimKey, nonce persimmoncart.Nonce) (persimmoncart.ClaimGrant, error) {
	w.nonce = nonce
	g := w.granted
	g.Key = key
	return g, w.fail
}

func (w *fakeWriter) WriteSettlement(_ context.Context, s persimmoncart.Settlement) error {
	w.settled = s
	return w.fail
}

// Guards against a claim that changes in transit: a wrong nonce or state would let
// a payment run twice.
func TestClaim(t *testing.T) {
	w := &fakeWriter{}
	routes := http.NewServeMux()
	for path, handler := range (&peer.ClaimHandler{Writer: w}).Routes(&peer.Meter{}) {
		routes.Handle(path, handler)
	}
	server := httptest.NewUnstartedServer(routes)
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	c := &peer.ClaimClient{HTTP: peer.NewHTTPClient(nil), Meter: &peer.Meter{}}
	defer c.HTTP.CloseIdleConnections()
	to := persimmoncart.Instance{Addr: netip.MustParseAddrPort(server.Listener.Addr().String()), ID: "kass-1"}
	key := persimmoncart.ClaimKey{1, 2, 3}
	nonce := persimmoncart.Nonce{Sequence: 9, Tag: persimmoncart.Tag{Incarnation: 4, Instance: "sfax-1"}}
	answer := &persimmoncart.CallResponse{Body: []byte("posted"), Header: http.Header{"Content-Type": {"text/plain"}}, Status: 201}
	w.granted = persimmoncart.ClaimGrant{Granted: true, Record: persimmoncart.ClaimRecord{
		Response: answer, Time: time.Unix(1e9, 0).UTC(), Fence: 7, Nonce: nonce, State: persimmoncart.ClaimClaimed,
	}}

	grant, err := c.Claim(t.Context(), to, key, nonce)
	assert.NilError(t, err)
	want := w.granted
	want.Key = key
	assert.DeepEqual(t, grant, want)
	assert.DeepEqual(t, w.nonce, nonce)

	settlement := persimmoncart.Settlement{Key: key, Nonce: nonce, Response: answer, State: persimmoncart.ClaimAnswered}
	assert.NilError(t, c.Settle(t.Context(), to, settlement))
	assert.DeepEqual(t, w.settled, settlement)

	w.fail = errors.New("store is down")
	_, err = c.Claim(t.Context(), to, key, nonce)
	assert.ErrorContains(t, err, "store is down")
	assert.ErrorContains(t, c.Settle(t.Context(), to, settlement), "store is down")
}
