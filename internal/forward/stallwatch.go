package forward

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// stallGaps is the multiple of the route's GapTarget for which a stream that may
	// resume at another engine waits for its next event.
	stallGaps = 4
	// stallChecks is the number of checks of a stream within the time of stallGaps.
	// A timer for each event would cost more than the event.
	stallChecks = 8
	// reservePauseShare is the share of the time of stallGaps between two attempts to
	// reserve another engine: those that are asked may be silent or full as well.
	reservePauseShare = 0.5
)

// A stallWatch moves a stream to another engine after its engine has sent no whole
// event for Limit: the engine may have stalled, or send a byte now and then. As the
// engine may also go on, its response is closed only when another engine has
// reserved capacity for the rest. Time in which the caller does not read does not
// count. Its exported fields are set before Start.
type stallWatch struct {
	Body    io.Closer                            // response of the engine
	Limit   time.Duration                        // time in reads without a whole event
	Reserve func(ctx context.Context) *successor // returns nil if no engine can take over now
	Timer   persimmoncart.Timer

	calls          sync.WaitGroup     // pending call of Reserve
	cancel         context.CancelFunc // ends the pending call of Reserve
	ctx            context.Context    //nolint:containedctx // of Reserve, from Start to Stop
	mutex          sync.Mutex         // guards the fields below
	pauseUntil     time.Time          // Reserve is not called again before
	readStart      time.Time          // start of the pending read; zero if none is pending
	reservePending bool               // Reserve is being called
	stalled        time.Duration      // spent in reads since the last whole event, without the pending read
	stopped        bool
	successor      *successor // engine that takes over; nil before
	unsubscribe    func()
}

// Start begins to watch. ctx is the one of the request.
func (w *stallWatch) Start(ctx context.Context) {
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.unsubscribe = w.Timer.Subscribe(w.Limit/stallChecks, w.check)
}

// Stop ends the watch and returns the engine that takes over, or nil. After Stop,
// Reserve is not running.
func (w *stallWatch) Stop() *successor {
	w.mutex.Lock()
	w.stopped = true
	w.mutex.Unlock()
	w.unsubscribe()
	w.cancel()
	w.calls.Wait()
	return w.successor
}

// BeginRead records the start of a read of the response.
func (w *stallWatch) BeginRead() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.readStart = w.Timer.Now()
}

// EndRead records the end of a read, and whether it completed an event.
func (w *stallWatch) EndRead(whole bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stalled += w.Timer.Now().Sub(w.readStart)
	if whole {
		w.stalled = 0
	}
	w.readStart = time.Time{}
}

// check reserves another engine if the stream has stalled and none has been
// reserved.
func (w *stallWatch) check(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped || w.reservePending || w.successor != nil || now.Before(w.pauseUntil) || !w.hasStalled(now) {
		return
	}
	w.reservePending = true
	w.calls.Go(w.takeOver)
}

// takeOver reserves another engine, takes a retry for it and closes the response. If
// the engine has gone on meanwhile or the retry budget is used up, the reservation is
// released.
func (w *stallWatch) takeOver() {
	next := w.Reserve(w.ctx)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.reservePending = false
	now := w.Timer.Now()
	w.pauseUntil = now.Add(time.Duration(reservePauseShare * float64(w.Limit)))
	switch {
	case next == nil:
	case w.stopped || !w.hasStalled(now) || !next.TakeRetry():
		next.Abandon()
	default:
		w.successor = next
		_ = w.Body.Close() // makes the pending read fail
	}
}

// hasStalled reports whether reads have taken Limit without a whole event. The
// caller holds the mutex.
func (w *stallWatch) hasStalled(now time.Time) bool {
	return !w.readStart.IsZero() && w.stalled+now.Sub(w.readStart) >= w.Limit
}
