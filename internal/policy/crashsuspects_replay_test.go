package policy_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// A crashReplay plays a load with a harmful part on instances that share their reports
// with a delay, and on engines that crash when they begin to respond to the part.
type crashReplay struct {
	crashes   []time.Time
	engines   []*replayEngine
	harmful   persimmoncart.RequestPart
	instances []*policy.CrashSuspects
	messages  []replayMessage // in the order of their time
	now       time.Time
	random    *rand.Rand
	refused   []time.Time // sound requests
	sent      []time.Time // harmful requests that reached an engine
	waiting   []*replayRequest
}

// A replayEngine is an engine of a crashReplay.
type replayEngine struct {
	incarnation int
	requests    []*replayRequest
	starts      time.Time // after its last crash
}

// A replayRequest is a request of a crashReplay.
type replayRequest struct {
	begins   time.Time // when its engine begins to respond
	ends     time.Time
	instance int
	parts    []persimmoncart.RequestPart
}

// A replayMessage is a change of the shared records on its way to the other instances.
type replayMessage struct {
	apply    func(*policy.CrashSuspects)
	arrives  time.Time
	instance int // the sender
}

const (
	replayBegin    = 1500 * time.Millisecond // longest time until the response begins
	replayDelay    = time.Second             // of the shared records
	replayRestart  = 5 * time.Second         // of a crashed engine
	replayResponse = 10 * time.Second        // from the beginning of the response to its end
	replaySlots    = 12                      // requests that run on an engine at the same time
	replayTick     = 20 * time.Millisecond
)

// newCrashReplay returns a replay in which the given part is harmful.
func newCrashReplay(seed uint64, harmful persimmoncart.RequestPart) *crashReplay {
	r := &crashReplay{harmful: harmful, now: crashStart, random: rand.New(rand.NewPCG(seed, 1))}
	for range 8 {
		r.instances = append(r.instances, &policy.CrashSuspects{})
	}
	for range 18 {
		r.engines = append(r.engines, &replayEngine{})
	}
	return r
}

// arrive sends a new request to a random instance.
func (r *crashReplay) arrive(parts ...string) {
	own := strconv.FormatUint(r.random.Uint64(), 36)
	r.dispatch(&replayRequest{instance: r.random.IntN(len(r.instances)), parts: promptParts(append(parts, own)...)})
}

// crash breaks all requests of an engine. Those that it had not begun to respond to
// are reported, and all are sent again unless they are suspected.
func (r *crashReplay) crash(engine int) {
	e := r.engines[engine]
	broken, id := e.requests, fmt.Sprintf("%d/%d", engine, e.incarnation)
	e.incarnation++
	e.requests, e.starts = nil, r.now.Add(replayRestart)
	r.crashes = append(r.crashes, r.now)
	for _, q := range broken {
		if q.begins.Before(r.now) {
			continue
		}
		reports := r.instances[q.instance].RecordCrash(r.now, id, q.parts)
		r.share(q.instance, func(s *policy.CrashSuspects) {
			for _, report := range reports {
				s.AddReport(r.now, report)
			}
		})
	}
	for _, q := range broken {
		if !r.instances[q.instance].Suspected(r.now, q.parts) {
			r.dispatch(q)
		}
	}
}

// dispatch refuses a request or sends it to the engine with the fewest.
func (r *crashReplay) dispatch(q *replayRequest) {
	harmful := slices.Contains(q.parts, r.harmful)
	if _, _, found := r.instances[q.instance].Quarantined(r.now, q.parts); found {
		if !harmful {
			r.refused = append(r.refused, r.now)
		}
		return
	}
	var best *replayEngine
	for _, n := range r.random.Perm(len(r.engines)) {
		e := r.engines[n]
		if !r.now.Before(e.starts) && len(e.requests) < replaySlots && (best == nil || len(e.requests) < len(best.requests)) {
			best = e
		}
	}
	if best == nil {
		r.waiting = append(r.waiting, q)
		return
	}
	if harmful {
		r.sent = append(r.sent, r.now)
	}
	q.begins = r.now.Add(time.Duration(1+r.random.IntN(int(replayBegin/replayTick))) * replayTick)
	q.ends = q.begins.Add(replayResponse)
	best.requests = append(best.requests, q)
}

// share sends a change to all other instances.
func (r *crashReplay) share(instance int, apply func(*policy.CrashSuspects)) {
	r.messages = append(r.messages, replayMessage{apply: apply, arrives: r.now.Add(replayDelay), instance: instance})
}

