package loadgen_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/application"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/fakes"
	"github.com/persimmoncart/persimmoncart/internal/loadgen"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// A router is a fake entry instance, with one fault if fault is set.
type router struct {
	fault   string
	records map[string]application.Record
}

// ServeHTTP implements http.Handler.
func (s *router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if s.fault == "refused" || s.fault == "untrue" {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":{"code":"capacity","message":"m","outcome":"not_run","retry":"1s"}}`)
		return
	}
	_, path, _ := strings.Cut(strings.TrimPrefix(r.URL.RequestURI(), "/"), "/")
	switch {
	case strings.HasSuffix(r.URL.Path, "/completions"):
		s.complete(w, body)
	case r.Method == http.MethodGet:
		w.Write(application.FakeLookup("/" + path))
	default:
		w.Write(application.FakeReceipt(r.Header.Get("Idempotency-Key"), body))
	}
}

// complete answers a completion request, with streaming if requested.
func (s *router) complete(w http.ResponseWriter, body []byte) {
	var q struct {
		Limit    int `json:"max_tokens"`
		Messages []struct{ Content string }
		Prompt   string
		Stream   bool
	}
	json.Unmarshal(body, &q)
	field := `"text":%q`
	if len(q.Messages) > 0 {
		q.Prompt = "user: " + q.Messages[0].Content + "\nassistant: "
		field = `"delta":{"content":%q}`
	}
	if !q.Stream {
		s.completeNonStreaming(w, q.Prompt, q.Limit)
		return
	}
	for i := range q.Limit {
		reason := "null"
		switch {
		case i+1 == q.Limit:
			reason = `"length"`
		case i != 3:
		case s.fault == "skipped":
			continue
		case s.fault == "cut":
			panic(http.ErrAbortHandler)
		case s.fault == "event":
			fmt.Fprint(w, "event: error\ndata: {\"error\":{\"code\":\"stream_broken\",\"message\":\"m\",\"outcome\":\"unknown\"}}\n\n")
			return
		}
		fmt.Fprintf(w, `data: {"id":"r","choices":[{"index":0,`+field+`,"finish_reason":%s}]}`+"\n\n", engine.FakeToken(q.Prompt, i), reason)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// completeNonStreaming answers a completion request without streaming.
func (*router) completeNonStreaming(w http.ResponseWriter, prompt string, limit int) {
	var text strings.Builder
	for i := range limit {
		text.WriteString(engine.FakeToken(prompt, i))
	}
	fmt.Fprintf(w, `{"choices":[{"index":0,"text":%q,"finish_reason":"length"}]}`, text.String())
}

// run runs the mix of peachthread for 200 ms against a router and returns the
// verified report.
func run(t *testing.T, s *router) *loadgen.Report {
	t.Helper()
	server := httptest.NewServer(s)
	defer server.Close()
	client := transport.NewClient(nil)
	defer client.CloseIdleConnections()
	unreachable := httptest.NewServer(nil)
	unreachable.Close()
	r := &loadgen.Runner{
		// Requests that cannot reach the first instance go to the second.
		Addrs: []netip.AddrPort{
			netip.MustParseAddrPort(unreachable.Listener.Addr().String()),
			netip.MustParseAddrPort(server.Listener.Addr().String()),
		},
		HTTP: client,
		Source: &loadgen.Source{
			Curve: loadgen.Constant(400), Duration: 200 * time.Millisecond, Mix: loadgen.Peachthread(), KeyPrefix: "t", Seed: 1,
		},
		Targets: loadgen.Targets{FirstToken: time.Minute, TokenGap: time.Minute},
		Timer:   &timer.System{},
	}
	report, err := r.Run(t.Context())
	assert.NilError(t, err)
	report.Verify(s.records)
	return report
}

// keys returns records of the idempotency keys that run uses, each with the
// given number of runs.
func keys(runs int) map[string]application.Record {
	records := map[string]application.Record{}
	s := &loadgen.Source{Curve: loadgen.Constant(400), Duration: 200 * time.Millisecond, Mix: loadgen.Peachthread(), KeyPrefix: "t", Seed: 1}
	for q, ok := s.Next(); ok; q, ok = s.Next() {
		if q.IdempotencyKey != "" {
			records[q.IdempotencyKey] = application.Record{Runs: runs}
		}
	}
	return records
}

// Guards against faulty responses and records that a load run counts as
// correct.
func TestRunnerFindsFaults(t *testing.T) {
	cases := []struct {
		fault string
		runs  int
		check func(*loadgen.Report) bool
	}{
		{"", 1, func(r *loadgen.Report) bool { return r.Passed() && r.Answered == r.Requests && r.Goodput == 1 }},
		{"cut", 1, func(r *loadgen.Report) bool { return r.Failed > 0 }},
		{"duplicate", 2, func(r *loadgen.Report) bool { return r.Duplicates > 0 && r.Lost == 0 }},
		{"event", 1, func(r *loadgen.Report) bool {
			return r.Unknown > 0 && r.Refusals["stream_broken"] == r.Unknown && r.Passed()
		}},
		{"lost", 0, func(r *loadgen.Report) bool { return r.Lost > 0 && r.Duplicates == 0 }},
		{"refused", 0, func(r *loadgen.Report) bool { return r.Refused == r.Requests && r.FalseRefusals == 0 }},
		{"skipped", 1, func(r *loadgen.Report) bool { return r.Invalid > 0 }},
		{"untrue", 1, func(r *loadgen.Report) bool { return r.FalseRefusals > 0 }},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			r := run(t, &router{fault: c.fault, records: keys(c.runs)})
			assert.Assert(t, c.check(r), "%+v", r)
			if c.fault != "" && c.fault != "event" {
				assert.Assert(t, !r.Passed())
			}
		})
	}
}

