package crowd_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/platform/standin"
)

const (
	// maxBodyBytes and maxHeaderBytes are the limits of the configuration.
	maxBodyBytes   = 4 << 20
	maxHeaderBytes = 16 << 10
	// slots is the number of requests that an endpoint runs at the same time. It is far
	// more than the crowds send.
	slots = 4096
)

// A sizedHandler responds with a body of Size bytes to plain requests, and with Events
// events of Size bytes to generations.
type sizedHandler struct {
	Events  int
	Size    int
	Standin http.Handler // serves everything else
}

// ServeHTTP implements http.Handler.
func (h *sizedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	generation := r.Header.Get("X-Token-Count") != ""
	if r.Header.Get("X-Attempt-Id") == "" || r.Header.Get("X-Stage") != "" || generation != (h.Events > 0) {
		h.Standin.ServeHTTP(w, r)
		return
	}
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Response-Seal", "seal")
	if !generation {
		w.Header().Set("Content-Length", strconv.Itoa(h.Size))
		_, _ = w.Write(make([]byte, h.Size)) // fails when the crowd has left
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	data := strings.Repeat("x", h.Size)
	for n := range h.Events {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, data); err != nil {
			return
		}
	}
}

// startPlatform starts the store and the endpoints, writes the configuration, and
// returns the store's address. The routes are look, with short answers; file, with
// answers of 250 KB; large, with answers of 2 MB; and draft, with streams of 2,000
// events of 1 KB.
func startPlatform(t *testing.T) netip.AddrPort {
	t.Helper()
	store := &standin.Store{Timer: &timer.System{}}
	var routes, pools []any
	for n, pool := range []struct {
		name, role string
		events     int
		size       int
	}{{name: "look"}, {name: "file", size: 250_000}, {name: "large", size: 2_000_000}, {name: "draft", role: "prefill"}, {name: "draft", role: "decode", events: 2000, size: 1000}} {
		id := fmt.Sprintf("i-%d", n)
		e := &standin.Endpoint{Born: time.UnixMilli(1000), ID: id, Role: pool.role, Slots: slots, Software: "v1", Timer: &timer.System{}}
		var handler http.Handler = e
		if pool.size > 0 {
			handler = &sizedHandler{Events: pool.events, Size: pool.size, Standin: e}
		}
		store.PutEndpoint(&standin.EndpointRecord{
			Addr: serve(t, handler), Born: e.Born, DataCentre: "z0", ID: id, Pool: pool.name, Role: pool.role, Slots: slots, Software: e.Software,
		})
		route := map[string]any{
			"name": pool.name, "host": standin.Host, "prefix": "/" + pool.name + "/", "kind": standin.KindIdempotent, "pool": pool.name,
			"timeout": 14000, "aim": 2000, "rank": 1, "tries": 2,
		}
		record := map[string]any{"name": pool.name, "max-conns": slots}
		switch pool.role {
		case "prefill":
			continue // the decode engine's entry stands for both
		case "decode":
			route["kind"], route["gap"] = standin.KindStreaming, 5000
			record["engine"] = map[string]any{"slots": slots, "kv-capacity": 1 << 30, "handle-ttl-s": 0.5, "hold-ms": 2000}
		}
		routes, pools = append(routes, route), append(pools, record)
	}
	store.Put("config", "main", map[string]any{
		"version": 1, "routes": routes, "services": pools,
		"limits": map[string]any{"max-header-bytes": maxHeaderBytes, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 1000, "idle-timeout-ms": 3000},
	})
	return serve(t, store)
}

// serve serves a handler on a free port of the loopback interface until the test ends.
func serve(t *testing.T, h http.Handler) netip.AddrPort {
	t.Helper()
	var c net.ListenConfig
	l, err := c.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{ConnContext: standin.ConnContext, Handler: h, ReadHeaderTimeout: time.Minute}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(l) }) // returns when the server is closed
	t.Cleanup(func() {
		_ = server.Close()
		group.Wait()
	})
	return l.Addr().(*net.TCPAddr).AddrPort()
}
