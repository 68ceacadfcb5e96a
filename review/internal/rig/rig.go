// Package rig starts the real program as separate processes on loopback addresses, with
// the stand-ins of the platform's store and endpoints around them, for the cases of the
// review.
package rig

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/platform/standin"
)

// Exit codes of a case.
const (
	Held     = 0 // the rule was kept
	Broken   = 1 // the rule was broken
	CouldNot = 2 // the case could not run
)

// Host is the host of all routes.
const Host = standin.Host

const (
	// program is the path of the program, built from deploy/system.toml.
	program = "target/persimmoncart"
	// readyTimeout bounds the wait for an instance to become ready.
	readyTimeout = 20 * time.Second
	// killTimeout bounds the wait for the end of a process that was killed.
	killTimeout = 5 * time.Second
)

// A Rig is the environment of one case. Folder is set before use.
type Rig struct {
	Folder string // of the case, for record.txt

	mutex     sync.Mutex
	processes []*Process
	record    *os.File
	started   time.Time
	Store     *standin.Store
	storeAddr netip.AddrPort
	temporary string // folder for settings and logs
}

// Trouble reports whether the case is to run with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case and exits with its result.
func Main(folder string, run func(ctx context.Context, r *Rig) int) {
	r := &Rig{Folder: folder}
	ctx, cancel := context.WithTimeout(context.Background(), 115*time.Second)
	code := r.run(ctx, run)
	cancel()
	os.Exit(code)
}

// run sets up the rig, runs the case and ends all processes.
func (r *Rig) run(ctx context.Context, run func(ctx context.Context, r *Rig) int) (code int) {
	if err := r.open(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CouldNot
	}
	defer r.close()
	defer func() {
		if p := recover(); p != nil {
			r.Recordf("the case could not run: %v", p)
			code = CouldNot
		}
	}()
	r.Recordf("trouble: %v", Trouble())
	code = run(ctx, r)
	r.Recordf("result: %d", code)
	return code
}

// open creates the record, the temporary folder and the store.
func (r *Rig) open(ctx context.Context) error {
	r.started = time.Now()
	var err error
	if r.record, err = os.Create(filepath.Join(r.Folder, "record.txt")); err != nil {
		return err
	}
	if r.temporary, err = os.MkdirTemp("", "review-"); err != nil {
		return err
	}
	r.Store = &standin.Store{Timer: &timer.System{}}
	r.storeAddr, err = Serve(ctx, r.Store)
	return err
}

// close ends all processes and removes the temporary folder.
func (r *Rig) close() {
	for _, p := range r.processes {
		p.Kill()
	}
	_ = os.RemoveAll(r.temporary)
	_ = r.record.Close()
}

// Recordf writes a line to the record.
func (r *Rig) Recordf(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, arguments...)
	_, _ = fmt.Fprintln(r.record, line)
	fmt.Println(line)
}

// Serve serves a handler on a free loopback port.
func Serve(ctx context.Context, h http.Handler) (netip.AddrPort, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ConnContext: standin.ConnContext}
	go func() { _ = server.Serve(l) }()
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

// MustServe is Serve for addresses that a case cannot do without.
func MustServe(ctx context.Context, h http.Handler) netip.AddrPort {
	addr, err := Serve(ctx, h)
	if err != nil {
		panic(err)
	}
	return addr
}

// freeAddr returns a loopback address with a free port.
func freeAddr() netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// A Process is one instance of the program.
type Process struct {
	Callers netip.AddrPort
	Health  netip.AddrPort
	Name    string

	command  *exec.Cmd
	ended    chan struct{}
	log      string
	settings string
}

// Start starts an instance in a data centre and waits until it is ready.
func (r *Rig) Start(name, zone string) *Process {
	p := &Process{Callers: freeAddr(), Health: freeAddr(), Name: name}
	p.settings, p.log = filepath.Join(r.temporary, name+".yaml"), filepath.Join(r.temporary, name+".log")
	if err := os.WriteFile(p.settings, []byte(r.settingsOf(p, zone)), 0o600); err != nil {
		panic(err)
	}
	r.processes = append(r.processes, p)
	r.Restart(p)
	return p
}

// Restart starts the process of an instance and waits until it is ready.
func (r *Rig) Restart(p *Process) {
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	c := exec.Command(program, "platform")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERSIMMONCART_SETTINGS=" + p.settings}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := c.Start(); err != nil {
		panic(err)
	}
	p.command, p.ended = c, make(chan struct{})
	go func() {
		_ = c.Wait() // the record has the exit code
		_ = log.Close()
		close(p.ended)
	}()
	for end := time.Now().Add(readyTimeout); !standin.Ready(p.Health); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			panic(p.Name + " is not ready")
		}
	}
	r.Recordf("%s is ready", p.Name)
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// PID returns the identifier of the process.
func (p *Process) PID() int { return p.command.Process.Pid }

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// ExitCode returns the exit code of a process that has ended.
func (p *Process) ExitCode() int { return p.command.ProcessState.ExitCode() }

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	if p.command == nil {
		return
	}
	p.Signal(syscall.SIGKILL)
	select {
	case <-p.ended:
	case <-time.After(killTimeout):
	}
}

// Log returns what the instance has logged.
func (p *Process) Log() string {
	data, _ := os.ReadFile(p.log)
	return string(data)
}

// settingsOf returns the settings file of an instance, with the figures of the
// deployment of eight machines on the users' pages.
func (r *Rig) settingsOf(p *Process, zone string) string {
	return fmt.Sprintf(`node: %q
role: entry
machine-class: edge
serves: [edge]
ip: 127.0.0.1
zone: %s
region: sfax-coast
zones: {sfax-hall1: sfax-coast, sfax-hall2: sfax-coast, kass-hall1: kasserine-hl}
listen: {front: %q, ready: %q}
bootstrap: true
limits: {cpu-share: 0.4, cpu-cores: 1, memory-mb: 134, max-fds: 4100, link-mbps: 1000.0, disk-mb: 0}
discovery: platform
entry: vip
heartbeat-ms: 1200
bounds: {seed-lag-s: 3, addr-reuse-s: 2, contact-ms: 4000, ack-ms: 5000, catch-up-s: 4, drain-ms: 2500, grace-s: 8,
  loss-slack-ms: 200, config-apply-ms: 2500, rollback-slack-ms: 250, max-skew-ms: 6000, retry-budget-ratio: 0.2,
  budget-window-s: 10, retry-slack: 56, recover-s: 12, max-transit-ms: 250, again-s: 6.5, fencing: true, lease-ms: 3000, thaw-ms: 300}
platform: {addr: %q, form: objects, writes-per-s: 400, reads-per-s: 2000, history-s: 20, value-bytes: 1048576, ttl-min-ms: 1000}
`, p.Name, zone, p.Callers, p.Health, r.storeAddr)
}
