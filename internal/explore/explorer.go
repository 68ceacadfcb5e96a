// Package explore enumerates all interleavings of small concurrent programs.
//
// A program is a function that calls Explorer.Choose wherever it may continue in
// several ways. The Explorer runs it repeatedly until every sequence of choices has
// been tried, depth first. The processes of a program are coroutines that yield before
// each external call, so that the sequence of choices alone determines the schedule.
package explore

import "iter"

// An Explorer enumerates sequences of choices depth first.
type Explorer struct {
	path     []choice // choices to replay, extended by the current run
	position int      // number of choices that the current run has made
	runs     int
}

// Choose returns a number in [0, n). Over all runs, it returns each number after each
// sequence of earlier choices.
func (e *Explorer) Choose(n int) int {
	if e.position == len(e.path) {
		e.path = append(e.path, choice{count: n})
	}
	c := e.path[e.position]
	e.position++
	return c.selected
}

// Path returns the choices of the current run so far.
func (e *Explorer) Path() []int {
	path := make([]int, 0, e.position)
	for _, c := range e.path[:e.position] {
		path = append(path, c.selected)
	}
	return path
}

// Run calls program once for each sequence of choices, or until program returns false.
// It returns the number of runs and whether all sequences have been tried.
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

// advance moves to the next sequence of choices. It returns false if there is none.
func (e *Explorer) advance() bool {
	e.path = e.path[:e.position]
	for len(e.path) > 0 {
		last := &e.path[len(e.path)-1]
		if last.selected+1 < last.count {
			last.selected++
			return true
		}
		e.path = e.path[:len(e.path)-1]
	}
	return false
}

// A choice is one decision on the current path.
type choice struct {
	count    int // number of options
	selected int // option of the current run
}

// A Process is a coroutine that yields before each external call.
type Process struct {
	Label string // label of the next external call

	done bool
	next func() (string, bool)
	stop func()
}

// NewProcess returns a Process that runs body and has reached its first external call.
// body must call yield with a label before each external call. If yield returns false,
// the process has been stopped and body must return without another call to yield.
func NewProcess(body func(yield func(label string) bool)) *Process {
	p := &Process{}
	p.next, p.stop = iter.Pull(iter.Seq[string](body))
	p.Step()
	return p
}

// Done reports whether the process has ended.
func (p *Process) Done() bool { return p.done }

// Step runs the process up to its next external call or its end.
func (p *Process) Step() {
	label, ok := p.next()
	p.Label = label
	p.done = !ok
}

// Stop ends the process as a crash would: the pending yield returns false.
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
