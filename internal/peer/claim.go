package peer

import (
	"context"
	"net/http"
	"strconv"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/claim"
	claimv1 "github.com/persimmoncart/persimmoncart/proto/claim/v1"
	"github.com/persimmoncart/persimmoncart/proto/claim/v1/claimv1connect"
)

var (
	_ claimv1connect.WriterHandler = (*ClaimHandler)(nil)
	_ persimmoncart.ClaimPeers     = (*ClaimClient)(nil)
)

// A ClaimClient sends claims to the writers of their buckets by connect-go.
type ClaimClient struct {
	HTTP   *http.Client // from NewHTTPClient
	Meter  *Meter       // nil counts nothing
	Secure bool         // HTTP has a TLS configuration
}

// Claim implements persimmoncart.ClaimPeers. Expires of the grant is zero: the
// claimant counts on its own clock from before it called.
func (c *ClaimClient) Claim(ctx context.Context, to persimmoncart.Instance, key persimmoncart.ClaimKey, nonce persimmoncart.Nonce) (persimmoncart.ClaimGrant, error) {
	request := &claimv1.ClaimRequest{Key: key[:], Nonce: claim.EncodeNonce(nonce)}
	reply, err := c.client(to).Claim(ctx, connect.NewRequest(request))
	if err != nil {
		return persimmoncart.ClaimGrant{}, errors.Wrapf(err, "claim at %s", to.ID)
	}
	return persimmoncart.ClaimGrant{
		Granted: reply.Msg.GetGranted(),
		Key:     key,
		Record:  claim.DecodeRecord(reply.Msg.GetRecord()),
	}, nil
}

// Settle implements persimmoncart.ClaimPeers.
func (c *ClaimClient) Settle(ctx context.Context, to persimmoncart.Instance, s persimmoncart.Settlement) error {
	record := claim.EncodeRecord(s.Key, persimmoncart.ClaimRecord{Answer: s.Answer, Nonce: s.Nonce, State: s.State})
	if _, err := c.client(to).Settle(ctx, connect.NewRequest(&claimv1.SettleRequest{Record: record})); err != nil {
		return errors.Wrapf(err, "settle at %s", to.ID)
	}
	return nil
}

// client returns the client of a peer. Connections belong to the HTTP client.
func (c *ClaimClient) client(to persimmoncart.Instance) claimv1connect.WriterClient {
	var options []connect.ClientOption
	if c.Meter != nil {
		options = append(options, connect.WithInterceptors(c.Meter.Interceptor()))
	}
	return claimv1connect.NewWriterClient(c.HTTP, URL(to.Addr, c.Secure), options...)
}

// A ClaimHandler serves the writer of this instance.
type ClaimHandler struct {
	Writer persimmoncart.ClaimWriter
}

// Routes returns the path of the service and its handler.
func (h *ClaimHandler) Routes(meter *Meter) map[string]http.Handler {
	var options []connect.HandlerOption
	if meter != nil {
		options = append(options, connect.WithInterceptors(meter.Interceptor()))
	}
	path, handler := claimv1connect.NewWriterHandler(h, options...)
	return map[string]http.Handler{path: handler}
}

// Claim implements claimv1connect.WriterHandler.
func (h *ClaimHandler) Claim(ctx context.Context, r *connect.Request[claimv1.ClaimRequest]) (*connect.Response[claimv1.ClaimReply], error) {
	key, err := claimKey(r.Msg.GetKey())
	if err != nil {
		return nil, err
	}
	grant, err := h.Writer.WriteClaim(ctx, key, claim.DecodeNonce(r.Msg.GetNonce()))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&claimv1.ClaimReply{
		Granted: grant.Granted,
		Record:  claim.EncodeRecord(key, grant.Record),
	}), nil
}

// Settle implements claimv1connect.WriterHandler.
func (h *ClaimHandler) Settle(ctx context.Context, r *connect.Request[claimv1.SettleRequest]) (*connect.Response[claimv1.SettleReply], error) {
	key, err := claimKey(r.Msg.GetRecord().GetKey())
	if err != nil {
		return nil, err
	}
	record := claim.DecodeRecord(r.Msg.GetRecord())
	settlement := persimmoncart.Settlement{Answer: record.Answer, Key: key, Nonce: record.Nonce, State: record.State}
	if err := h.Writer.WriteSettlement(ctx, settlement); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&claimv1.SettleReply{}), nil
}

// claimKey returns the key in a message, or an error for the caller.
func claimKey(b []byte) (persimmoncart.ClaimKey, error) {
	var key persimmoncart.ClaimKey
	if len(b) != len(key) {
		return key, connect.NewError(connect.CodeInvalidArgument, &ClaimKeyError{Length: len(b)})
	}
	copy(key[:], b)
	return key, nil
}

// A ClaimKeyError reports a claim key of the wrong length.
type ClaimKeyError struct {
	Length int // bytes
}

// Error implements error.
func (e *ClaimKeyError) Error() string {
	return "claim key has " + strconv.Itoa(e.Length) + " bytes"
}
