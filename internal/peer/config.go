package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	configv1 "github.com/persimmoncart/persimmoncart/proto/config/v1"
	"github.com/persimmoncart/persimmoncart/proto/config/v1/configv1connect"
)

var (
	_ configv1connect.VersionsHandler = (*ConfigHandler)(nil)
	_ persimmoncart.ConfigVersions    = (*ConfigClient)(nil)
)

// A ConfigClient asks other instances for the configuration in force by connect-go.
type ConfigClient struct {
	HTTP   *http.Client
	Secure bool // HTTP has a TLS configuration
}

// Version implements persimmoncart.ConfigVersions.
func (c *ConfigClient) Version(ctx context.Context, at persimmoncart.Instance) (uint64, error) {
	client := configv1connect.NewVersionsClient(c.HTTP, URL(at.Addr, c.Secure))
	reply, err := client.Version(ctx, connect.NewRequest(&configv1.VersionRequest{}))
	if err != nil {
		return 0, errors.Wrapf(&persimmoncart.UnavailableError{Err: err, Operation: "ask for version"}, "peer %s", at.ID)
	}
	return reply.Msg.GetVersion(), nil
}

// A ConfigHandler tells other instances the version in force here.
type ConfigHandler struct {
	CurrentVersion func() uint64
}

// Mount returns the path and the HTTP handler of the service.
func (h *ConfigHandler) Mount() (string, http.Handler) {
	return configv1connect.NewVersionsHandler(h)
}

// Version implements configv1connect.VersionsHandler.
func (h *ConfigHandler) Version(context.Context, *connect.Request[configv1.VersionRequest]) (*connect.Response[configv1.VersionReply], error) {
	return connect.NewResponse(&configv1.VersionReply{Version: h.CurrentVersion()}), nil
}
