package peer_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/peer"
)

// Guards against a version that changes in transit, and against an unreachable
// instance that is reported as having version 0.
func TestConfigVersion(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle((&peer.ConfigHandler{CurrentVersion: func() uint64 { return 1<<40 + 7 }}).Mount())
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	client := peer.NewHTTPClient(nil)
	defer client.CloseIdleConnections()
	c := &peer.ConfigClient{HTTP: client}
	instance := persimmoncart.Instance{Addr: netip.MustParseAddrPort(server.Listener.Addr().String()), ID: "a"}

	version, err := c.Version(t.Context(), instance)
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(1<<40+7))
	server.Close()
	_, err = c.Version(t.Context(), instance)
	unavailable := &persimmoncart.UnavailableError{}
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
}
