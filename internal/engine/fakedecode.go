package engine

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// A decodeWork is imported KV cache and the generation from it.
type decodeWork struct {
	attempt         persimmoncart.AttemptID
	blocks          int
	cancelTransfer  context.CancelFunc
	class           persimmoncart.Class
	deadline        time.Time
	generated       int  // tokens generated
	imported        bool // the transfer has ended
	kv              KV
	maxOutputTokens int
	nextIndex       int // index of the next token
	output          FakeOutput
	released        bool // no longer holds memory
	stream          *fakeTokenStream
	tag             persimmoncart.Tag
}

// Decode implements persimmoncart.Engine. The end of ctx cancels the generation too.
func (f *Fake) Decode(ctx context.Context, request persimmoncart.DecodeRequest) (persimmoncart.TokenStream, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.checkRunning("decode"); err != nil {
		return nil, err
	}
	w := f.imports[request.Attempt]
	if w == nil || !w.imported {
		return nil, &persimmoncart.KVMissingError{Attempt: request.Attempt}
	}
	if w.stream != nil {
		return nil, f.refuse(ReasonBusy, 0)
	}
	if request.Start != w.kv.Generated || request.MaxOutputTokens <= request.Start {
		return nil, f.refuse(ReasonStart, 0)
	}
	if persimmoncart.Blocks(CountTokens(w.kv.Prompt)+request.MaxOutputTokens) > w.blocks {
		return nil, f.refuse(ReasonMemory, 0)
	}
	// The deadline of the import only bounded the transfer.
	w.deadline, w.tag = request.Deadline, request.Tag
	w.class, w.maxOutputTokens, w.nextIndex = request.Class, request.MaxOutputTokens, request.Start
	w.stream = &fakeTokenStream{fake: f, ready: make(chan struct{}, 1), work: w}
	w.stream.stop = context.AfterFunc(ctx, func() { _ = w.stream.Close() })
	f.waiting = append(f.waiting, w)
	f.fillSlots()
	f.recordLoad()
	return w.stream, nil
}

// Import implements persimmoncart.Engine.
func (f *Fake) Import(ctx context.Context, request persimmoncart.ImportRequest) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := f.reserveImport(request, cancel)
	if err != nil {
		return err
	}
	kv, err := f.Exporter.Export(ctx, request.From, request.Handle)
	if err == nil {
		err = f.transfer(ctx, kv.Size)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if w.released {
		f.counters.Wasted += uint64(kv.Computed)
		return errCancelled
	}
	if err != nil {
		w.kv = kv
		f.endDecode(w, err)
		return err
	}
	w.output, w.kv, w.imported = NewFakeOutput(kv.Prompt), kv, true
	return nil
}

// endDecode frees the memory of w and ends its stream with err; the mutex is held.
func (f *Fake) endDecode(w *decodeWork, err error) {
	if w.released {
		return
	}
	w.released = true
	delete(f.imports, w.attempt)
	f.usedBlocks -= w.blocks
	f.decodes = slices.DeleteFunc(f.decodes, func(d *decodeWork) bool { return d == w })
	f.waiting = slices.DeleteFunc(f.waiting, func(d *decodeWork) bool { return d == w })
	if w.generated == 0 {
		f.counters.Wasted += uint64(w.kv.Computed)
	}
	if w.stream != nil {
		if err != nil {
			f.counters.Broken++
			w.stream.end(io.ErrUnexpectedEOF)
		}
		w.stream.stop()
	}
	w.cancelTransfer()
	f.fillSlots()
	f.nextPrefill()
	f.recordLoad()
}

// fillSlots starts waiting requests, most urgent first; the mutex is held.
func (f *Fake) fillSlots() {
	for len(f.decodes) < f.Slots && len(f.waiting) > 0 {
		best := 0
		for i, w := range f.waiting {
			if w.class < f.waiting[best].class {
				best = i
			}
		}
		f.decodes = append(f.decodes, f.waiting[best])
		f.waiting = slices.Delete(f.waiting, best, best+1)
	}
	if f.stepScheduled || len(f.decodes) == 0 {
		return
	}
	f.stepScheduled = true
	took := f.scaleTime(f.StepTime + time.Duration(len(f.decodes)-1)*f.StepGrowth)
	f.Timer.After(took, func(time.Time) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.stepScheduled = false
		f.step()
	})
}

