package policy_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// Times that a completed request excuses its parts for: from all reports, and from
// reports that extend over less than minReportSpan.
const (
	completionGrace  = time.Second
	completionMemory = 30 * time.Second
	minReportSpan    = time.Second
)

// Times from the last crash until the first trial, and between two claims of an instance.
const (
	firstTrialPause = 30 * time.Second
	trialClaimPause = 2 * time.Second
)

// crashStart is when the tests of CrashSuspects begin.
var crashStart = time.Unix(1000, 0)

// promptParts returns the parts with the given names.
func promptParts(names ...string) []persimmoncart.RequestPart {
	parts := make([]persimmoncart.RequestPart, 0, len(names))
	for _, n := range names {
		parts = append(parts, persimmoncart.RequestPart(n))
	}
	return parts
}

// A brokenRequest is a request that an engine had not begun to respond to when it
// crashed, or began to respond to then.
type brokenRequest struct {
	engine string
	parts  []persimmoncart.RequestPart
}

// crashes returns requests with the same parts that broke in crashes of the engines.
func crashes(parts []persimmoncart.RequestPart, engines ...string) []brokenRequest {
	var broken []brokenRequest
	for _, e := range engines {
		broken = append(broken, brokenRequest{engine: e, parts: parts})
	}
	return broken
}

// Guards against a harmful part that is not found after three crashes, and against
// sound parts that are refused because harmful requests share them or because their
// requests broke in the same crashes.
func TestCrashSuspectsAttribution(t *testing.T) {
	harmful := promptParts("a", "x", "own")
	for _, c := range []struct {
		name        string
		completed   [][]persimmoncart.RequestPart // before the crashes
		broken      []brokenRequest
		quarantined []persimmoncart.RequestPart
		suspected   []persimmoncart.RequestPart
	}{
		{name: "no crash", completed: [][]persimmoncart.RequestPart{harmful}},
		{name: "one crash", broken: crashes(promptParts("a", "x"), "e1")},
		{
			name:      "two crashes",
			broken:    crashes(promptParts("a", "x"), "e1", "e2"),
			suspected: promptParts("x"),
		},
		{
			name:        "three crashes",
			broken:      crashes(promptParts("a", "x"), "e1", "e2", "e3"),
			quarantined: promptParts("x"), suspected: promptParts("x"),
		},
		{
			name:      "engine reported twice",
			broken:    crashes(promptParts("a", "x"), "e1", "e2", "e1", "e2"),
			suspected: promptParts("x"),
		},
		{
			name:   "part listed twice",
			broken: crashes(promptParts("x", "x", "x"), "e1"),
		},
		{
			name:   "no parts",
			broken: crashes(nil, "e1", "e2", "e3"),
		},
		{
			name:        "requests with parts of their own",
			broken:      slices.Concat(crashes(promptParts("a", "x", "o1"), "e1"), crashes(promptParts("a", "x", "o2"), "e2"), crashes(promptParts("a", "x", "o3"), "e3")),
			quarantined: promptParts("x"), suspected: promptParts("x"),
		},
		{
			name: "sound requests in the same crashes",
			broken: slices.Concat(
				crashes(promptParts("a", "x", "o1"), "e1"), crashes(promptParts("a", "y", "o2"), "e1"), crashes(promptParts("b", "z", "o3"), "e1"),
				crashes(promptParts("a", "x", "o4"), "e2"), crashes(promptParts("a", "z", "o5"), "e2"), crashes(promptParts("b", "y", "o6"), "e2"),
				crashes(promptParts("a", "x", "o7"), "e3"), crashes(promptParts("b", "v", "o8"), "e3"),
			),
			quarantined: promptParts("x"), suspected: promptParts("x"),
		},
		{
			name:      "shared first part was completed, its crashes are more",
			completed: [][]persimmoncart.RequestPart{promptParts("a", "y")},
			broken: slices.Concat(
				crashes(promptParts("a", "x"), "e1", "e2", "e3"), crashes(promptParts("a", "z"), "e4", "e5"),
			),
			quarantined: promptParts("x"), suspected: promptParts("x", "z"),
		},
		{
			name: "first part with different second parts",
			broken: slices.Concat(
				crashes(promptParts("a", "x"), "e1"), crashes(promptParts("a", "y"), "e2"), crashes(promptParts("a", "z"), "e3"),
			),
			quarantined: promptParts("a"), suspected: promptParts("a"),
		},
		{
			name: "first part with second parts that have enough crashes themselves",
			broken: slices.Concat(
				crashes(promptParts("a", "x"), "e1", "e2", "e3"), crashes(promptParts("a", "y"), "e4", "e5", "e6"),
			),
			quarantined: promptParts("a"), suspected: promptParts("a"),
		},
		{
			name: "two harmful parts",
			broken: slices.Concat(
				crashes(promptParts("a", "x"), "e1", "e2", "e3"), crashes(promptParts("b", "y"), "e4", "e5", "e6"),
			),
			quarantined: promptParts("x", "y"), suspected: promptParts("x", "y"),
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s policy.CrashSuspects
			for _, parts := range c.completed {
				s.RecordCompletion(crashStart, parts)
			}
			now := crashStart.Add(time.Second)
			all := make(map[persimmoncart.RequestPart]bool)
			for _, b := range c.broken {
				s.RecordCrash(now, b.engine, b.parts)
				for _, p := range b.parts {
					all[p] = true
				}
			}
			var quarantined, suspected []persimmoncart.RequestPart
			for _, p := range slices.Sorted(maps.Keys(all)) {
				if part, left, found := s.Quarantined(now, promptParts(string(p), "other")); found {
					assert.Equal(t, part, p)
					assert.Equal(t, left, firstTrialPause)
					quarantined = append(quarantined, p)
				}
				if s.Suspected(now, promptParts("other", string(p))) {
					suspected = append(suspected, p)
				}
			}
			assert.DeepEqual(t, quarantined, c.quarantined)
			assert.DeepEqual(t, suspected, c.suspected)
		})
	}
}

