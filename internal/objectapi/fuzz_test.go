package objectapi

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// Guards against data from the store that makes a watch panic.
func FuzzWatchLines(f *testing.F) {
	f.Add([]byte("{\"key\":\"k\",\"version\":1}\n\n{}\n"))
	f.Fuzz(func(_ *testing.T, body []byte) {
		r := bufio.NewReader(bytes.NewReader(body))
		for {
			line, err := readLine(r)
			if err != nil {
				return
			}
			_, _ = parseEvent(line)
		}
	})
}

// Guards against requests that make the handler panic.
func FuzzHandler(f *testing.F) {
	f.Add("PUT", "/v1/objects/a%2Fb", `"1"`, []byte("x"))
	f.Add("GET", "/v1/list?prefix=a", "", []byte(nil))
	f.Fuzz(func(t *testing.T, method, target, tag string, body []byte) {
		r, err := http.NewRequestWithContext(t.Context(), method, target, bytes.NewReader(body))
		if err != nil || r.URL.Path == watchPath {
			return
		}
		r.Header.Set("If-Match", tag)
		m := &Memory{Timer: &timer.System{}}
		(&Handler{Store: m, Timer: m.Timer}).Handler().ServeHTTP(httptest.NewRecorder(), r)
	})
}

// Guards against a watch that waits forever on an interrupted network path. The
// instance would keep an old configuration.
func TestSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body, peer := net.Pipe()
		defer func() { _ = peer.Close() }()
		ctx, cancel := context.WithCancel(t.Context())
		context.AfterFunc(ctx, func() { _ = body.Close() })
		w := newClientWatch(body, cancel, &timer.System{})
		go func() {
			_, _ = io.WriteString(peer, "{\"key\":\"k\",\"version\":1}\n")
			time.Sleep(keepAliveInterval)
			_, _ = io.WriteString(peer, "\n")
		}()
		start := time.Now()
		_, err := w.Next(t.Context())
		assert.NilError(t, err)
		_, err = w.Next(t.Context())
		assert.ErrorIs(t, err, errWatchIdle)
		unavailable := &persimmoncart.UnavailableError{}
		assert.Assert(t, errors.As(err, &unavailable))
		assert.Equal(t, time.Since(start), keepAliveInterval+watchIdleTimeout)
		assert.NilError(t, w.Close())
	})
}
