package policy_test

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// A naiveSuspects makes the decisions of a CrashSuspects from lists of all events,
// without bounds or kept results.
type naiveSuspects struct {
	completed map[persimmoncart.RequestPart]time.Time
	reports   map[persimmoncart.RequestPart][]naiveReport
	trials    map[persimmoncart.RequestPart]naiveTrial // counts only while the part has reports
}

// A naiveTrial is the last trial of a part and the number of its trials.
type naiveTrial struct {
	at    time.Time
	count int
}

// A naiveReport is a report with the time when it was added.
type naiveReport struct {
	policy.CrashReport
	added time.Time
}

// add adds a report unless it is known.
func (s *naiveSuspects) add(now time.Time, r policy.CrashReport) {
	for i, o := range s.reports[r.Part] {
		if o.Engine == r.Engine {
			s.reports[r.Part][i].Depth = max(o.Depth, r.Depth)
			return
		}
	}
	s.reports[r.Part] = append(s.reports[r.Part], naiveReport{added: now, CrashReport: r})
}

// complete records a completed request.
func (s *naiveSuspects) complete(now time.Time, parts []persimmoncart.RequestPart) (cleared []persimmoncart.RequestPart) {
	for _, p := range parts {
		s.completed[p] = now
		if len(s.reports[p]) > 0 {
			cleared = append(cleared, p)
		}
		delete(s.reports, p)
	}
	return cleared
}

// crash records a crash.
func (s *naiveSuspects) crash(now time.Time, engine string, parts []persimmoncart.RequestPart) (reports []policy.CrashReport) {
	for i, p := range parts {
		if slices.Index(parts, p) == i && !s.completedWithin(now, p, completionGrace) {
			reports = append(reports, policy.CrashReport{Depth: i, Engine: engine, Part: p})
		}
	}
	for _, r := range reports {
		s.add(now, r)
	}
	return reports
}

// completedWithin reports whether a part was completed in the time before now.
func (s *naiveSuspects) completedWithin(now time.Time, p persimmoncart.RequestPart, within time.Duration) bool {
	at, found := s.completed[p]
	return found && now.Sub(at) < within
}

// sound reports whether the reports of a part do not count.
func (s *naiveSuspects) sound(now time.Time, p persimmoncart.RequestPart) bool {
	return s.completedWithin(now, p, completionMemory) && s.last(p).Sub(s.reports[p][0].added) < minReportSpan
}

// last returns when the last report of a part was added.
func (s *naiveSuspects) last(p persimmoncart.RequestPart) time.Time {
	return s.reports[p][len(s.reports[p])-1].added
}

// nextTrial returns the time of the next trial of a part with reports.
func (s *naiveSuspects) nextTrial(p persimmoncart.RequestPart) time.Time {
	t := s.trials[p]
	pause := 30 * time.Second
	for range t.count {
		pause = min(2*pause, 10*time.Minute)
	}
	if t.at.After(s.last(p)) {
		return t.at.Add(pause)
	}
	return s.last(p).Add(pause)
}

// forgetTrials forgets the trials of parts without reports.
func (s *naiveSuspects) forgetTrials() {
	maps.DeleteFunc(s.trials, func(p persimmoncart.RequestPart, _ naiveTrial) bool { return len(s.reports[p]) == 0 })
}

// mapHas reports whether a map has a key.
func mapHas[K comparable, V any](m map[K]V, key K) bool {
	_, found := m[key]
	return found
}

// harmful returns the parts that explain at least the given number of crashes. It
// takes the part with the most crashes from the remaining ones again and again.
func (s *naiveSuspects) harmful(now time.Time, threshold int) map[persimmoncart.RequestPart]bool {
	left := maps.Clone(s.reports)
	maps.DeleteFunc(left, func(p persimmoncart.RequestPart, _ []naiveReport) bool { return s.sound(now, p) })
	found := make(map[persimmoncart.RequestPart]bool)
	explained := make(map[string]bool)
	for len(left) > 0 {
		depth := func(p persimmoncart.RequestPart) (d int) {
			for _, r := range left[p] {
				d = max(d, r.Depth)
			}
			return d
		}
		first := slices.MinFunc(slices.Collect(maps.Keys(left)), func(a, b persimmoncart.RequestPart) int {
			if _, completed := s.completed[a]; completed != mapHas(s.completed, b) {
				if completed {
					return 1
				}
				return -1
			}
			return cmp.Or(len(left[b])-len(left[a]), depth(b)-depth(a), cmp.Compare(a, b))
		})
		count := 0
		for _, r := range left[first] {
			if !explained[r.Engine] {
				count++
			}
		}
		if count >= threshold {
			found[first] = true
			for _, r := range left[first] {
				explained[r.Engine] = true
			}
		}
		delete(left, first)
	}
	return found
}

