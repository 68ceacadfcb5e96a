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

// A ClaimClient sends claims and settlements to the writers of their buckets
// over connect-go.
type ClaimClient struct {
	HTTP   *http.Client // from NewHTTPClient
	Meter  *Meter       // optional; counts the bytes sent
	Secure bool         // whether HTTP uses TLS
}

// Claim implements persimmoncart.ClaimPeers. It leaves Expires of the grant
// zero: the claimant measures the term on its own clock, from before the call.
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
	record := claim.EncodeRecord(s.Key, persimmoncart.ClaimRecord{Nonce: s.Nonce, Response: s.Response, State: s.State})
	if _, err := c.client(to).Settle(ctx, connect.NewRequest(&claimv1.SettleRequest{Record: record})); err != nil {
		return errors.Wrapf(err, "settle at %s", to.ID)
	}
	return nil
}

// client returns a connect client for the instance. The HTTP client pools the
// connections.
func (c *ClaimClient) client(to persimmoncart.Instance) claimv1connect.WriterClient {
	var options []connect.ClientOption
	if c.Meter != nil {
		options = append(options, connect.WithInterceptors(c.Meter.Interceptor()))
	}
	return claimv1connect.NewWriterClient(c.HTTP, URL(to.Addr, c.Secure), options...)
}

// A ClaimHandler serves claims and settlements of other instances with the
// claim writer of this instance.
type ClaimHandler struct {
	Writer persimmoncart.ClaimWriter
}

// Routes returns the HTTP handler of the service by its path. The bytes of
// replies are added to meter unless it is nil.
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
	settlement := persimmoncart.Settlement{Key: key, Nonce: record.Nonce, Response: record.Response, State: record.State}
	if err := h.Writer.WriteSettlement(ctx, settlement); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&claimv1.SettleReply{}), nil
}

// claimKey returns the claim key in b, or an error with
// connect.CodeInvalidArgument if it has the wrong length.
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
	Length int // length of the key that was sent, bytes
}

// Error implements error.
func (e *ClaimKeyError) Error() string {
	return "claim key has " + strconv.Itoa(e.Length) + " bytes"
}
