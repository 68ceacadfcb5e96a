package jsonlines_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/jsonlines"
	"github.com/persimmoncart/persimmoncart/internal/testmain"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

var errOutput = errors.New("output failed")

func TestMain(m *testing.M) { testmain.Run(m) }

// Guards against requests that wait for a blocked log output, and against
// unbounded memory in this case.
func TestStuckOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, stuck := io.Pipe() // not read until the end of the test
		w := &jsonlines.Writer{LinesPerSecond: 1 << 20, Out: stuck, Timer: &timer.System{}}
		log := zerolog.New(w)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- w.Run(ctx) }()
		started := time.Now()
		for range 100000 {
			log.Info().Str("request", strings.Repeat("x", 64)).Msg("request ended")
		}
		log.Warn().Msg("request refused")
		assert.Equal(t, time.Since(started), time.Duration(0))
		assert.Assert(t, w.Dropped() > 90000)
		cancel()
		var got bytes.Buffer
		done := make(chan struct{})
		go func() {
			_, _ = io.Copy(&got, r)
			close(done)
		}()
		assert.ErrorIs(t, <-ended, context.Canceled)
		assert.NilError(t, stuck.Close())
		<-done
		assert.Assert(t, got.Len() < 1<<20)
		assert.Assert(t, strings.Contains(got.String(), "request refused"))
		assert.Assert(t, strings.Contains(got.String(), "log lines left out"))
	})
}

// Guards against dropped lines about failed requests when there are many lines
// about served requests.
func TestWarningsStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := &jsonlines.Writer{LinesPerSecond: 10, Out: &out, Timer: &timer.System{}}
		log := zerolog.New(w)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- w.Run(ctx) }()
		for range 100 {
			log.Info().Msg("served")
			log.Warn().Msg("refused")
		}
		time.Sleep(time.Second)
		log.Info().Msg("served")
		cancel()
		assert.ErrorIs(t, <-ended, context.Canceled)
		assert.Equal(t, strings.Count(out.String(), "served"), 11)
		assert.Equal(t, strings.Count(out.String(), "refused"), 100)
		assert.Assert(t, strings.Contains(out.String(), `"lines":90`))
	})
}

// A failingOutput writes the first bytes of the next writes and then fails.
type failingOutput struct {
	bytes.Buffer
	failures []int  // bytes that each of the next writes takes before it fails
	failing  func() // called in each write that fails; may be nil
}

func (o *failingOutput) Write(p []byte) (int, error) {
	if len(o.failures) == 0 {
		return o.Buffer.Write(p)
	}
	n := min(o.failures[0], len(p))
	o.failures = o.failures[1:]
	if o.failing != nil {
		o.failing()
	}
	_, _ = o.Buffer.Write(p[:n])
	return n, errOutput
}

// Guards against lines, and counts of dropped lines, that are lost with a failed write
// or written twice after it, and against a buffer that grows while writes fail.
func TestOutputFails(t *testing.T) {
	const line = `{"level":"info","message":"served"}` + "\n"
	const report = `{"level":"warn","lines":2,"message":"log lines left out"}` + "\n"
	for _, c := range []struct {
		name     string
		failures []int
	}{
		{name: "nothing written", failures: []int{0, 0}},
		{name: "part of a line", failures: []int{5, 7}},
		{name: "all lines", failures: []int{3 * len(line)}},
		{name: "part of the report", failures: []int{3*len(line) + 5, 2}},
		{name: "for a long time", failures: make([]int, 1000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			out := &failingOutput{failures: c.failures}
			w := &jsonlines.Writer{LinesPerSecond: 3, Out: out, Timer: timer.NewVirtual(time.Unix(0, 0))}
			log := zerolog.New(w)
			for range 5 {
				log.Info().Msg("served")
			}
			for range len(c.failures) {
				assert.ErrorIs(t, w.Flush(), errOutput)
			}
			assert.NilError(t, w.Flush())
			assert.Equal(t, out.String(), strings.Repeat(line, 3)+report)
		})
	}
}

// Guards against a buffer that grows with the lines that come during failed writes.
func TestOutputFailsUnderLoad(t *testing.T) {
	out := &failingOutput{failures: make([]int, 20)}
	clock := timer.NewVirtual(time.Unix(0, 0))
	w := &jsonlines.Writer{LinesPerSecond: 1 << 20, Out: out, Timer: clock}
	log := zerolog.New(w)
	out.failing = func() {
		clock.Advance(time.Second)
		for range 1000 {
			log.Warn().Str("request", strings.Repeat("x", 1000)).Msg("request refused")
		}
	}
	for range len(out.failures) {
		log.Warn().Msg("request refused")
		assert.ErrorIs(t, w.Flush(), errOutput)
	}
	assert.NilError(t, w.Flush())
	assert.Assert(t, out.Len() < 1<<20, "%d bytes", out.Len())
	assert.Assert(t, strings.Contains(out.String(), fmt.Sprintf(`"lines":%d,`, w.Dropped())))
}

// BenchmarkWriter measures the writing of one line of the router about a request.
func BenchmarkWriter(b *testing.B) {
	w := &jsonlines.Writer{LinesPerSecond: 1 << 40, Out: io.Discard, Timer: &timer.System{}}
	log := zerolog.New(w)
	for n := 0; b.Loop(); n++ {
		log.Info().Str("request", "9c41d07be2a35f68").Str("pool", "ledger").Uint64("version", 7).Dur("age", time.Millisecond).
			Int("sends", 1).Str("route", "r").Str("endpoint", "i-7").Int("status", 200).Msg("request ended")
		if n%1000 == 999 {
			if err := w.Flush(); err != nil {
				b.Fatal(err)
			}
		}
	}
}
