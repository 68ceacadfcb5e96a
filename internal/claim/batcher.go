package claim

import (
	"context"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// A batcher commits the operations on one bucket, one batch at a time.
type batcher struct {
	bucketNumber int
	claims       *Claims
	lastCommit   time.Time // start of the last commit
	mutex        sync.Mutex
	queue        []*pendingOperation
	running      bool
}

// submit adds the operation to the next batch and waits for its result. If ctx
// ends first, it returns an *UnavailableError, and the operation may still be
// committed.
func (b *batcher) submit(ctx context.Context, o operation) (operationResult, error) {
	p := &pendingOperation{ctx: ctx, done: make(chan struct{}), operation: o}
	b.mutex.Lock()
	b.queue = append(b.queue, p)
	start := !b.running
	b.running = true
	b.mutex.Unlock()
	if start {
		go b.drain()
	}
	select {
	case <-ctx.Done():
		return operationResult{}, unavailable(ctx.Err())
	case <-p.done:
		return p.result, p.err
	}
}

// drain commits batches until the queue is empty.
func (b *batcher) drain() {
	for {
		if wait := b.claims.CommitInterval - b.claims.Timer.Now().Sub(b.lastCommit); wait > 0 && wait <= b.claims.CommitInterval {
			_ = b.claims.Timer.Sleep(context.Background(), wait)
		}
		batch := b.nextBatch()
		if batch == nil {
			return
		}
		b.commit(batch)
	}
}

// commit commits one batch and passes the results to the callers of submit.
func (b *batcher) commit(batch []*pendingOperation) {
	b.lastCommit = b.claims.Timer.Now()
	ctx, stop := timer.WithTimeout(context.Background(), b.claims.Timer, commitTimeout, nil)
	operations := make([]operation, len(batch))
	for i, p := range batch {
		operations[i] = p.operation
	}
	results, err := b.claims.bucketStore.commit(ctx, b.bucketNumber, operations)
	stop()
	b.claims.metrics.commits.Inc()
	b.claims.metrics.batchSize.Observe(float64(len(batch)))
	for i, p := range batch {
		p.err = err
		if err == nil {
			p.result = results[i]
		}
		close(p.done)
	}
}

// nextBatch removes the next batch from the queue. It returns nil if the queue is
// empty. Operations whose context has ended are dropped, because their calls would
// never be dispatched.
func (b *batcher) nextBatch() []*pendingOperation {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var batch []*pendingOperation
	for len(b.queue) > 0 && len(batch) < maxBatch {
		p := b.queue[0]
		b.queue = b.queue[1:]
		if err := p.ctx.Err(); err != nil {
			p.err = unavailable(err)
			close(p.done)
			continue
		}
		batch = append(batch, p)
	}
	b.running = len(batch) > 0
	return batch
}

// A pendingOperation is an operation for which a caller of submit waits.
type pendingOperation struct {
	ctx       context.Context //nolint:containedctx // The caller's; the operation is dropped when it ends.
	done      chan struct{}
	err       error
	operation operation
	result    operationResult
}