// reserveImport reserves the memory of an import.
func (f *Fake) reserveImport(request persimmoncart.ImportRequest, abort context.CancelFunc) (*decodeWork, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.admit("import", persimmoncart.RoleDecode, ""); err != nil {
		return nil, err
	}
	if f.imports[request.Attempt] != nil {
		return nil, f.refuse(ReasonBusy, 0)
	}
	if request.Blocks < 1 || request.Blocks > f.Blocks-f.usedBlocks {
		return nil, f.refuse(ReasonMemory, f.scaleTime(f.StepTime))
	}
	w := &decodeWork{
		cancelTransfer: abort,
		attempt:        request.Attempt,
		blocks:         request.Blocks,
		deadline:       request.Deadline,
		tag:            request.Tag,
	}
	if f.imports == nil {
		f.imports = map[persimmoncart.AttemptID]*decodeWork{}
	}
	f.imports[request.Attempt] = w
	f.usedBlocks += w.blocks
	f.recordLoad()
	return w, nil
}

// step generates one token for each running request; the mutex is held.
func (f *Fake) step() {
	for _, w := range slices.Clone(f.decodes) {
		f.stepOne(w)
	}
	f.fillSlots()
}

// stepOne generates one token of w; the mutex is held.
func (f *Fake) stepOne(w *decodeWork) {
	switch {
	case f.faults.Stop > 0 && w.generated >= f.faults.Stop:
		f.endDecode(w, io.ErrUnexpectedEOF)
		return
	case f.faults.Garbage:
		w.stream.end(&transport.ProtocolError{Reason: "fault", Sample: "{"})
		f.endDecode(w, nil)
		return
	case f.faults.Cross:
		w.stream.end(&persimmoncart.AttemptMismatchError{Got: otherAttempt(w.attempt), Want: w.attempt})
		f.endDecode(w, nil)
		return
	case f.faults.Skip > 0 && w.nextIndex == f.faults.Skip:
		w.stream.end(&TokenIndexError{Attempt: w.attempt, Got: w.nextIndex + 1, Want: w.nextIndex})
		f.endDecode(w, nil)
		return
	}
	last := w.nextIndex+1 == w.maxOutputTokens
	t := persimmoncart.Token{Attempt: w.attempt, Index: w.nextIndex, Last: last, Text: w.output.Token(w.nextIndex)}
	w.nextIndex++
	w.generated++
	f.counters.Decoded++
	w.stream.push(t)
	if last {
		w.stream.end(io.EOF)
		f.endDecode(w, nil)
	}
}

// transfer waits for the time that size bytes take on the engine's link.
func (f *Fake) transfer(ctx context.Context, size int64) error {
	f.mutex.Lock()
	if f.faults.Stall {
		f.mutex.Unlock()
		<-ctx.Done()
		return ctx.Err()
	}
	now := f.Timer.Now()
	if f.linkFreeAt.Before(now) {
		f.linkFreeAt = now
	}
	f.linkFreeAt = f.linkFreeAt.Add(f.scaleTime(time.Duration(float64(size) / f.TransferRate * float64(time.Second))))
	wait := f.linkFreeAt.Sub(now)
	f.mutex.Unlock()
	return f.Timer.Sleep(ctx, wait)
}

// A fakeTokenStream is the answer of one generation. Its mutex is taken after the fake's.
type fakeTokenStream struct {
	err   error // what Next returns after the last token
	fake  *Fake
	mutex sync.Mutex
	queue []persimmoncart.Token
	ready chan struct{}
	stop  func() bool // ends the link to the context of Decode
	work  *decodeWork
}

// Close implements persimmoncart.TokenStream.
func (s *fakeTokenStream) Close() error {
	s.fake.mutex.Lock()
	defer s.fake.mutex.Unlock()
	if !s.work.released {
		s.fake.counters.Cancelled++
		s.fake.endDecode(s.work, errCancelled)
	}
	return nil
}

// Next implements persimmoncart.TokenStream.
func (s *fakeTokenStream) Next(ctx context.Context) (persimmoncart.Token, error) {
	for {
		t, ok, err := s.poll()
		if ok || err != nil {
			return t, err
		}
		select {
		case <-ctx.Done():
			return persimmoncart.Token{}, ctx.Err()
		case <-s.ready:
		}
	}
}

// end sets what Next returns after the queued tokens, unless it is set already.
func (s *fakeTokenStream) end(err error) {
	s.mutex.Lock()
	if s.err == nil {
		s.err = err
	}
	s.mutex.Unlock()
	s.wake()
}

// poll returns the next token if there is one.
func (s *fakeTokenStream) poll() (persimmoncart.Token, bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.queue) > 0 {
		t := s.queue[0]
		s.queue = s.queue[1:]
		return t, true, nil
	}
	return persimmoncart.Token{}, false, s.err
}

// push queues a token.
func (s *fakeTokenStream) push(t persimmoncart.Token) {
	s.mutex.Lock()
	s.queue = append(s.queue, t)
	s.mutex.Unlock()
	s.wake()
}

// wake wakes a waiting Next.
func (s *fakeTokenStream) wake() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}
