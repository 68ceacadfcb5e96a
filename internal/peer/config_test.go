package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/peer"
)

// A configServer records what it gets and answers with fixed values.
type configServer struct {
	from   persimmoncart.Instance
	heard  persimmoncart.ConfigDigest
	pulled persimmoncart.ConfigPulled
	pushed []persimmoncart.ConfigChangeSet
	pull   persimmoncart.ConfigPull
}

func (s *configServer) Accept(from persimmoncart.Instance, sets []persimmoncart.ConfigChangeSet) persimmoncart.ConfigDigest {
	s.from, s.pushed = from, sets
	return s.pulled.Digest
}

func (s *configServer) Answer(r persimmoncart.ConfigPull) persimmoncart.ConfigPulled {
	s.pull = r
	return s.pulled
}

func (s *configServer) Digest() persimmoncart.ConfigDigest { return s.pulled.Digest }

func (s *configServer) Heard(from persimmoncart.Instance, d persimmoncart.ConfigDigest) {
	s.from, s.heard = from, d
}

// Guards against fields that are lost between two instances.
func TestConfig(t *testing.T) {
	set := persimmoncart.ConfigChangeSet{
		Author: "ann", Changes: []persimmoncart.ConfigChange{{After: []byte(`{"name":"a"}`), Key: "drain/a"}}, ID: "x", State: persimmoncart.ConfigHash{1}, Version: 7,
	}
	set, err := config.DecodeSet(config.EncodeSet(&set))
	assert.NilError(t, err)
	s := &configServer{pulled: persimmoncart.ConfigPulled{
		Digest: persimmoncart.ConfigDigest{Hash: 1 << 63, Version: 7}, Hash: set.Hash, More: true,
		Objects: []persimmoncart.ConfigObject{{Key: "drain/a", Value: []byte(`{"name":"a"}`)}}, Sets: []persimmoncart.ConfigChangeSet{set}, State: set.State,
	}}
	mux := http.NewServeMux()
	mux.Handle((&peer.ConfigHandler{Server: s}).Mount())
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	self := persimmoncart.Instance{Addr: netip.MustParseAddrPort("10.0.0.1:1"), DataCentre: "hall1", ID: "b", Incarnation: 3, Region: "coast"}
	client := peer.NewHTTPClient(nil)
	defer client.CloseIdleConnections()
	c := &peer.Config{Client: peer.ConfigClients(client, false), Self: func() persimmoncart.Instance { return self }}
	to := persimmoncart.Instance{Addr: netip.MustParseAddrPort(server.Listener.Addr().String()), ID: "a"}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()

	own := persimmoncart.ConfigDigest{Hash: 5, Version: 6}
	d, err := c.Digest(ctx, to, own)
	assert.NilError(t, err)
	assert.Equal(t, d, s.pulled.Digest)
	assert.Equal(t, s.heard, own)
	assert.Equal(t, s.from, self)
	request := persimmoncart.ConfigPull{After: "k", Full: true, Have: 4}
	got, err := c.Pull(ctx, to, request)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, s.pulled)
	assert.Equal(t, s.pull, request)
	_, err = c.Push(ctx, to, got.Sets)
	assert.NilError(t, err)
	assert.DeepEqual(t, s.pushed, s.pulled.Sets)
}
