package jsonlines_test

import (
	"bytes"
	"context"
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
