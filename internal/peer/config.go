package peer

import (
	"context"
	"net/http"
	"net/netip"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
	configv1 "github.com/persimmoncart/persimmoncart/proto/config/v1"
	"github.com/persimmoncart/persimmoncart/proto/config/v1/configv1connect"
)

// maxConfigBytes bounds one message with configuration, in bytes. A change set
// may hold a whole configuration.
const maxConfigBytes = 32 << 20

// ConfigGzipBytes is the size from which messages are compressed. Full copies
// are repetitive JSON, which shrinks to about a tenth.
const ConfigGzipBytes = 1024

var (
	_ persimmoncart.ConfigPeers    = (*Config)(nil)
	_ configv1connect.PeersHandler = (*ConfigHandler)(nil)
)

// A Config exchanges configuration with other instances by connect-go.
type Config struct {
	// Client returns the client for a peer; ConfigClients makes it for HTTP.
	Client func(netip.AddrPort) configv1connect.PeersClient
	Self   func() persimmoncart.Instance
}

// ConfigClients returns the Client of a Config that uses HTTP. Clients are
// cheap: connections belong to the HTTP client.
func ConfigClients(client *http.Client, secure bool, options ...connect.ClientOption) func(netip.AddrPort) configv1connect.PeersClient {
	options = append(options, connect.WithReadMaxBytes(maxConfigBytes), connect.WithSendGzip(), connect.WithCompressMinBytes(ConfigGzipBytes))
	return func(addr netip.AddrPort) configv1connect.PeersClient {
		return configv1connect.NewPeersClient(client, URL(addr, secure), options...)
	}
}

// Digest implements persimmoncart.ConfigPeers.
func (c *Config) Digest(ctx context.Context, to persimmoncart.Instance, own persimmoncart.ConfigDigest) (persimmoncart.ConfigDigest, error) {
	reply, err := c.Client(to.Addr).Digest(ctx, connect.NewRequest(&configv1.DigestRequest{
		Digest: digestProto(own), Sender: senderProto(c.Self()),
	}))
	if err != nil {
		return persimmoncart.ConfigDigest{}, configError("exchange digest", to, err)
	}
	return digestValue(reply.Msg.GetDigest()), nil
}

// Pull implements persimmoncart.ConfigPeers.
func (c *Config) Pull(ctx context.Context, to persimmoncart.Instance, request persimmoncart.ConfigPull) (persimmoncart.ConfigPulled, error) {
	reply, err := c.Client(to.Addr).Pull(ctx, connect.NewRequest(&configv1.PullRequest{
		After: request.After, Full: request.Full, Have: request.Have,
	}))
	if err != nil {
		return persimmoncart.ConfigPulled{}, configError("pull configuration", to, err)
	}
	out := persimmoncart.ConfigPulled{Digest: digestValue(reply.Msg.GetDigest()), More: reply.Msg.GetMore()}
	copy(out.Hash[:], reply.Msg.GetHash())
	copy(out.State[:], reply.Msg.GetState())
	for _, o := range reply.Msg.GetObjects() {
		out.Objects = append(out.Objects, persimmoncart.ConfigObject{Key: o.GetKey(), Value: o.GetValue()})
	}
	if out.Sets, err = setValues(reply.Msg.GetSets()); err != nil {
		return persimmoncart.ConfigPulled{}, configError("pull configuration", to, err)
	}
	return out, nil
}

// Push implements persimmoncart.ConfigPeers.
func (c *Config) Push(ctx context.Context, to persimmoncart.Instance, sets []persimmoncart.ConfigChangeSet) (persimmoncart.ConfigDigest, error) {
	reply, err := c.Client(to.Addr).Push(ctx, connect.NewRequest(&configv1.PushRequest{
		Sender: senderProto(c.Self()), Sets: setBytes(sets),
	}))
	if err != nil {
		return persimmoncart.ConfigDigest{}, configError("push configuration", to, err)
	}
	return digestValue(reply.Msg.GetDigest()), nil
}

// A ConfigHandler serves the configuration to other instances.
type ConfigHandler struct {
	Server persimmoncart.ConfigServer
}

