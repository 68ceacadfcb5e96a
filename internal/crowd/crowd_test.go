package crowd_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// smallestMemoryMB and smallestDescriptors are the limits of the platform's smallest
	// machines. A peak of resident memory above the first, in megabytes, fails a case.
	smallestMemoryMB    = 112
	smallestDescriptors = 3075
	// ordinaryTimeout is the longest time until an ordinary request is answered with 200
	// while the crowd is connected. It only ends a test that fails.
	ordinaryTimeout = 30 * time.Second
)

// A machineLimits are the limits of a machine in the settings, which the process has to
// stay within.
type machineLimits struct {
	descriptors int
	memoryMB    int
}

// smallest are the limits of the platform's smallest machines.
var smallest = machineLimits{descriptors: smallestDescriptors, memoryMB: smallestMemoryMB}

// A crowdCase is a crowd of clients. Each of them is played by Play, which returns when the
// client has sent what it wants to send, and stays connected until the end of the case.
type crowdCase struct {
	Clients int
	Limits  machineLimits
	Name    string
	Play    func(ctx context.Context, c *client, n int)
	Reads   bool                                   // its clients have the usual receive buffer
	Target  func(p *process, n int) netip.AddrPort // nil means the callers' listener
}

// largePiece is the size of the pieces of a body that is not sent in small ones, bytes.
const largePiece = 64 << 10

// unfinished plays clients whose body stops 1 KB short of its end.
func unfinished(path string, chunked bool, piece int) func(context.Context, *client, int) {
	return func(_ context.Context, c *client, n int) {
		length := fmt.Sprintf("Content-Length: %d", maxBodyBytes)
		if chunked {
			length = "Transfer-Encoding: chunked"
		}
		if c.send([]byte(head("POST", path, fmt.Sprintf("c-%d", n), length) + "\r\n")) {
			c.sendPieces(maxBodyBytes-max(piece, 1<<10), piece, chunked)
		}
	}
}

// elsewhere plays unfinished bodies where none is read: at a path without a route, at the
// path of the readiness check, and on the listeners for the check and the metrics.
func elsewhere(ctx context.Context, c *client, n int) {
	path := []string{"/none/1", "/persimmoncart/ready", "/persimmoncart/ready", "/metrics"}[n%4]
	unfinished(path, n/4%2 == 0, largePiece)(ctx, c, n)
}

// elsewhereTarget returns the listener of a client of elsewhere.
func elsewhereTarget(p *process, n int) netip.AddrPort {
	return []netip.AddrPort{p.Callers, p.Callers, p.Health, p.Metrics}[n%4]
}

// manyFields plays clients whose head has as many fields as are legal, with an unfinished
// body.
func manyFields(path string) func(context.Context, *client, int) {
	return func(_ context.Context, c *client, n int) {
		c.send([]byte(head("POST", path, fmt.Sprintf("c-%d", n), "Content-Length: 10", shortFields()) + "\r\nhalf"))
	}
}

