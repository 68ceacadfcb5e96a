package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/platform/standin"
)

const (
	// startTimeout is the longest time until the process is ready.
	startTimeout = 20 * time.Second
	// settleInterval is the time between two looks at the process' traffic. It has
	// settled when quietIntervals pass with less than quietBytes of it each.
	settleInterval = 100 * time.Millisecond
	quietIntervals = 3
	quietBytes     = 32 << 10
	settleTimeout  = 10 * time.Second
	// samplePeriod is the time between two counts of the descriptors.
	samplePeriod = 20 * time.Millisecond
)

// A process is the real program as a process.
type process struct {
	standin.Instance

	Metrics netip.AddrPort

	command        *exec.Cmd
	ended          chan struct{} // closed when the process has ended
	log            string        // path of its output
	maxDescriptors atomic.Int64  // highest number seen
	sampled        chan struct{} // closed when the descriptors are not counted any more
}

// buildProgram builds the program without the race detector, which multiplies memory,
// and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "persimmoncart")
	c := exec.Command("go", "build", "-buildvcs=false", "-o", path, "github.com/persimmoncart/persimmoncart/cmd/persimmoncart")
	output, err := c.CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return path
}

// startProcess starts the program with the given limits in its settings and waits until
// it is ready. It runs with the two processors that the runtime assumes on the platform's
// machines, which have less than one.
func startProcess(t *testing.T, program string, store netip.AddrPort, limits machineLimits) *process {
	t.Helper()
	folder := t.TempDir()
	p := &process{
		Instance: standin.Instance{Callers: freeAddr(t), DataCentre: "z0", Health: freeAddr(t), Name: "edge-0", Store: store},
		Metrics:  freeAddr(t), ended: make(chan struct{}), log: filepath.Join(folder, "log"), sampled: make(chan struct{}),
	}
	settings := fmt.Sprintf("%sinternal-ports: [%d, %[2]d]\nlimits: {memory-mb: %d, max-fds: %d}\n",
		p.Settings(), p.Metrics.Port(), limits.memoryMB, limits.descriptors)
	path := filepath.Join(folder, "settings.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	log, err := os.Create(p.log)
	assert.NilError(t, err)
	p.command = exec.Command(program, "platform", "--settings="+path)
	p.command.Env = append(os.Environ(), "GOMAXPROCS=2")
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	assert.NilError(t, p.command.Start())
	go func() {
		_ = p.command.Wait() // check reads the state from the command
		_ = log.Close()
		close(p.ended)
	}()
	go p.sample()
	t.Cleanup(func() {
		_ = p.command.Process.Kill() // fails only if the process has ended
		<-p.ended
		<-p.sampled
	})
	for deadline := time.Now().Add(startTimeout); !standin.Ready(p.Health); time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the process is not ready: %s", p.tail())
	}
	return p
}

// alive reports whether the process runs.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// descriptors returns the number of open descriptors; zero if the process has ended.
func (p *process) descriptors() int {
	entries, err := os.ReadDir(p.path("fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}

// path returns the path of a file of the process below /proc.
func (p *process) path(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), name)
}

// peakMemory returns the highest resident memory so far, in bytes; zero if the process
// has ended.
func (p *process) peakMemory() int64 { return p.field("status", "VmHWM:") << 10 }

// traffic returns the number of bytes that the process has read and written.
func (p *process) traffic() int64 { return p.field("io", "rchar:") + p.field("io", "wchar:") }

// field returns the number after a name in a file below /proc; zero if the process has
// ended.
func (p *process) field(file, name string) int64 {
	data, err := os.ReadFile(p.path(file))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), name)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	n, _ := strconv.ParseInt(fields[0], 10, 64) // the kernel writes a number
	return n
}

// sample counts the descriptors until the process has ended.
func (p *process) sample() {
	defer close(p.sampled)
	for {
		p.maxDescriptors.Store(max(p.maxDescriptors.Load(), int64(p.descriptors())))
		select {
		case <-p.ended:
			return
		case <-time.After(samplePeriod):
		}
	}
}

// settle waits until the process has handled what it was sent.
func (p *process) settle() {
	deadline := time.Now().Add(settleTimeout)
	for quiet, last := 0, p.traffic(); quiet < quietIntervals && p.alive() && time.Now().Before(deadline); {
		time.Sleep(settleInterval)
		now := p.traffic()
		if quiet++; now-last > quietBytes {
			quiet = 0
		}
		last = now
	}
}

// tail returns the last lines of the process' output.
func (p *process) tail() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	lines := bytes.Split(data, []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-6):], []byte("\n")))
}

// freeAddr returns a free address on the loopback interface. Its port is below the range
// of ephemeral ports, so that no outgoing connection takes it.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	const firstPort, portCount, maxTries = 12000, 18000, 100
	var c net.ListenConfig
	for range maxTries {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+rand.IntN(portCount)))
		l, err := c.Listen(context.Background(), "tcp4", addr.String())
		if err != nil {
			continue // the port is in use
		}
		assert.NilError(t, l.Close())
		return addr
	}
	t.Fatalf("no free port in %d tries", maxTries)
	return netip.AddrPort{}
}
