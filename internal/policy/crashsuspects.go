package policy

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// completionGrace is the time after a completed request in which crashes are not
	// reported for its parts.
	completionGrace = time.Second
	// completionMemory is the time after a completed request in which reports of its
	// parts count only if they extend over minReportSpan: when many engines crash at
	// once, parts in constant use are reported together.
	completionMemory = 30 * time.Second
	// maxCompletions is the largest number of completed parts that are remembered.
	maxCompletions = 8192
	// maxEnginesPerPart is the largest number of crashed engines kept for one part.
	maxEnginesPerPart = 16
	// maxRecordedParts is the number of parts of one request that are recorded, so that
	// a single long list does not displace all others.
	maxRecordedParts = 64
	// maxSuspects is the largest number of parts with reports.
	maxSuspects = 1024
	// minReportSpan is the shortest time between the first and the last report of a part
	// that was completed shortly before.
	minReportSpan = time.Second
	// quarantineCrashes is the number of crashed engines from which requests with a
	// part are refused. Two may be a coincidence: each crash also breaks sound requests.
	quarantineCrashes = 3
	// reportLifetime is how long after its last report the reports of a part are kept.
	reportLifetime = time.Hour
	// suspectCrashes is the number of crashed engines from which broken requests with a
	// part are not sent again.
	suspectCrashes = 2
)

// A CrashReport states that an endpoint's process crashed when it began to respond to a
// request with a part.
type CrashReport struct {
	Depth  int    // position of the part in the prompt, from zero; a whole request follows the parts of its prompt
	Engine string // process that crashed: identifier and incarnation
	Part   persimmoncart.RequestPart
}

// A CrashSuspects finds the prompt parts, and the whole requests, that crash endpoints.
//
// It answers a load in which every engine that begins to respond to a harmful part
// crashes, so that the retries and the next requests with the part crash one engine
// after another. Each crash also breaks sound requests on the same engine, and sound
// requests share other parts with the harmful ones. Therefore a part is suspected only
// for crashes that no other part explains.
//
// A complete response proves that its parts are sound, because a harmful part crashes
// each engine that begins to respond to it. Parts that were never completed are
// suspected first, then those with more crashes. Among parts with equally many the
// deeper one is suspected: fewer requests hold it, so fewer are refused by mistake. If
// a part above it is the harmful one, the crashes of its other requests soon give that
// part the most reports.
//
// The zero value is ready to use.
type CrashSuspects struct {
	nextAttribution time.Time // when the attribution is to be repeated without a change; zero for never
	changed         bool      // since the last attribution
	completions     partCompletions
	suspects        map[persimmoncart.RequestPart]*crashSuspect
}

// AddReport adds a report of this or another instance. A repeated report changes
// nothing. The reports of a part that was completed within completionMemory count
// only after it, but are kept, so that the next completion returns the part.
func (c *CrashSuspects) AddReport(now time.Time, r CrashReport) {
	s, found := c.suspects[r.Part]
	if !found {
		s = c.addSuspect(r.Part)
	}
	if s.add(now, r) {
		c.changed = true
	}
}

// Clear forgets the reports of a part whose shared record was removed. Later reports
// count at once: the part may be one that an operator lets through again.
func (c *CrashSuspects) Clear(part persimmoncart.RequestPart) { c.forget(part) }

// Expire forgets the reports of the parts whose last report is reportLifetime old, and
// returns these parts in ascending order. Their shared records are to be removed.
func (c *CrashSuspects) Expire(now time.Time) []persimmoncart.RequestPart {
	var expired []persimmoncart.RequestPart
	for p, s := range c.suspects {
		if now.Sub(s.lastReport) >= reportLifetime {
			expired = append(expired, p)
			c.forget(p)
		}
	}
	slices.Sort(expired)
	return expired
}

// Quarantined returns the part for which a request with these parts is to be refused,
// and the time until the next trial of the part; zero if one request may be let through
// as a trial now. Of several parts it returns the one whose trial is last. It reports
// false if there is none.
func (c *CrashSuspects) Quarantined(now time.Time, parts []persimmoncart.RequestPart) (part persimmoncart.RequestPart, left time.Duration, found bool) {
	if len(c.suspects) == 0 {
		return "", 0, false
	}
	c.attribute(now)
	for _, p := range parts {
		s, reported := c.suspects[p]
		if !reported || !s.quarantined {
			continue
		}
		if l := max(0, s.trials.next(s.lastReport).Sub(now)); !found || l > left {
			part, left, found = p, l, true
		}
	}
	return part, left, found
}