// Guards against kept results that differ from the rules after some order of events:
// a part that stays refused or is let through because a result is outdated.
func TestCrashSuspectsLikeNaive(t *testing.T) {
	names := promptParts("a", "b", "c", "d", "x", "y")
	rapid.Check(t, func(t *rapid.T) {
		var s policy.CrashSuspects
		n := &naiveSuspects{completed: make(map[persimmoncart.RequestPart]time.Time), reports: make(map[persimmoncart.RequestPart][]naiveReport), trials: make(map[persimmoncart.RequestPart]naiveTrial)}
		now := crashStart
		part := rapid.SampledFrom(names)
		list := rapid.SliceOfN(part, 0, 4)
		engine := rapid.StringMatching("e[0-9]")
		t.Repeat(map[string]func(*rapid.T){
			"complete": func(t *rapid.T) {
				parts := rapid.SliceOfN(part, 0, 2).Draw(t, "parts")
				assert.DeepEqual(t, s.RecordCompletion(now, parts), n.complete(now, parts))
			},
			"crash": func(t *rapid.T) {
				e, parts := engine.Draw(t, "engine"), list.Draw(t, "parts")
				assert.DeepEqual(t, s.RecordCrash(now, e, parts), n.crash(now, e, parts))
			},
			"report": func(t *rapid.T) {
				r := policy.CrashReport{Depth: rapid.IntRange(0, 3).Draw(t, "depth"), Engine: engine.Draw(t, "engine"), Part: part.Draw(t, "part")}
				s.AddReport(now, r)
				n.add(now, r)
			},
			"clear": func(t *rapid.T) {
				p := part.Draw(t, "part")
				s.Clear(p)
				delete(n.reports, p)
			},
			"expire": func(t *rapid.T) {
				var want []persimmoncart.RequestPart
				for _, p := range names {
					if len(n.reports[p]) > 0 && now.Sub(n.last(p)) >= time.Hour {
						want = append(want, p)
						delete(n.reports, p)
					}
				}
				assert.DeepEqual(t, s.Expire(now), want)
			},
			"trial": func(t *rapid.T) {
				p, count := part.Draw(t, "part"), rapid.IntRange(0, 8).Draw(t, "count")
				s.SetTrials(now, p, count)
				if len(n.reports[p]) > 0 && count > n.trials[p].count {
					n.trials[p] = naiveTrial{at: now, count: count}
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(rapid.SampledFrom([]time.Duration{completionGrace / 2, completionGrace, completionMemory, 5 * time.Minute, 20 * time.Minute}).Draw(t, "time"))
			},
			"": func(t *rapid.T) {
				harmful, suspected := n.harmful(now, 3), n.harmful(now, 2)
				n.forgetTrials()
				for _, p := range names {
					want := time.Duration(0)
					if harmful[p] {
						want = max(0, n.nextTrial(p).Sub(now))
					}
					got, left, found := s.Quarantined(now, []persimmoncart.RequestPart{p})
					assert.Equal(t, left, want, "part %s", p)
					assert.Equal(t, found, harmful[p])
					assert.Equal(t, s.Trials(p), n.trials[p].count)
					assert.Assert(t, !found || got == p)
					assert.Assert(t, !found || len(n.reports[p]) == 0 || !n.sound(now, p), "part %s is known to be sound", p)
					assert.Equal(t, s.Suspected(now, []persimmoncart.RequestPart{p}), suspected[p], "part %s", p)
					assert.Equal(t, len(s.Reports(p)), len(n.reports[p]))
				}
			},
		})
	})
}
