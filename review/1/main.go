// Command 1 shows that a stopping instance goes on to accept requests on kept
// connections while one slow caller sends the header of its first request, and cuts
// their streams at the end of the grace time.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/platform/standin"
	"github.com/persimmoncart/persimmoncart/review/internal/rig"
)

const (
	engines = "hull-llm"
	books   = "yard-books"
	// events and eventInterval give a stream of 69 tokens at 60 ms each.
	events        = 69
	eventInterval = 60 * time.Millisecond
	// streamDeadline is the callers' deadline, and the route's timeout.
	streamDeadline = 14 * time.Second
	// headerTime is the time that a slow caller takes to send its header, below the
	// configuration's header-timeout-ms of 3000.
	headerTime = 2800 * time.Millisecond
	// keptCallers is the number of callers with a kept connection. The first sends its
	// stream firstStream after the signal, the others streamSpacing apart.
	keptCallers   = 8
	firstStream   = 3700 * time.Millisecond
	streamSpacing = 100 * time.Millisecond
	// earliestCounted is the time after SIGTERM from which a request counts although its
	// replica is at work in the last sixth of the grace time.
	earliestCounted = 3 * time.Second
)

func main() { rig.Main("review/1", run) }

// An endpoint is a replica that records which requests reach it.
type endpoint struct {
	*standin.Endpoint

	mutex  sync.Mutex
	passed map[string]bool
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Attempt-Id"); id != "" && r.Header.Get("X-Stage") == "" {
		e.mutex.Lock()
		e.passed[id] = true
		e.mutex.Unlock()
	}
	e.Endpoint.ServeHTTP(w, r)
}

// startEndpoints starts two engines of each role and two application endpoints.
func startEndpoints(ctx context.Context, r *rig.Rig) []*endpoint {
	var all []*endpoint
	for n, role := range []string{"prefill", "prefill", "decode", "decode", "", ""} {
		pool := engines
		if role == "" {
			pool = books
		}
		e := &endpoint{passed: make(map[string]bool), Endpoint: &standin.Endpoint{
			Born: time.Now(), EventInterval: eventInterval, Events: events, ID: fmt.Sprintf("i-%d", n), Role: role, Slots: 12,
			Software: "v1", Timer: &timer.System{}, WorkTime: 15 * time.Millisecond,
		}}
		addr := rig.MustServe(ctx, e)
		r.Store.PutEndpoint(&standin.EndpointRecord{
			Addr: addr, Born: e.Born, DataCentre: "sfax-hall1", ID: e.ID, Pool: pool, Role: role, Slots: 12, Software: "v1",
		})
		all = append(all, e)
	}
	return all
}

// A balancer asks an instance each second whether it is ready, and sends it no new
// channels after two misses.
type balancer struct {
	misses int
	mutex  sync.Mutex
}

// run asks until ctx is done. Each question is answered on asked.
func (b *balancer) run(ctx context.Context, r *rig.Rig, p *rig.Process, asked chan<- struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		ready := standin.Ready(p.Health)
		b.mutex.Lock()
		if b.misses++; ready {
			b.misses = 0
		}
		if !ready {
			r.Recordf("platform: %s is not ready, miss %d", p.Name, b.misses)
		}
		b.mutex.Unlock()
		select {
		case asked <- struct{}{}:
		default:
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// sends reports whether the platform sends new channels to the instance.
func (b *balancer) sends() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.misses < 2
}

// A channel is a caller's connection to the instance.
type channel struct {
	net.Conn

	reader *bufio.Reader
}

// dial opens a channel.
func dial(p *rig.Process) *channel {
	c, err := net.DialTimeout("tcp4", p.Callers.String(), time.Second)
	if err != nil {
		panic(err)
	}
	return &channel{Conn: c, reader: bufio.NewReader(c)}
}

// open reports whether the instance has not closed the channel.
func (c *channel) open() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	timeout, ok := err.(net.Error) //nolint:errorlint // Peek returns the connection's error
	return ok && timeout.Timeout()
}