// RecordCompletion records that a request with these parts was answered completely,
// which proves that none of them crashes engines. It forgets the reports of these
// parts and returns those that had any. Their shared records are to be removed.
func (c *CrashSuspects) RecordCompletion(now time.Time, parts []persimmoncart.RequestPart) []persimmoncart.RequestPart {
	var cleared []persimmoncart.RequestPart
	for i, p := range parts {
		if c.forget(p) {
			cleared = append(cleared, p)
		}
		if i < maxRecordedParts {
			c.completions.add(now, p)
		}
	}
	return cleared
}

// RecordCrash records that an engine process crashed when it began to respond to a
// request with these parts. It adds a report for each part that was not completed
// within completionGrace, and returns these reports, which are to be shared.
func (c *CrashSuspects) RecordCrash(now time.Time, engine string, parts []persimmoncart.RequestPart) []CrashReport {
	var reports []CrashReport
	parts = parts[:min(len(parts), maxRecordedParts)]
	for i, p := range parts {
		if slices.Contains(parts[:i], p) || now.Before(c.completions.last(p).Add(completionGrace)) {
			continue
		}
		r := CrashReport{Depth: i, Engine: engine, Part: p}
		c.AddReport(now, r)
		reports = append(reports, r)
	}
	return reports
}

// Reports returns the reports of a part in ascending order of their engines.
func (c *CrashSuspects) Reports(part persimmoncart.RequestPart) []CrashReport {
	s, found := c.suspects[part]
	if !found {
		return nil
	}
	return slices.SortedFunc(slices.Values(s.reports), func(a, b CrashReport) int {
		return strings.Compare(a.Engine, b.Engine)
	})
}

// Suspected reports whether a request with these parts must not be sent again after it
// broke off: one of them has at least suspectCrashes reports that no other part
// explains.
func (c *CrashSuspects) Suspected(now time.Time, parts []persimmoncart.RequestPart) bool {
	if len(c.suspects) == 0 {
		return false
	}
	c.attribute(now)
	for _, p := range parts {
		if s, found := c.suspects[p]; found && s.suspected {
			return true
		}
	}
	return false
}

// addSuspect adds a part without reports. If there are maxSuspects parts, it drops the
// one with the oldest last report.
func (c *CrashSuspects) addSuspect(part persimmoncart.RequestPart) *crashSuspect {
	if c.suspects == nil {
		c.suspects = make(map[persimmoncart.RequestPart]*crashSuspect)
	}
	if len(c.suspects) >= maxSuspects {
		var oldest *crashSuspect
		for _, s := range c.suspects {
			if oldest == nil || s.compareAge(oldest) < 0 {
				oldest = s
			}
		}
		c.forget(oldest.part)
	}
	s := &crashSuspect{completed: c.completions.last(part), part: part}
	c.suspects[part] = s
	return s
}

// attribute finds the parts that explain the crashes, if the last result is outdated.
func (c *CrashSuspects) attribute(now time.Time) {
	if !c.changed && (c.nextAttribution.IsZero() || now.Before(c.nextAttribution)) {
		return
	}
	c.nextAttribution, c.changed = time.Time{}, false
	var ordered []*crashSuspect
	for _, s := range c.suspects {
		s.quarantined, s.suspected = false, false
		if len(s.reports) < suspectCrashes {
			continue
		}
		if end := s.completed.Add(completionMemory); now.Before(end) && s.lastReport.Sub(s.firstReport) < minReportSpan {
			if c.nextAttribution.IsZero() || end.Before(c.nextAttribution) {
				c.nextAttribution = end
			}
			continue
		}
		ordered = append(ordered, s)
	}
	slices.SortFunc(ordered, (*crashSuspect).compareCrashes)
	for _, s := range attributed(ordered, quarantineCrashes) {
		s.quarantined = true
	}
	for _, s := range attributed(ordered, suspectCrashes) {
		s.suspected = true
	}
}

