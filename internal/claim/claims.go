package claim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/rendezvous"
)

const (
	// DefaultDispatchWindow is the time after sending the claim in which the
	// claimant may dispatch the call.
	DefaultDispatchWindow = 5 * time.Second

	// commitTimeout bounds one commit to the store, conflicts included.
	commitTimeout = 3 * time.Second
	// maxBatch bounds the operations of one commit, so that a full batch stays
	// below the store's limit for a value.
	maxBatch = 128
	// maxUnsettled bounds the settlements that wait for the store. The outcome of
	// a call whose settlement is dropped stays unknown.
	maxUnsettled = 4096
	// peerTimeout bounds a call to the instance that writes a bucket. After it the
	// caller writes to the store itself.
	peerTimeout = time.Second
	// settleRetryInterval is the time between two attempts to store the
	// settlements that failed.
	settleRetryInterval = time.Second
)

var (
	_ persimmoncart.ClaimWriter = (*Claims)(nil)
	_ persimmoncart.Claims      = (*Claims)(nil)
)

// Claims implements persimmoncart.Claims on the store. Its exported fields are
// set before Run; it is safe for concurrent use.
type Claims struct {
	Buckets        int           // DefaultBuckets if zero
	CommitInterval time.Duration // shortest time between two commits of one bucket
	DispatchWindow time.Duration // DefaultDispatchWindow if zero
	Logger         zerolog.Logger
	Members        persimmoncart.Members    // nil if this instance writes all buckets itself
	Peers          persimmoncart.ClaimPeers // nil if this instance writes all buckets itself
	Registerer     prometheus.Registerer    // nil registers no metrics
	Retention      time.Duration            // DefaultRetention if zero, never below MinRetention
	Self           persimmoncart.Tag
	Store          persimmoncart.Store
	Timer          persimmoncart.Timer

	batchers    sync.Map // bucket number (int) to *batcher
	bucketStore *bucketStore
	metrics     *metrics
	once        sync.Once
	recordCache recordCache
	sequence    atomic.Uint64 // of the last nonce
	unsettled   settlementQueue
}

// Claim implements persimmoncart.Claims.
func (c *Claims) Claim(ctx context.Context, key persimmoncart.ClaimKey) (persimmoncart.ClaimGrant, error) {
	c.init()
	nonce := persimmoncart.Nonce{Sequence: c.sequence.Add(1), Tag: c.Self}
	// The window starts before the claim is sent, so that it includes a pause of
	// the claimant while it waits for the response.
	expires := c.Timer.Now().Add(c.dispatchWindow())
	grant, err := c.claim(ctx, key, nonce)
	if err != nil {
		c.metrics.claims.WithLabelValues("unavailable").Inc()
		// The store may hold a claim whose call is never dispatched. Settling it as
		// not run lets the caller use the same key again.
		c.settleLater(persimmoncart.Settlement{Key: key, Nonce: nonce, State: persimmoncart.ClaimNotRun})
		return persimmoncart.ClaimGrant{}, err
	}
	grant.Expires = expires
	if grant.Granted {
		c.metrics.claims.WithLabelValues("granted").Inc()
	} else {
		c.metrics.claims.WithLabelValues("refused").Inc()
	}
	return grant, nil
}

// Outcome implements persimmoncart.Claims. It reads the store and returns a
// *persimmoncart.NotFoundError if the key has no record.
func (c *Claims) Outcome(ctx context.Context, key persimmoncart.ClaimKey) (persimmoncart.ClaimRecord, error) {
	c.init()
	b, err := c.bucketStore.read(ctx, bucketOf(key, c.buckets()), nil)
	if err != nil {
		return persimmoncart.ClaimRecord{}, errors.Wrap(err, "read outcome")
	}
	r := b.find(key)
	if r == nil {
		return persimmoncart.ClaimRecord{}, &persimmoncart.NotFoundError{Key: fmt.Sprintf("%x", key[:])}
	}
	return DecodeRecord(r), nil
}

// Run retries the settlements that the store did not accept until ctx is done. It
// then tries once more and returns nil.
func (c *Claims) Run(ctx context.Context) error {
	c.init()
	for {
		if err := c.Timer.Sleep(ctx, settleRetryInterval); err != nil {
			break
		}
		c.settleAll(ctx)
	}
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
	defer cancel()
	c.settleAll(final)
	return nil
}

// Settle implements persimmoncart.Claims. If the store does not accept the
// settlement, Run retries it. A *SettlementError is not retried.
func (c *Claims) Settle(ctx context.Context, grant persimmoncart.ClaimGrant, state persimmoncart.ClaimState, response *persimmoncart.CallResponse) error {
	c.init()
	s := persimmoncart.Settlement{Key: grant.Key, Nonce: grant.Record.Nonce, Response: response, State: state}
	c.metrics.settlements.WithLabelValues(string(state)).Inc()
	err := c.settle(ctx, s)
	if refused := (*SettlementError)(nil); err != nil && !errors.As(err, &refused) {
		c.settleLater(s)
	}
	return err
}

