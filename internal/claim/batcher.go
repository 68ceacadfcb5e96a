package claim

import (
	"context"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// A lane commits the operations on one bucket, one batch after the other.
type lane struct {
	claims  *Claims
	last    time.Time // start of the last commit
	mutex   sync.Mutex
	number  int
	queue   []*waiting
	running bool
}

// submit adds the operation to the next batch and waits for its result. When
// ctx ends first, the operation may still be committed.
func (l *lane) submit(ctx context.Context, o operation) (result, error) {
	w := &waiting{ctx: ctx, done: make(chan struct{}), operation: o}
	l.mutex.Lock()
	l.queue = append(l.queue, w)
	start := !l.running
	l.running = true
	l.mutex.Unlock()
	if start {
		go l.drain()
	}
	select {
	case <-ctx.Done():
		return result{}, unavailable(ctx.Err())
	case <-w.done:
		return w.result, w.err
	}
}

// drain commits batches until the queue is empty.
func (l *lane) drain() {
	for {
		if wait := l.claims.Interval - l.claims.Timer.Now().Sub(l.last); wait > 0 && wait <= l.claims.Interval {
			_ = l.claims.Timer.Sleep(context.Background(), wait)
		}
		batch := l.next()
		if batch == nil {
			return
		}
		l.commit(batch)
	}
}

// commit commits one batch and hands out the results.
func (l *lane) commit(batch []*waiting) {
	l.last = l.claims.Timer.Now()
	ctx, stop := timer.WithTimeout(context.Background(), l.claims.Timer, commitTimeout, nil)
	operations := make([]operation, len(batch))
	for i, w := range batch {
		operations[i] = w.operation
	}
	results, err := l.claims.writer.commit(ctx, l.number, operations)
	stop()
	l.claims.metrics.commits.Inc()
	l.claims.metrics.batch.Observe(float64(len(batch)))
	for i, w := range batch {
		w.err = err
		if err == nil {
			w.result = results[i]
		}
		close(w.done)
	}
}

// next takes the next batch from the queue; nil if it is empty. Operations
// whose sender is gone are dropped: nobody would dispatch their calls.
func (l *lane) next() []*waiting {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var batch []*waiting
	for len(l.queue) > 0 && len(batch) < maxBatch {
		w := l.queue[0]
		l.queue = l.queue[1:]
		if err := w.ctx.Err(); err != nil {
			w.err = unavailable(err)
			close(w.done)
			continue
		}
		batch = append(batch, w)
	}
	l.running = len(batch) > 0
	return batch
}

// A waiting is an operation whose sender waits.
type waiting struct {
	ctx       context.Context //nolint:containedctx // The sender's, to drop the operation when it is gone.
	done      chan struct{}
	err       error
	operation operation
	result    result
}