// Guards against reports of sound parts that fill the store, and against a part that
// is reported under the wrong position.
func TestCrashSuspectsReports(t *testing.T) {
	var s policy.CrashSuspects
	s.RecordCompletion(crashStart, promptParts("a", "y"))
	report := policy.CrashReport{Depth: 1, Engine: "e2", Part: "x"}
	harmful := promptParts("a", "x", "x")
	assert.DeepEqual(t, s.RecordCrash(crashStart.Add(completionGrace-1), "e2", harmful), []policy.CrashReport{report})
	assert.Equal(t, len(s.Reports("a")), 0)
	first := policy.CrashReport{Depth: 0, Engine: "e1", Part: "a"}
	second := policy.CrashReport{Depth: 1, Engine: "e1", Part: "x"}
	assert.DeepEqual(t, s.RecordCrash(crashStart.Add(completionGrace), "e1", harmful), []policy.CrashReport{first, second})
	assert.DeepEqual(t, s.Reports("x"), []policy.CrashReport{second, report})
	assert.DeepEqual(t, s.Reports("a"), []policy.CrashReport{first})
	assert.Equal(t, s.Len(), 2)
}

// Guards against an instance that refuses requests with a part that it knows to be
// sound because other instances report it, and against reports of such a part that
// stay in the store although it is completed again and again.
func TestCrashSuspectsCompletedElsewhere(t *testing.T) {
	var s policy.CrashSuspects
	parts := promptParts("a", "x")
	s.RecordCompletion(crashStart, promptParts("a", "y"))
	now := crashStart.Add(completionMemory / 2)
	for n := range 6 {
		for depth, p := range parts {
			if p == "a" || n < 3 { // a has three reports that x does not explain
				s.AddReport(now, policy.CrashReport{Depth: depth, Engine: strconv.Itoa(n), Part: p})
			}
		}
	}
	part, _, found := s.Quarantined(now, parts)
	assert.Assert(t, found && part == "x")
	assert.Assert(t, !s.Suspected(now, promptParts("a", "y")))

	// Without a further completion, the reports count.
	later := crashStart.Add(completionMemory)
	_, _, found = s.Quarantined(later.Add(-1), promptParts("a"))
	assert.Assert(t, !found)
	part, _, found = s.Quarantined(later, parts)
	assert.Assert(t, found && part == "a")

	assert.DeepEqual(t, s.RecordCompletion(later, promptParts("a", "y")), promptParts("a"))
	assert.Equal(t, len(s.Reports("a")), 0)
	part, _, found = s.Quarantined(later, parts)
	assert.Assert(t, found && part == "x")
}

