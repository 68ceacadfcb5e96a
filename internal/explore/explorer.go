// Package explore enumerates all interleavings of small concurrent programs.
//
// A program is a function that asks an Explorer for each choice. The Explorer
// runs it again and again, depth first, until every sequence of choices was
// taken. Processes are coroutines that give way at each call to the outside, so
// that a schedule is a sequence of choices and nothing else.
package explore

import "iter"

// An Explorer enumerates sequences of choices depth first.
type Explorer struct {
	path     []choice
	position int
	runs     int
}

// Choose returns a number from 0 to n-1. Over all runs every number is
// returned after every sequence of earlier choices.
func (e *Explorer) Choose(n int) int {
	if e.position == len(e.path) {
		e.path = append(e.path, choice{count: n})
	}
	c := e.path[e.position]
	e.position++
	return c.taken
}

// Path returns the choices of the current run.
func (e *Explorer) Path() []int {
	path := make([]int, 0, e.position)
	for _, c := range e.path[:e.position] {
		path = append(path, c.taken)
	}
	return path
}

// Run calls program once for each sequence of choices until it returns false. It
// returns the number of runs, and whether all sequences were taken.
func (e *Explorer) Run(program func() bool) (runs int, complete bool) {
	for {
		e.position = 0
		e.runs++
		if !program() {
			return e.runs, false
		}
		if !e.advance() {
			return e.runs, true
		}
	}
}

// advance moves to the next sequence of choices.
func (e *Explorer) advance() bool {
	e.path = e.path[:e.position]
	for len(e.path) > 0 {
		last := &e.path[len(e.path)-1]
		if last.taken+1 < last.count {
			last.taken++
			return true
		}
		e.path = e.path[:len(e.path)-1]
	}
	return false
}

// A choice is one decision on the current path.
type choice struct {
	count int
	taken int
}

// A Process is a coroutine that gives way at each call to the outside.
type Process struct {
	Label string // the call that the process waits to make

	done bool
	next func() (string, bool)
	stop func()
}

// NewProcess returns a Process that runs body. body calls yield with a label
// before each call to the outside; yield returns false if the process was
// stopped, and body then returns at its next opportunity.
func NewProcess(body func(yield func(label string) bool)) *Process {
	p := &Process{}
	p.next, p.stop = iter.Pull(iter.Seq[string](body))
	p.Step()
	return p
}

// Done reports whether the process has ended.
func (p *Process) Done() bool { return p.done }

// Step runs the process up to its next call to the outside.
func (p *Process) Step() {
	label, ok := p.next()
	p.Label = label
	p.done = !ok
}

// Stop ends the process as a crash would: its next yield returns false.
func (p *Process) Stop() {
	p.stop()
	p.done = true
}

// Ready returns the processes that have not ended.
func Ready(processes []*Process) []*Process {
	var ready []*Process
	for _, p := range processes {
		if !p.Done() {
			ready = append(ready, p)
		}
	}
	return ready
}