// lookUp sends a lookup and reads its response. The header is sent in two parts with the
// given pause.
func (c *channel) lookUp(id string, pause time.Duration) error {
	if _, err := fmt.Fprintf(c, "GET /look/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n", id, rig.Host, id); err != nil {
		return err
	}
	time.Sleep(pause)
	if _, err := io.WriteString(c, "X-Deadline-Ms: 800\r\n\r\n"); err != nil {
		return err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// A streamResult is the end of one stream.
type streamResult struct {
	err    error // nil if it is complete
	id     string
	pieces int
	sent   time.Time
	status int
	took   time.Duration
	unread bool // the channel was closed before the request was sent
}

// stream sends a request for a certificate and reads its stream.
func (c *channel) stream(id string) streamResult {
	result := streamResult{id: id}
	if result.unread = !c.open(); result.unread {
		return result
	}
	result.sent = time.Now()
	body := "intake dossier of " + id
	_, result.err = fmt.Fprintf(c, "POST /cert/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Count: 1500,%d\r\n"+
		"X-Prefix-Hash: 5c1e07a2:200,%x:1300\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		id, rig.Host, id, events, id, streamDeadline.Milliseconds(), len(body), body)
	if result.err != nil {
		return result
	}
	response, err := http.ReadResponse(c.reader, nil)
	if result.err = err; err != nil {
		result.took = time.Since(result.sent)
		return result
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	data, err := io.ReadAll(response.Body)
	result.err, result.status, result.took = err, response.StatusCode, time.Since(result.sent)
	result.pieces = strings.Count(string(data), "\n\n")
	return result
}

func run(ctx context.Context, r *rig.Rig) int {
	endpoints := startEndpoints(ctx, r)
	r.Store.PutConfiguration(7, []standin.Route{
		{Kind: standin.KindIdempotent, LatencyTarget: 150 * time.Millisecond, MaxAttempts: 2, Name: "look", Pool: books, Timeout: 800 * time.Millisecond},
		{Kind: standin.KindStreaming, LatencyTarget: 900 * time.Millisecond, MaxAttempts: 1, Name: "cert", Pool: engines, Timeout: streamDeadline},
	}, map[string]standin.EngineCapacity{engines: {KVTokens: 33736, Slots: 12}})
	p := r.Start("edge-sfax-hall1-1", "sfax-hall1")

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var kept []*channel
	for n := range keptCallers {
		c := dial(p)
		if err := c.lookUp(fmt.Sprintf("before-%d", n), 0); err != nil {
			panic(err)
		}
		kept = append(kept, c)
	}
	r.Recordf("%d callers have kept their channels after a lookup", keptCallers)

	b, asked := &balancer{}, make(chan struct{}, 1)
	go b.run(ctx, r, p, asked)
	<-asked
	<-asked // the signal comes just after a question
	signalled := time.Now()
	if rig.Trouble() {
		p.Signal(syscall.SIGTERM)
		r.Recordf("SIGTERM to %s", p.Name)
	}
	var callers sync.WaitGroup
	callers.Go(func() { // one new channel every 300 ms, as long as the platform sends any
		for n := 0; time.Since(signalled) < 2400*time.Millisecond; n++ {
			if b.sends() {
				opened := dial(p)
				at := time.Since(signalled)
				callers.Go(func() {
					err := opened.lookUp(fmt.Sprintf("slow-%d", n), headerTime)
					r.Recordf("lookup on a channel opened %v after the signal, header sent in %v: %v", at.Round(time.Millisecond), headerTime, err)
				})
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
	results := make(chan streamResult, keptCallers)
	for n, c := range kept {
		callers.Go(func() {
			time.Sleep(time.Until(signalled.Add(firstStream + time.Duration(n)*streamSpacing)))
			results <- c.stream(fmt.Sprintf("cert-%d", n))
		})
	}
	callers.Wait()
	close(results)
	if rig.Trouble() {
		<-p.Ended()
		r.Recordf("%s has ended %v after the signal with code %d", p.Name, time.Since(signalled).Round(time.Millisecond), p.ExitCode())
	}
	return judge(r, endpoints, signalled, results)
}

// judge applies the rule LOST to the streams.
func judge(r *rig.Rig, endpoints []*endpoint, signalled time.Time, results <-chan streamResult) int {
	lost, complete := 0, 0
	for s := range results {
		passed := false
		for _, e := range endpoints {
			e.mutex.Lock()
			passed = passed || e.passed[s.id]
			e.mutex.Unlock()
		}
		if s.unread {
			r.Recordf("%s: its channel was closed before it was sent", s.id)
			continue
		}
		after := s.sent.Sub(signalled)
		r.Recordf("%s: sent %v after the signal, passed on to a replica: %v, status %d, %d of %d events, ended after %v: %v",
			s.id, after.Round(time.Millisecond), passed, s.status, s.pieces, events, s.took.Round(time.Millisecond), s.err)
		switch {
		case s.err == nil && s.pieces == events:
			complete++
		case passed && s.err != nil && after > earliestCounted && s.took < streamDeadline:
			lost++
		}
	}
	r.Recordf("%d streams complete, %d lost", complete, lost)
	switch {
	case lost > 0:
		return rig.Broken
	case !rig.Trouble() && complete < keptCallers:
		return rig.CouldNot
	}
	return rig.Held
}
