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

// A ConfigClient reads the version of the configuration that is in force on
// another instance, over connect-go.
type ConfigClient struct {
	HTTP   *http.Client // from NewHTTPClient
	Secure bool         // whether HTTP uses TLS
}

// Version implements persimmoncart.ConfigVersions. It returns an
// *UnavailableError if the call fails.
func (c *ConfigClient) Version(ctx context.Context, instance persimmoncart.Instance) (uint64, error) {
	client := configv1connect.NewVersionsClient(c.HTTP, URL(instance.Addr, c.Secure))
	reply, err := client.Version(ctx, connect.NewRequest(&configv1.VersionRequest{}))
	if err != nil {
		return 0, errors.Wrapf(&persimmoncart.UnavailableError{Err: err, Operation: "read configuration version"}, "peer %s", instance.ID)
	}
	return reply.Msg.GetVersion(), nil
}

// A ConfigHandler serves the version of the configuration that is in force on
// this instance.
type ConfigHandler struct {
	CurrentVersion func() uint64 // version in force
}

// Mount returns the path of the service and its HTTP handler.
func (h *ConfigHandler) Mount() (string, http.Handler) {
	return configv1connect.NewVersionsHandler(h)
}

// Version implements configv1connect.VersionsHandler.
func (h *ConfigHandler) Version(context.Context, *connect.Request[configv1.VersionRequest]) (*connect.Response[configv1.VersionReply], error) {
	return connect.NewResponse(&configv1.VersionReply{Version: h.CurrentVersion()}), nil
}
