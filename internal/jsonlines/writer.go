// Package jsonlines writes log lines without blocking the goroutine that logs.
package jsonlines

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// DefaultLinesPerSecond limits the lines below the level of warnings. An instance
	// serves some tens of requests a second with about two lines each.
	DefaultLinesPerSecond = 400
	// warningLinesPerSecond limits the warnings and errors, which report failed
	// requests.
	warningLinesPerSecond = 2000
	// bufferBytes limits the lines that are buffered or being written. Lines below the
	// level of warnings use only the first half, so that there is space for those about
	// failed requests.
	bufferBytes = 512 << 10
	// flushPeriod is the time between two writes of buffered lines. Lines are
	// written together because each write is a system call.
	flushPeriod = 250 * time.Millisecond
)

var _ zerolog.LevelWriter = (*Writer)(nil)

// A Writer writes log lines to an output that may be slow or blocked. It drops and
// counts lines above a rate limit and lines that do not fit its buffer. Its
// exported fields are set before the first line.
type Writer struct {
	LinesPerSecond int       // limit of lines below the level of warnings; zero means DefaultLinesPerSecond
	Out            io.Writer // written to by Flush only
	Timer          persimmoncart.Timer

	buffer       []byte
	counts       [2]int // lines since windowStart: below the level of warnings, and others
	dropped      int    // lines since the last flush
	droppedTotal uint64 // lines since the start
	mutex        sync.Mutex
	pending      int // bytes that Flush is writing, which it puts back if the write fails
	started      bool
	windowStart  time.Time
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.droppedTotal
}

// Flush writes the buffered lines, and a line with the number of lines dropped
// since the last flush, if any. It returns an *OutputError if the write fails; the
// next call then continues where the output stopped.
func (w *Writer) Flush() error {
	w.mutex.Lock()
	lines, dropped, buffered := w.buffer, w.dropped, len(w.buffer)
	w.buffer, w.dropped, w.pending = nil, 0, buffered
	w.mutex.Unlock()
	if dropped > 0 {
		lines = append(lines, `{"level":"warn","lines":`...)
		lines = strconv.AppendInt(lines, int64(dropped), 10)
		lines = append(lines, `,"message":"log lines left out"}`+"\n"...)
	}
	if len(lines) == 0 {
		return nil
	}
	n, err := w.Out.Write(lines)
	switch {
	case err == nil:
		w.endWrite(nil, 0)
		return nil
	case n <= buffered:
		// The line about dropped lines was not begun: they are counted again.
		w.endWrite(lines[n:buffered], dropped)
	default:
		w.endWrite(lines[n:], 0) // the rest of the line about dropped lines
	}
	return &OutputError{Err: err}
}

// Run flushes the buffer periodically until ctx is done, and then once more.
func (w *Writer) Run(ctx context.Context) error {
	for w.Timer.Sleep(ctx, flushPeriod) == nil {
		if err := w.Flush(); err != nil {
			return err
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return ctx.Err()
}

// Write implements io.Writer. It writes a line at the info level.
func (w *Writer) Write(p []byte) (int, error) { return w.WriteLevel(zerolog.InfoLevel, p) }

// WriteLevel implements zerolog.LevelWriter. It never fails and never waits for
// the output.
func (w *Writer) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if now := w.Timer.Now(); !w.started || now.Sub(w.windowStart) >= time.Second {
		w.started, w.windowStart, w.counts = true, now, [2]int{}
	}
	severity, maxLines, maxBytes := 0, w.LinesPerSecond, bufferBytes/2
	if maxLines == 0 {
		maxLines = DefaultLinesPerSecond
	}
	if level >= zerolog.WarnLevel {
		severity, maxLines, maxBytes = 1, warningLinesPerSecond, bufferBytes
	}
	if w.counts[severity] >= maxLines || w.pending+len(w.buffer)+len(p) > maxBytes {
		w.dropped++
		w.droppedTotal++
		return len(p), nil
	}
	w.counts[severity]++
	w.buffer = append(w.buffer, p...)
	return len(p), nil
}

// endWrite ends a write: it puts the bytes that were not written back before the lines
// that came since, and adds to the number of dropped lines.
func (w *Writer) endWrite(unwritten []byte, dropped int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(unwritten) > 0 {
		w.buffer = append(unwritten, w.buffer...)
	}
	w.dropped += dropped
	w.pending = 0
}

// An OutputError reports a failed write to the output.
type OutputError struct {
	Err error
}

// Error implements error.
func (e *OutputError) Error() string { return "write log lines: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *OutputError) Unwrap() error { return e.Err }