// cases are all crowds. Their numbers and the bounds are fixed: they show the fault on the
// code before internal/inbound (see the commit that added them).
var cases = []crowdCase{
	{Name: "chunked bodies", Clients: 60, Limits: smallest, Reads: true, Play: unfinished("/look/1", true, largePiece)},
	{Name: "bodies elsewhere", Clients: 60, Limits: smallest, Reads: true, Play: elsewhere, Target: elsewhereTarget},
	{Name: "bodies of stated length", Clients: 60, Limits: smallest, Reads: true, Play: unfinished("/look/1", false, largePiece)},
	{Name: "bodies in small pieces", Clients: 60, Limits: smallest, Reads: true, Play: unfinished("/look/1", false, 1<<10)},
	{Name: "bodies over the limit", Clients: 48, Limits: smallest, Reads: true, Play: func(_ context.Context, c *client, n int) {
		length := "Content-Length: 67108864"
		if n%2 == 0 {
			length = "Transfer-Encoding: chunked"
		}
		if c.send([]byte(head("POST", "/look/1", fmt.Sprintf("c-%d", n), length) + "\r\n")) {
			c.sendPieces(6<<20, largePiece, n%2 == 0)
		}
	}},
	{Name: "many fields", Clients: 400, Limits: smallest, Reads: true, Play: manyFields("/look/1")},
	{
		Name: "many fields at the ready path", Clients: 400, Limits: smallest, Reads: true, Play: manyFields("/persimmoncart/ready"),
		Target: func(p *process, _ int) netip.AddrPort { return p.Health },
	},
	{Name: "many fields without an end", Clients: 400, Limits: smallest, Reads: true, Play: func(_ context.Context, c *client, n int) {
		c.send([]byte(head("GET", "/look/1", fmt.Sprintf("c-%d", n), shortFields())))
	}},
	{Name: "pipelined requests", Clients: 8, Limits: smallest, Play: func(_ context.Context, c *client, n int) {
		for k := range 3000 {
			path := []string{"/look/1", "/file/1"}[k%2]
			if !c.send([]byte(head("GET", path, fmt.Sprintf("c-%d-%d", n, k)) + "\r\n")) {
				return
			}
		}
	}},
	{Name: "slow heads", Clients: 400, Limits: machineLimits{descriptors: 256, memoryMB: smallestMemoryMB}, Reads: true, Play: func(ctx context.Context, c *client, n int) {
		text := head("GET", "/look/1", fmt.Sprintf("c-%d", n), "X-Filler: "+strings.Repeat("x", 1<<10))
		if n%2 == 0 {
			c.send([]byte(text[:len(text)/2]))
			return
		}
		go c.trickle(ctx, text)
	}},
	{Name: "slow readers", Clients: 400, Limits: smallest, Play: func(_ context.Context, c *client, n int) {
		c.send([]byte(head("GET", "/file/1", fmt.Sprintf("c-%d", n)) + "\r\n"))
	}},
	{Name: "slow readers of large answers", Clients: 100, Limits: smallest, Play: func(_ context.Context, c *client, n int) {
		c.send([]byte(head("GET", "/large/1", fmt.Sprintf("c-%d", n)) + "\r\n"))
	}},
	{Name: "slow readers of streams", Clients: 100, Limits: smallest, Play: func(_ context.Context, c *client, n int) {
		c.send([]byte(head("GET", "/draft/1", fmt.Sprintf("c-%d", n), "X-Token-Count: 100,100", "X-Model: m") + "\r\n"))
	}},
}

// Guards against processes that exceed the memory or the descriptors of their machine,
// end, or serve nobody else, because of clients outside our control.
func TestCrowds(t *testing.T) {
	program := buildProgram(t)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { c.run(t, program) })
	}
}

// run plays the crowd and checks the process.
func (k *crowdCase) run(t *testing.T, program string) {
	p := startProcess(t, program, startPlatform(t), k.Limits)
	before := p.peakMemory()
	ctx, stop := context.WithCancel(t.Context())
	clients := make([]*client, k.Clients)
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	for n := range clients {
		group.Go(func() {
			target := p.Callers
			if k.Target != nil {
				target = k.Target(p, n)
			}
			clients[n] = newClient(ctx, target, k.Reads)
			k.Play(ctx, clients[n], n)
		})
	}
	group.Wait()
	p.settle()
	answered := p.askUntilAnswered(ctx)
	peak, descriptors := p.peakMemory(), p.maxDescriptors.Load()
	t.Logf("peak %.1f MB of %d MB (%.1f MB before the crowd), %d descriptors of %d, answered: %t",
		float64(peak)/1e6, k.Limits.memoryMB, float64(before)/1e6, descriptors, k.Limits.descriptors, answered)
	stop()
	for _, c := range clients {
		c.close()
	}
	assert.Check(t, p.alive(), "the process has ended: %s", p.tail())
	assert.Check(t, peak > 0 && peak <= int64(k.Limits.memoryMB)*1e6, "peak of resident memory: %d bytes", peak)
	assert.Check(t, descriptors > 0 && descriptors <= int64(k.Limits.descriptors), "open descriptors: %d", descriptors)
	assert.Check(t, answered, "an ordinary request is not answered: %s", p.tail())
}

// askUntilAnswered sends ordinary requests until one is answered with 200, and reports
// false after ordinaryTimeout.
func (p *process) askUntilAnswered(ctx context.Context) bool {
	deadline := time.Now().Add(ordinaryTimeout)
	for n := 0; p.alive() && time.Now().Before(deadline); n++ {
		if status, err := askOrdinary(ctx, p.Callers, fmt.Sprintf("ordinary-%d", n)); err == nil && status == http.StatusOK {
			return true
		}
		time.Sleep(settleInterval)
	}
	return false
}