// Guards against a sound part that stays refused although one of its requests was
// answered completely, here or by another instance.
func TestCrashSuspectsCleared(t *testing.T) {
	parts := promptParts("a", "x")
	for _, c := range []struct {
		name    string
		clear   func(*policy.CrashSuspects)
		excused bool // whether a crash right after it is not the part's
	}{
		{name: "completion", excused: true, clear: func(s *policy.CrashSuspects) {
			assert.DeepEqual(t, s.RecordCompletion(crashStart, promptParts("x", "b", "x")), promptParts("x"))
		}},
		{name: "record removed", clear: func(s *policy.CrashSuspects) {
			s.Clear("x")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s policy.CrashSuspects
			for n := range 3 {
				s.RecordCrash(crashStart, strconv.Itoa(n), parts)
			}
			part, _, found := s.Quarantined(crashStart, parts)
			assert.Assert(t, found && part == "x")
			c.clear(&s)
			assert.Equal(t, len(s.Reports("x")), 0)
			// The crashes are now explained by the other part alone.
			part, _, found = s.Quarantined(crashStart, parts)
			assert.Assert(t, found && part == "a")
			_, _, found = s.Quarantined(crashStart, promptParts("b", "x"))
			assert.Assert(t, !found)
			want := []policy.CrashReport{{Engine: "3", Part: "c"}}
			if !c.excused {
				want = append(want, policy.CrashReport{Depth: 1, Engine: "3", Part: "x"})
			}
			assert.DeepEqual(t, s.RecordCrash(crashStart.Add(completionGrace/2), "3", promptParts("c", "x")), want)
		})
	}
}

// Guards against a part that is refused for ever, against one that crashes three more
// engines once it is let through, against trials that are made too early, too often or by
// several requests of one instance, and against a quarantine that reports already known
// prolong.
func TestCrashSuspectsTrials(t *testing.T) {
	var s policy.CrashSuspects
	parts := promptParts("a", "x")
	left := func(now time.Time) time.Duration {
		part, l, found := s.Quarantined(now, parts)
		assert.Assert(t, found && part == "x")
		return l
	}
	due := func(now time.Time, part persimmoncart.RequestPart) bool {
		number, due := s.BeginTrial(now, part)
		assert.Assert(t, !due || number == s.Trials(part)+1)
		return due
	}
	for n := range 3 {
		s.RecordCrash(crashStart.Add(time.Duration(n)*time.Second), strconv.Itoa(n), parts)
	}
	now := crashStart.Add(2 * time.Second)
	assert.Equal(t, left(now), firstTrialPause)
	assert.Assert(t, !due(now, "x"))
	s.AddReport(now.Add(10*time.Second), policy.CrashReport{Depth: 1, Engine: "1", Part: "x"})
	assert.Equal(t, left(now.Add(10*time.Second)), firstTrialPause-10*time.Second)
	assert.Assert(t, !due(now.Add(firstTrialPause-1), "x"))
	now = now.Add(firstTrialPause)
	assert.Equal(t, left(now), time.Duration(0))
	assert.Assert(t, s.Suspected(now, parts), "a trial is sent again after it broke off")
	assert.Assert(t, due(now, "x"))
	assert.Equal(t, left(now), trialClaimPause, "two requests of one instance are trials")
	assert.Assert(t, !due(now, "x"))
	assert.Assert(t, due(now.Add(trialClaimPause), "x"), "no trial after a claim that failed")

	for count, pause := range []time.Duration{60 * time.Second, 2 * time.Minute, 4 * time.Minute, 8 * time.Minute, 10 * time.Minute, 10 * time.Minute} {
		now = now.Add(time.Hour)
		s.SetTrials(now, "x", count+1)
		assert.Equal(t, s.Trials("x"), count+1)
		assert.Equal(t, left(now), pause)
		s.SetTrials(now.Add(time.Second), "x", count)
		assert.Equal(t, left(now), pause)
	}
	now = now.Add(time.Minute)
	s.RecordCrash(now, "3", parts)
	assert.Equal(t, left(now), 10*time.Minute)
	s.RecordCompletion(now, parts)
	_, _, found := s.Quarantined(now, parts)
	assert.Assert(t, !found)
	assert.Equal(t, s.Trials("x"), 0)
	s.SetTrials(now, "x", 1)
	assert.Equal(t, s.Trials("x"), 0)
	assert.Assert(t, !due(now, "x"))
}

// Guards against a caller that is told to come back while another of its parts is
// still refused.
func TestCrashSuspectsLatestTrial(t *testing.T) {
	var s policy.CrashSuspects
	for n := range 3 {
		s.RecordCrash(crashStart, "x"+strconv.Itoa(n), promptParts("x"))
		s.RecordCrash(crashStart.Add(20*time.Second), "y"+strconv.Itoa(n), promptParts("y"))
	}
	now := crashStart.Add(25 * time.Second)
	for _, parts := range [][]persimmoncart.RequestPart{promptParts("x", "y"), promptParts("y", "x")} {
		part, left, found := s.Quarantined(now, parts)
		assert.Assert(t, found && part == "y")
		assert.Equal(t, left, firstTrialPause-5*time.Second)
	}
}