// WriteClaim implements persimmoncart.ClaimWriter. While the store is down it
// returns the cached record of a key that this instance has written, so that the
// repetition of a call is not refused as a call that did not run.
func (c *Claims) WriteClaim(ctx context.Context, key persimmoncart.ClaimKey, nonce persimmoncart.Nonce) (persimmoncart.ClaimGrant, error) {
	c.init()
	r, err := c.submit(ctx, operation{key: key, nonce: nonce, state: persimmoncart.ClaimClaimed})
	if err != nil {
		if cached, ok := c.recordCache.get(key); ok && cached.Nonce != nonce {
			return persimmoncart.ClaimGrant{Key: key, Record: cached}, nil
		}
		return persimmoncart.ClaimGrant{}, err
	}
	record := DecodeRecord(r.record)
	c.recordCache.put(key, record)
	return persimmoncart.ClaimGrant{Granted: r.granted, Key: key, Record: record}, nil
}

// WriteSettlement implements persimmoncart.ClaimWriter.
func (c *Claims) WriteSettlement(ctx context.Context, s persimmoncart.Settlement) error {
	c.init()
	r, err := c.submit(ctx, operation{key: s.Key, nonce: s.Nonce, response: s.Response, state: s.State})
	if err != nil {
		return err
	}
	if r.record != nil {
		c.recordCache.put(s.Key, DecodeRecord(r.record))
	}
	return r.err
}

// buckets returns the configured number of buckets.
func (c *Claims) buckets() int {
	if c.Buckets == 0 {
		return DefaultBuckets
	}
	return c.Buckets
}

// claim records the claim through the instance that writes the bucket, or directly
// if that fails.
func (c *Claims) claim(ctx context.Context, key persimmoncart.ClaimKey, nonce persimmoncart.Nonce) (persimmoncart.ClaimGrant, error) {
	if to, ok := c.writerOf(key); ok {
		bounded, cancel := context.WithTimeout(ctx, peerTimeout)
		grant, err := c.Peers.Claim(bounded, to, key, nonce)
		cancel()
		if err == nil {
			return grant, nil
		}
		c.metrics.directWrites.Inc()
	}
	return c.WriteClaim(ctx, key, nonce)
}

// dispatchWindow returns the configured dispatch window.
func (c *Claims) dispatchWindow() time.Duration {
	if c.DispatchWindow == 0 {
		return DefaultDispatchWindow
	}
	return c.DispatchWindow
}

// init sets the unexported fields on the first call.
func (c *Claims) init() {
	c.once.Do(func() {
		c.metrics = newMetrics(c.Registerer, &c.recordCache, &c.unsettled)
		retention := c.Retention
		if retention == 0 {
			retention = DefaultRetention
		}
		c.bucketStore = &bucketStore{
			retention:     max(retention, MinRetention),
			sealThreshold: sealBytes,
			self:          c.Self,
			store:         c.Store,
			timer:         c.Timer,
		}
	})
}

// settle records the settlement through the instance that writes the bucket, or
// directly if that fails.
func (c *Claims) settle(ctx context.Context, s persimmoncart.Settlement) error {
	if to, ok := c.writerOf(s.Key); ok {
		bounded, cancel := context.WithTimeout(ctx, peerTimeout)
		err := c.Peers.Settle(bounded, to, s)
		cancel()
		if err == nil {
			return nil
		}
		c.metrics.directWrites.Inc()
	}
	return c.WriteSettlement(ctx, s)
}

// settleAll retries the queued settlements, and stops at the first one that the
// store does not accept.
func (c *Claims) settleAll(ctx context.Context) {
	for {
		s, ok := c.unsettled.take()
		if !ok {
			return
		}
		err := c.settle(ctx, s)
		if refused := (*SettlementError)(nil); err == nil || errors.As(err, &refused) {
			continue
		}
		c.settleLater(s)
		return
	}
}

// settleLater queues a settlement for Run.
func (c *Claims) settleLater(s persimmoncart.Settlement) {
	if dropped := c.unsettled.add(s); dropped {
		c.metrics.droppedSettlements.Inc()
		c.Logger.Warn().Int("limit", maxUnsettled).Msg("queue of settlements full: dropped the oldest")
	}
}

// submit passes the operation to the batcher of its bucket and waits for the
// result.
func (c *Claims) submit(ctx context.Context, o operation) (operationResult, error) {
	number := bucketOf(o.key, c.buckets())
	b, _ := c.batchers.LoadOrStore(number, &batcher{bucketNumber: number, claims: c})
	return b.(*batcher).submit(ctx, o)
}

// writerOf returns the instance that writes the key's bucket. It returns false if
// that is this instance.
func (c *Claims) writerOf(key persimmoncart.ClaimKey) (persimmoncart.Instance, bool) {
	if c.Members == nil || c.Peers == nil {
		return persimmoncart.Instance{}, false
	}
	alive := map[persimmoncart.InstanceID]persimmoncart.Instance{}
	ids := []persimmoncart.InstanceID{c.Self.Instance}
	for _, m := range c.Members.View() {
		if m.State == persimmoncart.MemberAlive && m.Instance.ID != c.Self.Instance {
			alive[m.Instance.ID] = m.Instance
			ids = append(ids, m.Instance.ID)
		}
	}
	best, _ := rendezvous.Best(fmt.Sprintf("claims/%d", bucketOf(key, c.buckets())), ids)
	to, ok := alive[best]
	return to, ok
}
