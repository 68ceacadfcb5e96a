package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart/platform/standin"
)

// A process runs one instance of the real program. Its exported fields are set
// before start.
type process struct {
	standin.Instance

	Folder  string // for settings and logs
	Program string // path of the executable

	command  *exec.Cmd
	ended    chan struct{} // closed when the process has ended
	failed   int           // ends without a signal
	mutex    sync.Mutex
	started  time.Time // last start
	stopping bool      // SIGTERM or SIGKILL was sent
}

// start writes the instance's settings and starts the program, with its output
// appended to a log file. The program is in a process group of its own: a signal to
// the group of the soak, such as an interrupt from the terminal, would end it and
// look like a violation.
func (p *process) start() error {
	settings := filepath.Join(p.Folder, p.Name+".yaml")
	if err := os.WriteFile(settings, []byte(p.Settings()), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	log, err := os.OpenFile(filepath.Join(p.Folder, p.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	c := exec.Command(p.Program, "platform", "--settings="+settings)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	begun := time.Now()
	if err := c.Start(); err != nil {
		return errors.Wrap(err, "start program")
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.command, p.ended, p.started, p.stopping = c, make(chan struct{}), begun, false
	ended := p.ended
	go func() {
		_ = c.Wait() // wait reads the exit code from the command
		_ = log.Close()
		if !p.isStopping() {
			p.mutex.Lock()
			p.failed++
			p.mutex.Unlock()
		}
		close(ended)
	}()
	return nil
}

// signal sends a signal to the program, if it was started.
func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.stopping = true
	}
	_ = p.command.Process.Signal(s) // fails only if the process has ended
}

// wait waits for the end of the program and returns its exit code, or -1 if a
// signal ended it. It reports false if that takes longer than limit.
func (p *process) wait(limit time.Duration) (code int, ended bool) {
	p.mutex.Lock()
	command, done := p.command, p.ended
	p.mutex.Unlock()
	expired := time.After(limit)
	select {
	case <-done:
	case <-expired:
		select {
		case <-done: // select chooses at random if both are ready
		default:
			return 0, false
		}
	}
	return command.ProcessState.ExitCode(), true
}

// isStopping reports whether SIGTERM or SIGKILL was sent to the program.
func (p *process) isStopping() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.stopping
}

// startTime returns the time of the last start of the program.
func (p *process) startTime() time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.started
}

// failures returns how often the program has ended without a signal.
func (p *process) failures() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.failed
}