// step advances the replay by one tick.
func (r *crashReplay) step() {
	r.now = r.now.Add(replayTick)
	for len(r.messages) > 0 && !r.messages[0].arrives.After(r.now) {
		for n, s := range r.instances {
			if n != r.messages[0].instance {
				r.messages[0].apply(s)
			}
		}
		r.messages = r.messages[1:]
	}
	for n, e := range r.engines {
		if slices.ContainsFunc(e.requests, func(q *replayRequest) bool {
			return q.begins.Equal(r.now) && slices.Contains(q.parts, r.harmful)
		}) {
			r.crash(n)
		}
		e.requests = slices.DeleteFunc(e.requests, func(q *replayRequest) bool {
			if q.ends.After(r.now) {
				return false
			}
			cleared := r.instances[q.instance].RecordCompletion(r.now, q.parts)
			if len(cleared) > 0 {
				r.share(q.instance, func(s *policy.CrashSuspects) {
					for _, p := range cleared {
						s.Clear(p)
					}
				})
			}
			return true
		})
	}
	waiting := r.waiting
	r.waiting = nil
	for _, q := range waiting {
		r.dispatch(q)
	}
}

// after counts the times that are later than the given one.
func after(times []time.Time, at time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(at) {
			n++
		}
	}
	return n
}

// Guards against a harmful part that crashes engine after engine although all
// instances together have seen enough crashes, and against sound requests that are
// refused for good because they share a part with the harmful ones or ran beside them.
func TestCrashSuspectsReplay(t *testing.T) {
	const (
		firstParts       = 50
		harmfulPerSecond = 4
		secondParts      = 4 // under each first part
		soundPerSecond   = 14
	)
	for _, c := range []struct {
		name    string
		harmful string
		parts   func(*rand.Rand) []string // of a harmful request
		sound   int                       // first of the first parts of sound requests
		warmUp  time.Duration             // sound load before the first harmful request
	}{
		{
			name: "second part", harmful: "x", warmUp: 30 * time.Second,
			parts: func(*rand.Rand) []string { return []string{"0", "x"} },
		},
		{
			name: "second part, nothing completed yet", harmful: "x",
			parts: func(*rand.Rand) []string { return []string{"0", "x"} },
		},
		{
			name: "second part under all first parts", harmful: "x", warmUp: 30 * time.Second,
			parts: func(random *rand.Rand) []string { return []string{strconv.Itoa(random.IntN(firstParts)), "x"} },
		},
		{
			name: "first part with the second parts of sound requests", harmful: "0", sound: 1, warmUp: 30 * time.Second,
			parts: func(random *rand.Rand) []string { return []string{"0", "1-" + strconv.Itoa(random.IntN(secondParts))} },
		},
		{
			name: "first part, nothing completed yet", harmful: "0", sound: 1,
			parts: func(random *rand.Rand) []string { return []string{"0", "0-" + strconv.Itoa(random.IntN(secondParts))} },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(8) {
				r := newCrashReplay(seed, persimmoncart.RequestPart(c.harmful))
				begin, end := crashStart.Add(c.warmUp), crashStart.Add(c.warmUp+30*time.Second)
				for r.now.Before(end) {
					r.step()
					if r.random.Float64() < soundPerSecond*replayTick.Seconds() {
						first := strconv.Itoa(c.sound + r.random.IntN(firstParts-c.sound))
						r.arrive(first, first+"-"+strconv.Itoa(r.random.IntN(secondParts)))
					}
					if !r.now.Before(begin) && r.random.Float64() < harmfulPerSecond*replayTick.Seconds() {
						r.arrive(c.parts(r.random)...)
					}
				}
				assert.Assert(t, len(r.crashes) >= 3, "seed %d: the part crashed %d engines", seed, len(r.crashes))
				fifth := r.crashes[min(4, len(r.crashes)-1)]
				late, refused := after(r.sent, fifth.Add(4*time.Second)), after(r.refused, fifth.Add(8*time.Second))
				t.Logf("seed %d: %d engines crashed, %d harmful requests sent late, %d sound ones refused, %d of them late",
					seed, len(r.crashes), late, len(r.refused), refused)
				assert.Assert(t, late <= 3, "seed %d", seed)
				assert.Equal(t, refused, 0, "seed %d", seed)
			}
		})
	}
}
