package soak

import (
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/testmain"
	"github.com/persimmoncart/persimmoncart/platform/standin"
)

// programVariable is set in the environment of the test's program when it is started
// in place of the real one.
const programVariable = "SOAK_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		time.Sleep(time.Minute) // until it is killed
		return
	}
	testmain.Run(m)
}

// newProcess returns a process that runs the test's program.
func newProcess(t *testing.T, name string) *process {
	t.Helper()
	program, err := os.Executable()
	assert.NilError(t, err)
	t.Setenv(programVariable, "1")
	return &process{Folder: t.TempDir(), Instance: standin.Instance{Name: name}, Program: program}
}

// Guards against a program that has ended and is taken for a running one, and so is
// not started again, because the time to wait is over as well.
func TestProcessWaitAfterEnd(t *testing.T) {
	p := newProcess(t, "edge-0")
	assert.NilError(t, p.start())
	p.signal(syscall.SIGKILL)
	code, ended := p.wait(standin.GraceTime)
	assert.Assert(t, ended)
	assert.Equal(t, code, -1)
	for range 1000 {
		code, ended = p.wait(0)
		assert.Assert(t, ended)
		assert.Equal(t, code, -1)
	}
}

// Guards against programs that get the signals sent to the process group of the soak,
// and against ones that outlive it.
func TestProcessGroup(t *testing.T) {
	s := &Soak{}
	defer s.stop()
	for _, name := range []string{"edge-0", "edge-1"} {
		p := newProcess(t, name)
		assert.NilError(t, p.start())
		s.processes = append(s.processes, p)
		pid := p.command.Process.Pid
		group, err := syscall.Getpgid(pid)
		assert.NilError(t, err)
		assert.Equal(t, group, pid, "the program is not in a group of its own")
	}
	s.processes[0].signal(syscall.SIGSTOP) // one that is paused ends as well
	s.stop()
	for _, p := range s.processes {
		_, ended := p.wait(0)
		assert.Assert(t, ended, "%s outlives the soak", p.Name)
	}
}
