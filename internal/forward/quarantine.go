package forward

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// A Quarantine refuses requests that crash endpoints, and requests whose prompts have a
// part that does. It decides by the crashes that all instances have seen; CrashReports
// shares them. Its exported fields are set before use. It is safe for concurrent use.
type Quarantine struct {
	Changed func(persimmoncart.RequestPart) // called when the reports of a part have changed here; must not block; may be nil
	// Claim records for all instances that this one makes the trial of a part with the
	// given number. It reports false if another instance has made it, or the store cannot
	// be reached. If it is nil, there are no trials.
	Claim  func(ctx context.Context, part persimmoncart.RequestPart, number int) bool
	Logger zerolog.Logger
	Timer  persimmoncart.Timer

	mutex    sync.Mutex
	suspects policy.CrashSuspects
}

// Add adds the crash reports of one part that other instances have shared, and the number
// of its trials.
func (q *Quarantine) Add(part persimmoncart.RequestPart, reports []policy.CrashReport, trials int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.update([]persimmoncart.RequestPart{part}, func(now time.Time) {
		for _, r := range reports {
			q.suspects.AddReport(now, r)
		}
		q.suspects.SetTrials(now, part, trials)
	})
}

// Check returns the part for which a request with these parts is to be refused, and
// the time until its next trial; zero if one is due. It reports false if there is none.
func (q *Quarantine) Check(parts []persimmoncart.RequestPart) (part persimmoncart.RequestPart, left time.Duration, found bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.suspects.Quarantined(q.Timer.Now(), parts)
}

// Clear forgets the crash reports of a part whose record was removed.
func (q *Quarantine) Clear(part persimmoncart.RequestPart) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.suspects.Reports(part)) > 0 {
		q.Logger.Info().Str("part", string(part)).Msg(describe(part) + " no longer suspected: its record was removed")
	}
	q.suspects.Clear(part)
}

// Expire forgets old crash reports.
func (q *Quarantine) Expire() {
	q.mutex.Lock()
	expired := q.suspects.Expire(q.Timer.Now())
	q.mutex.Unlock()
	q.notify(expired)
}

// RecordCompletion records that a request with these parts was answered completely.
func (q *Quarantine) RecordCompletion(parts []persimmoncart.RequestPart) {
	if len(parts) == 0 {
		return
	}
	q.mutex.Lock()
	cleared := q.suspects.RecordCompletion(q.Timer.Now(), parts)
	q.mutex.Unlock()
	for _, p := range cleared {
		q.Logger.Info().Str("part", string(p)).Msg(describe(p) + " no longer suspected: a request with it was completed")
	}
	q.notify(cleared)
}

// RecordCrash records that an endpoint crashed when it began to respond to a request
// with these parts.
func (q *Quarantine) RecordCrash(endpoint *persimmoncart.Endpoint, parts []persimmoncart.RequestPart) {
	process := string(endpoint.ID) + "/" + strconv.FormatUint(uint64(endpoint.Incarnation), 10)
	var changed []persimmoncart.RequestPart
	q.mutex.Lock()
	q.update(parts, func(now time.Time) {
		for _, r := range q.suspects.RecordCrash(now, process, parts) {
			changed = append(changed, r.Part)
		}
	})
	q.mutex.Unlock()
	q.notify(changed)
}

// Reports returns the crash reports of a part in ascending order of their engines.
func (q *Quarantine) Reports(part persimmoncart.RequestPart) []policy.CrashReport {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.suspects.Reports(part)
}

// Suspected reports whether a request with these parts must not be sent again after an
// endpoint broke off.
func (q *Quarantine) Suspected(parts []persimmoncart.RequestPart) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.suspects.Suspected(q.Timer.Now(), parts)
}

// Trial reports whether a request with a quarantined part is to be let through as a
// trial. Then no other request with the part is for some time, at any instance.
func (q *Quarantine) Trial(ctx context.Context, part persimmoncart.RequestPart) bool {
	if q.Claim == nil {
		return false
	}
	q.mutex.Lock()
	number, due := q.suspects.BeginTrial(q.Timer.Now(), part)
	q.mutex.Unlock()
	return due && q.Claim(ctx, part, number)
}

// SetTrials records the number of trials of a part that all instances have made.
func (q *Quarantine) SetTrials(part persimmoncart.RequestPart, count int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.suspects.SetTrials(q.Timer.Now(), part, count)
}

// Trials returns the number of trials of a part that all instances have made.
func (q *Quarantine) Trials(part persimmoncart.RequestPart) int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.suspects.Trials(part)
}

// notify calls Changed for each part.
func (q *Quarantine) notify(parts []persimmoncart.RequestPart) {
	if q.Changed == nil {
		return
	}
	for _, p := range parts {
		q.Changed(p)
	}
}

// update calls a function that adds crash reports of some parts, and logs a quarantine
// that begins with them. The caller holds the mutex.
func (q *Quarantine) update(parts []persimmoncart.RequestPart, add func(now time.Time)) {
	now := q.Timer.Now()
	_, _, before := q.suspects.Quarantined(now, parts)
	add(now)
	part, left, found := q.suspects.Quarantined(now, parts)
	if !found || before {
		return
	}
	var engines []string
	for _, r := range q.suspects.Reports(part) {
		engines = append(engines, r.Engine)
	}
	q.Logger.Warn().Str("part", string(part)).Strs("engines", engines).Dur("trial_in", left).Msg(describe(part) + " quarantined")
}

// describe returns what a part is, for logs.
func describe(part persimmoncart.RequestPart) string {
	if part.IsWholeRequest() {
		return "request"
	}
	return "prompt part"
}