// forget removes the reports of a part and reports whether there were any.
func (c *CrashSuspects) forget(part persimmoncart.RequestPart) bool {
	if _, found := c.suspects[part]; !found {
		return false
	}
	delete(c.suspects, part)
	c.changed = true
	return true
}

// attributed returns those of the ordered parts that have at least the given number of
// crashes which no part before them explains. Such a part explains all its crashes.
func attributed(ordered []*crashSuspect, crashes int) []*crashSuspect {
	var found []*crashSuspect
	explained := make(map[string]struct{}) // engines
	for _, s := range ordered {
		if s.unexplained(explained) < crashes {
			continue
		}
		found = append(found, s)
		for _, r := range s.reports {
			explained[r.Engine] = struct{}{}
		}
	}
	return found
}

// A crashSuspect is a prompt part with crash reports.
type crashSuspect struct {
	completed   time.Time // last completion before the first report; zero if unknown
	firstReport time.Time // when the first report was added
	lastReport  time.Time // when the last new report was added
	part        persimmoncart.RequestPart
	quarantined bool          // has quarantineCrashes crashes that no part before it explains
	reports     []CrashReport // one for each engine, oldest first
	suspected   bool          // has suspectCrashes crashes that no part before it explains
	trials      crashTrials
}

// add adds a report and reports whether it changed anything. With more than
// maxEnginesPerPart it drops the oldest report.
func (s *crashSuspect) add(now time.Time, r CrashReport) bool {
	i := slices.IndexFunc(s.reports, func(o CrashReport) bool { return o.Engine == r.Engine })
	switch {
	case i < 0:
		if len(s.reports) == maxEnginesPerPart {
			s.reports = slices.Delete(s.reports, 0, 1)
		}
		if s.firstReport.IsZero() {
			s.firstReport = now
		}
		s.reports = append(s.reports, r)
		s.lastReport = now
	case r.Depth > s.reports[i].Depth:
		s.reports[i].Depth = r.Depth
	default:
		return false
	}
	return true
}

// compareAge orders parts by their last report, the oldest first.
func (s *crashSuspect) compareAge(o *crashSuspect) int {
	return cmp.Or(s.lastReport.Compare(o.lastReport), cmp.Compare(s.part, o.part))
}

// compareCrashes orders parts: those that were never completed first, then by their
// number of crashed engines, the most first, and by their depth, the deepest first.
func (s *crashSuspect) compareCrashes(o *crashSuspect) int {
	if s.completed.IsZero() != o.completed.IsZero() {
		if s.completed.IsZero() {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(len(o.reports), len(s.reports)), cmp.Compare(o.depth(), s.depth()), cmp.Compare(s.part, o.part))
}

// depth returns the largest depth of the reports.
func (s *crashSuspect) depth() int {
	return slices.MaxFunc(s.reports, func(a, b CrashReport) int { return cmp.Compare(a.Depth, b.Depth) }).Depth
}

// unexplained returns the number of crashed engines of the part that are not explained.
func (s *crashSuspect) unexplained(explained map[string]struct{}) int {
	count := 0
	for _, r := range s.reports {
		if _, found := explained[r.Engine]; !found {
			count++
		}
	}
	return count
}

// A partCompletions holds when parts were last completed. It keeps two generations of
// at most maxCompletions/2 parts and forgets the older one when the newer one is full.
type partCompletions struct {
	newer, older map[persimmoncart.RequestPart]time.Time
}

// add records that a part was completed.
func (c *partCompletions) add(now time.Time, part persimmoncart.RequestPart) {
	if _, found := c.newer[part]; !found && len(c.newer) >= maxCompletions/2 {
		c.newer, c.older = c.older, c.newer
		clear(c.newer)
	}
	if c.newer == nil {
		c.newer = make(map[persimmoncart.RequestPart]time.Time)
	}
	c.newer[part] = now
}

// last returns when a part was last completed, or the zero time if that is unknown.
func (c *partCompletions) last(part persimmoncart.RequestPart) time.Time {
	if at, found := c.newer[part]; found {
		return at
	}
	return c.older[part]
}
