// Package jsonlines writes log lines without ever making their writer wait.
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
	// DefaultLinesPerSecond is the number of lines below warnings that are kept a second.
	// An instance serves some tens of requests a second with about two lines each.
	DefaultLinesPerSecond = 400
	// warningLinesPerSecond is the same for warnings and errors, which tell of failed requests.
	warningLinesPerSecond = 2000
	// bufferBytes bounds what waits for the output. Lines below warnings only use
	// the first half, so that those about failed requests still find room.
	bufferBytes = 512 << 10
	// flushPeriod gathers lines, as each write costs a call of the system.
	flushPeriod = 250 * time.Millisecond
)

var _ zerolog.LevelWriter = (*Writer)(nil)

// A Writer passes log lines on to an output that may be slow or stuck. Lines
// beyond a number a second, and beyond what fits its buffer, are left out and
// counted. Its exported fields are set before the first line.
type Writer struct {
	LinesPerSecond int       // below warnings, a second; zero means DefaultLinesPerSecond
	Out            io.Writer // written to by Run only
	Timer          persimmoncart.Timer

	buffer       []byte
	counts       [2]int // lines of this second: below warnings, and others
	dropped      int    // lines left out since the last flush
	droppedTotal uint64 // lines left out
	mutex        sync.Mutex
	started      bool
	windowStart  time.Time
}

// Dropped returns the number of lines that were left out.
func (w *Writer) Dropped() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.droppedTotal
}

// Flush writes the lines that wait.
func (w *Writer) Flush() error {
	w.mutex.Lock()
	lines := w.buffer
	w.buffer = nil
	if w.dropped > 0 {
		lines = append(lines, `{"level":"warn","lines":`...)
		lines = strconv.AppendInt(lines, int64(w.dropped), 10)
		lines = append(lines, `,"message":"log lines left out"}`+"\n"...)
		w.dropped = 0
	}
	w.mutex.Unlock()
	if len(lines) == 0 {
		return nil
	}
	if _, err := w.Out.Write(lines); err != nil {
		return &OutputError{Err: err}
	}
	return nil
}

// Run writes the lines until ctx is done, and then what is left.
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

// Write implements io.Writer.
func (w *Writer) Write(p []byte) (int, error) { return w.WriteLevel(zerolog.InfoLevel, p) }

// WriteLevel implements zerolog.LevelWriter. It never fails and never waits.
func (w *Writer) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if now := w.Timer.Now(); !w.started || now.Sub(w.windowStart) >= time.Second {
		w.started, w.windowStart, w.counts = true, now, [2]int{}
	}
	class, lines, room := 0, w.LinesPerSecond, bufferBytes/2
	if lines == 0 {
		lines = DefaultLinesPerSecond
	}
	if level >= zerolog.WarnLevel {
		class, lines, room = 1, warningLinesPerSecond, bufferBytes
	}
	if w.counts[class] >= lines || len(w.buffer)+len(p) > room {
		w.dropped++
		w.droppedTotal++
		return len(p), nil
	}
	w.counts[class]++
	w.buffer = append(w.buffer, p...)
	return len(p), nil
}

// An OutputError reports an output that takes no lines.
type OutputError struct {
	Err error
}

// Error implements error.
func (e *OutputError) Error() string { return "write log lines: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *OutputError) Unwrap() error { return e.Err }
