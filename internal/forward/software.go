package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

const (
	// retryAfterSoftwareGone is the pause before a caller resumes a stream for whose
	// version of the software no endpoint is in service: one that crashed is back within
	// seconds.
	retryAfterSoftwareGone = time.Second
	// retryAfterSoftwareUnknown is the pause before a caller resumes a stream whose
	// origin could not be read from the store.
	retryAfterSoftwareUnknown = 500 * time.Millisecond
)

// resolveOrigin finds out where the stream began that the request resumes, and
// keeps the request to that pool and version of the software. It returns a refusal if
// that is not known, or the route no longer leads there.
func (x *exchange) resolveOrigin(ctx context.Context) error {
	if !x.route.Stream || !x.request.Position.Begun() {
		return nil
	}
	pools := x.route.PoolNames()
	origin, err := x.router.Streams.Origin(ctx, x.request.Resumes, pools)
	if err != nil {
		return softwareUnknownRefusal(err)
	}
	if !slices.Contains(pools, origin.Pool) {
		return softwareGoneRefusal()
	}
	x.origin = &origin
	x.setPool(origin.Pool)
	return nil
}

// software returns the version of the software that the request must be sent to; empty
// for any. A stream that begins while the store cannot be written has to begin at the
// default version.
func (x *exchange) software(role persimmoncart.Role) persimmoncart.SoftwareVersion {
	switch {
	case x.origin != nil:
		return x.origin.Software
	case x.beginsStream() && (x.originUnrecorded || !x.router.Streams.Writable()):
		return x.defaultSoftware(role)
	default:
		return ""
	}
}

// defaultSoftware returns the version at which streams begin without a record, if the pool
// has an endpoint with it and the role, and an empty one otherwise.
func (x *exchange) defaultSoftware(role persimmoncart.Role) persimmoncart.SoftwareVersion {
	version := x.router.Streams.Default(x.pool)
	if version != "" && !x.router.Directory.Has(x.pool, policy.SelectorRequest{Role: role, Software: version}) {
		return ""
	}
	return version
}

// beginsStream reports whether the request begins a stream that may be resumed by its caller.
func (x *exchange) beginsStream() bool {
	return x.route.Stream && x.route.Repeat == persimmoncart.RepeatResume && !x.request.Position.Begun()
}

// recordOrigin records that the stream begins at an endpoint, unless it continues there.
func (x *exchange) recordOrigin(e *persimmoncart.Endpoint) {
	if x.beginsStream() {
		origin := persimmoncart.StreamOrigin{Pool: x.pool, Software: e.Software}
		x.router.Streams.Begin(x.request.ID, origin, x.request.Deadline)
	}
}

// errOriginUnrecorded reports a stream whose origin could not be recorded in time.
var errOriginUnrecorded = errors.New("origin of the stream was not recorded in time")

// fixOrigin keeps the stream, whose response has begun, to the version of the software of
// its endpoint. It waits until the origin is recorded, and returns errOriginUnrecorded if
// that takes too long: nobody could tell where the stream began if this instance were
// killed. Without an endpoint whose version needs no record, the stream begins all the
// same.
func (x *exchange) fixOrigin(ctx context.Context, e *persimmoncart.Endpoint, status int) error {
	if x.origin != nil || !x.route.Stream || status != http.StatusOK {
		return nil
	}
	if x.beginsStream() && !x.router.Streams.AwaitRecord(ctx, x.request.ID) {
		if version := x.defaultSoftware(e.Role); version != "" && version != e.Software {
			x.originUnrecorded = true
			return errOriginUnrecorded
		}
		x.log(x.router.Logger.Warn()).Str("software", string(e.Software)).Msg("stream begins before its origin is recorded")
	}
	x.origin = &persimmoncart.StreamOrigin{Pool: x.pool, Software: e.Software}
	return nil
}

// missingEndpointRefusal returns the refusal of a request for which its pool has no
// endpoint with the role; nil if it has one, however loaded.
func (x *exchange) missingEndpointRefusal(role persimmoncart.Role) error {
	directory := x.router.Directory
	switch {
	case directory.Has(x.pool, policy.SelectorRequest{Role: role, Software: x.software(role)}):
		return nil
	case directory.Has(x.pool, policy.SelectorRequest{Role: role}):
		return softwareGoneRefusal()
	default:
		return x.emptyPoolRefusal()
	}
}

// softwareGoneRefusal returns the refusal of a request to resume a stream that no
// endpoint in service can continue.
func softwareGoneRefusal() error {
	return &persimmoncart.Refusal{
		Code: persimmoncart.RefusalSoftwareGone, Message: "no endpoint of the route has the software version that began the stream",
		Outcome: persimmoncart.OutcomeNotRun, RetryAfter: retryAfterSoftwareGone,
	}
}

// unrecordedRefusal returns the refusal of a request whose run was given up because the
// origin of its stream was not recorded in time.
func unrecordedRefusal(cause error) error {
	return &persimmoncart.Refusal{
		Code: persimmoncart.RefusalStoreDown, Err: cause, Message: "the stream could not be recorded", Outcome: persimmoncart.OutcomeUnknown,
	}
}

// softwareUnknownRefusal returns the refusal of a request to resume a stream of unknown
// origin. A retry helps only if the records could not be read.
func softwareUnknownRefusal(cause error) error {
	r := &persimmoncart.Refusal{
		Code: persimmoncart.RefusalSoftwareUnknown, Err: cause, Message: "the software version that began the stream is not known",
		Outcome: persimmoncart.OutcomeNotRun,
	}
	if !errors.Is(cause, errOriginUnknown) {
		r.RetryAfter = retryAfterSoftwareUnknown
	}
	return r
}