// Guards against reports that cannot be written as table, JSON or plots.
func TestOutputs(t *testing.T) {
	r := run(t, &router{records: keys(1)})
	r.SetWastedPrefill(engine.Counters{}, engine.Counters{Prefilled: 100, Wasted: 1})
	var table bytes.Buffer
	assert.NilError(t, r.WriteTable(&table))
	assert.Assert(t, strings.Contains(table.String(), "wasted prefill 0.0100"), table.String())
	b, err := json.Marshal(r)
	assert.NilError(t, err)
	for _, field := range []string{"requests", "answered", "refused", "duplicates", "lost", "wrong", "wasted_prefill"} {
		assert.Assert(t, bytes.Contains(b, []byte(`"`+field+`":`)), "%s", b)
	}
	directory := t.TempDir()
	for _, extension := range []string{".png", ".svg"} {
		assert.NilError(t, r.SavePlots(filepath.Join(directory, "run"+extension)))
	}
	files, err := os.ReadDir(directory)
	assert.NilError(t, err)
	assert.Equal(t, len(files), 4)
	e := &loadgen.ExtensionError{}
	assert.Assert(t, errors.As(r.SavePlots("x.gif"), &e))
}

// Guards against arrivals that do not follow their curve or differ between
// runs of one seed.
func TestSource(t *testing.T) {
	sheet := "day,pool,model,from,to,rate,prefill,decode\n2026-12-04,p,m,06:00,07:00,10,1,1\n2026-12-04,p,m,07:00,08:00,40,1,1\n"
	curve, err := loadgen.NewSheet("s.csv", []byte(sheet), 60, 2)
	assert.NilError(t, err)
	count := func(c loadgen.Curve, seed uint64, from, to time.Duration) (n int) {
		lookups := loadgen.Mix{Workloads: []loadgen.Workload{{Kind: loadgen.KindLookup, Share: 1}}}
		s := &loadgen.Source{Curve: c, Duration: 2 * time.Minute, Mix: lookups, Seed: seed}
		for q, ok := s.Next(); ok; q, ok = s.Next() {
			if q.Start >= from && q.Start < to {
				n++
			}
		}
		return n
	}
	cases := []struct {
		name     string
		curve    loadgen.Curve
		from, to time.Duration
		want     int
	}{
		{"constant", loadgen.Constant(10), 0, time.Minute, 600},
		{"crest after", loadgen.Overload{Base: 10, Duration: 2 * time.Minute}, 84 * time.Second, 2 * time.Minute, 360},
		{"crest top", loadgen.Overload{Base: 10, Duration: 2 * time.Minute}, 44 * time.Second, 80 * time.Second, 1080},
		{"sheet first hour", curve, 0, time.Minute, 1200},
		{"sheet second hour", curve, time.Minute, 2 * time.Minute, 4800},
	}
	for _, c := range cases {
		n := count(c.curve, 1, c.from, c.to)
		// Within four standard deviations of a Poisson count.
		assert.Assert(t, (n-c.want)*(n-c.want) <= 16*c.want, "%s: %d arrivals, want about %d", c.name, n, c.want)
		assert.Equal(t, n, count(c.curve, 1, c.from, c.to))
	}
	_, err = loadgen.NewSheet("s.csv", []byte(sheet), 0, 1)
	assert.ErrorContains(t, err, "scale 0")
	_, err = loadgen.MixByName("x")
	e := &fakes.UnknownDeploymentError{}
	assert.Assert(t, errors.As(err, &e))
}