// Mount returns the path and the HTTP handler of the service.
func (h *ConfigHandler) Mount(options ...connect.HandlerOption) (string, http.Handler) {
	return configv1connect.NewPeersHandler(h, append(options, connect.WithReadMaxBytes(maxConfigBytes), connect.WithCompressMinBytes(ConfigGzipBytes))...)
}

// Digest implements configv1connect.PeersHandler.
func (h *ConfigHandler) Digest(_ context.Context, r *connect.Request[configv1.DigestRequest]) (*connect.Response[configv1.DigestReply], error) {
	from, err := senderValue(r.Msg.GetSender())
	if err != nil {
		return nil, err
	}
	h.Server.Heard(from, digestValue(r.Msg.GetDigest()))
	return connect.NewResponse(&configv1.DigestReply{Digest: digestProto(h.Server.Digest())}), nil
}

// Pull implements configv1connect.PeersHandler.
func (h *ConfigHandler) Pull(_ context.Context, r *connect.Request[configv1.PullRequest]) (*connect.Response[configv1.PullReply], error) {
	got := h.Server.Answer(persimmoncart.ConfigPull{After: r.Msg.GetAfter(), Full: r.Msg.GetFull(), Have: r.Msg.GetHave()})
	reply := &configv1.PullReply{
		Digest: digestProto(got.Digest), Hash: got.Hash[:], More: got.More, Sets: setBytes(got.Sets), State: got.State[:],
	}
	for _, o := range got.Objects {
		reply.Objects = append(reply.Objects, &configv1.Object{Key: o.Key, Value: o.Value})
	}
	return connect.NewResponse(reply), nil
}

// Push implements configv1connect.PeersHandler.
func (h *ConfigHandler) Push(_ context.Context, r *connect.Request[configv1.PushRequest]) (*connect.Response[configv1.DigestReply], error) {
	from, err := senderValue(r.Msg.GetSender())
	if err != nil {
		return nil, err
	}
	sets, err := setValues(r.Msg.GetSets())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(&configv1.DigestReply{Digest: digestProto(h.Server.Accept(from, sets))}), nil
}

// configError returns the error of a failed call.
func configError(op string, to persimmoncart.Instance, err error) error {
	return errors.Wrapf(&persimmoncart.UnavailableError{Err: err, Op: op}, "peer %s", to.ID)
}

// digestProto returns the message of a digest.
func digestProto(d persimmoncart.ConfigDigest) *configv1.Digest {
	return &configv1.Digest{Hash: d.Hash, Version: d.Version}
}

// digestValue returns the digest of a message.
func digestValue(d *configv1.Digest) persimmoncart.ConfigDigest {
	return persimmoncart.ConfigDigest{Hash: d.GetHash(), Version: d.GetVersion()}
}

// senderProto returns the message of an instance.
func senderProto(i persimmoncart.Instance) *configv1.Sender {
	return &configv1.Sender{
		Addr: i.Addr.String(), Centre: string(i.DataCentre), Id: string(i.ID), Incarnation: uint64(i.Incarnation), Region: string(i.Region),
	}
}

// senderValue returns the instance of a message.
func senderValue(s *configv1.Sender) (persimmoncart.Instance, error) {
	addr, err := netip.ParseAddrPort(s.GetAddr())
	if err != nil {
		return persimmoncart.Instance{}, connect.NewError(connect.CodeInvalidArgument, errors.Wrap(err, "sender"))
	}
	return persimmoncart.Instance{
		Addr: addr, DataCentre: persimmoncart.DataCentre(s.GetCentre()), ID: persimmoncart.InstanceID(s.GetId()),
		Incarnation: persimmoncart.Incarnation(s.GetIncarnation()), Region: persimmoncart.Region(s.GetRegion()),
	}, nil
}

// setBytes returns the stored forms of change sets.
func setBytes(sets []persimmoncart.ConfigChangeSet) [][]byte {
	out := make([][]byte, len(sets))
	for i := range sets {
		out[i] = config.EncodeSet(&sets[i])
	}
	return out
}

// setValues returns the change sets of stored forms, with their hashes.
func setValues(data [][]byte) ([]persimmoncart.ConfigChangeSet, error) {
	var out []persimmoncart.ConfigChangeSet
	for _, b := range data {
		s, err := config.DecodeSet(b)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}