// Guards against reports that are never forgotten, and against those of a part that
// still crashes engines being forgotten.
func TestCrashSuspectsExpire(t *testing.T) {
	var s policy.CrashSuspects
	s.RecordCrash(crashStart, "e1", promptParts("z", "b", "a"))
	s.RecordCrash(crashStart.Add(30*time.Minute), "e2", promptParts("b"))
	assert.Equal(t, len(s.Expire(crashStart.Add(time.Hour-1))), 0)
	assert.DeepEqual(t, s.Expire(crashStart.Add(time.Hour)), promptParts("a", "z"))
	assert.Equal(t, len(s.Reports("a")), 0)
	assert.Equal(t, len(s.Reports("b")), 2)
	assert.DeepEqual(t, s.Expire(crashStart.Add(2*time.Hour)), promptParts("b"))
	assert.Equal(t, s.Len(), 0)
}

// Guards against state that grows with the load, and against a bound that drops the
// newest data.
func TestCrashSuspectsBounds(t *testing.T) {
	name := func(n int) persimmoncart.RequestPart { return persimmoncart.RequestPart(fmt.Sprintf("%05d", n)) }
	t.Run("suspects", func(t *testing.T) {
		var s policy.CrashSuspects
		for n := range 2100 {
			s.RecordCrash(crashStart.Add(time.Duration(n)*time.Second), "e", []persimmoncart.RequestPart{name(n)})
			assert.Assert(t, s.Len() <= 1024)
		}
		assert.Equal(t, s.Len(), 1024)
		assert.Equal(t, len(s.Reports(name(2100-1024))), 1)
		assert.Equal(t, len(s.Reports(name(2100-1025))), 0)
	})
	t.Run("engines of a part", func(t *testing.T) {
		var s policy.CrashSuspects
		for n := range 100 {
			s.RecordCrash(crashStart, string(name(n)), promptParts("x"))
		}
		reports := s.Reports("x")
		assert.Equal(t, len(reports), 16)
		assert.Equal(t, reports[0].Engine, string(name(84)))
		_, _, found := s.Quarantined(crashStart, promptParts("x"))
		assert.Assert(t, found)
	})
	t.Run("completions", func(t *testing.T) {
		var s policy.CrashSuspects
		for n := range 8193 {
			s.RecordCompletion(crashStart, []persimmoncart.RequestPart{name(n)})
		}
		assert.Equal(t, len(s.RecordCrash(crashStart, "e", []persimmoncart.RequestPart{name(0)})), 1)
		for n := range 4096 {
			reports := s.RecordCrash(crashStart, "e", []persimmoncart.RequestPart{name(8192 - n)})
			assert.Equal(t, len(reports), 0, "completed %d parts ago", n)
		}
	})
	var long []persimmoncart.RequestPart
	for n := range 20_000 {
		long = append(long, name(n))
	}
	t.Run("parts of a completed request", func(t *testing.T) {
		var s policy.CrashSuspects
		s.RecordCompletion(crashStart, promptParts("a"))
		s.RecordCompletion(crashStart, long)
		assert.Equal(t, len(s.RecordCrash(crashStart, "e", promptParts("a"))), 0, "completion forgotten")
	})
	t.Run("parts of a broken request", func(t *testing.T) {
		var s policy.CrashSuspects
		for n := range 3 {
			s.RecordCrash(crashStart, strconv.Itoa(n), promptParts("x"))
		}
		assert.Equal(t, len(s.RecordCrash(crashStart, "e", long)), 64)
		for _, parts := range [][]persimmoncart.RequestPart{promptParts("x"), append(long, "x")} {
			part, _, found := s.Quarantined(crashStart, parts)
			assert.Assert(t, found && part == "x")
		}
		// The last part of a long list is cleared too.
		assert.DeepEqual(t, s.RecordCompletion(crashStart, append(long, "x")), append(long[:64:64], "x"))
		assert.Equal(t, s.Len(), 0)
	})
}

// Guards against work for each request while nothing crashes.
func TestCrashSuspectsAllocations(t *testing.T) {
	var s policy.CrashSuspects
	parts := promptParts("a", "x", "own")
	s.RecordCompletion(crashStart, parts)
	check := func(t *testing.T) {
		assert.Equal(t, testing.AllocsPerRun(100, func() {
			s.Quarantined(crashStart, parts)
			s.Suspected(crashStart, parts)
			s.RecordCompletion(crashStart, parts)
		}), 0.0)
	}
	t.Run("no suspects", check)
	s.RecordCrash(crashStart, "e1", promptParts("b", "y"))
	s.RecordCrash(crashStart, "e2", promptParts("b", "y"))
	t.Run("unchanged suspects", check)
}
