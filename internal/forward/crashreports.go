package forward

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

const (
	// CrashReportsPrefix is the prefix of the store's records of crash reports. The
	// part of the prompts follows it.
	CrashReportsPrefix = "crashes/"
	// crashWriteAttempts is the number of writes of a record whose version is not the
	// expected one: other instances write it as well.
	crashWriteAttempts = 4
	// crashRetryPause is the mean pause after a failed write.
	crashRetryPause = 500 * time.Millisecond
	// crashExpiryPeriod is the mean time between two searches for expired reports. It
	// varies, so that mostly one instance finds and removes a record.
	crashExpiryPeriod = 5 * time.Minute
	// crashRemovalSpread is the longest pause before a record of a cleared part is
	// removed. Several instances may complete requests with the part.
	crashRemovalSpread = 2 * time.Second
	// crashRestoreSpread is the longest pause before a record that a restored store
	// has lost is written again. Other instances do the same.
	crashRestoreSpread = time.Second
)

// CrashReports shares the crash reports of a Quarantine with the other instances. The
// store has one record for each part of a prompt, which all instances write and
// follow. Its exported fields are set before Run.
type CrashReports struct {
	Logger     zerolog.Logger
	Quarantine *Quarantine
	Store      persimmoncart.Store
	Timer      persimmoncart.Timer

	mutex    sync.Mutex
	pending  map[persimmoncart.RequestPart]struct{}    // whose records are to be written
	records  map[persimmoncart.RequestPart]crashRecord // as last read or written
	restored bool                                      // the store was restored since the last list
	writing  persimmoncart.RequestPart                 // whose record is being written; empty for none
	signal   chan struct{}                             // has a value if pending may not be empty; see pendingSignal
}

// A crashRecord is the state of a record in the store.
type crashRecord struct {
	engines []string // that crashed, in ascending order
	trials  int
	version persimmoncart.Version
}

// A storedCrashes is the value of a record.
type storedCrashes struct {
	Depth   int      `json:"depth"`   // position of the part in the prompt, from zero
	Engines []string `json:"engines"` // processes that crashed
	Trials  int      `json:"trials,omitempty"`
}

// Run writes changed records until ctx is done and returns its error.
func (c *CrashReports) Run(ctx context.Context) error {
	period := crashExpiryPeriod/2 + rand.N(crashExpiryPeriod)
	defer c.Timer.Subscribe(period, func(time.Time) { c.Quarantine.Expire() })()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.pendingSignal():
		}
		if !c.writePending(ctx) {
			_ = c.Timer.Sleep(ctx, crashRetryPause/2+rand.N(crashRetryPause)) // an end of ctx ends the loop
		}
	}
}

// writePending writes the records of all pending parts. It reports false if a write
// failed; those parts stay pending.
func (c *CrashReports) writePending(ctx context.Context) bool {
	ok := true
	for _, part := range c.pendingParts() {
		if err := c.sync(ctx, part); err != nil {
			c.Logger.Warn().Str("part", string(part)).Err(err).Msg("record of crash reports not written, trying again")
			c.enqueue(part)
			ok = false
		}
	}
	return ok
}

// HandleChange handles a change of a record.
func (c *CrashReports) HandleChange(e persimmoncart.WatchEvent) {
	part := crashPart(e.Object.Key)
	if e.Deleted {
		c.handleRemoval(part)
		return
	}
	c.read(e.Object)
}

// handleRemoval clears a part whose record is gone, unless this instance has reports of
// it to write.
func (c *CrashReports) handleRemoval(part persimmoncart.RequestPart) {
	c.deleteRecord(part)
	if !c.isPending(part) {
		c.Quarantine.Clear(part)
	}
}

// HandleList handles a list of all records. A part whose record is missing was
// cleared, unless the store has lost the record: then it is written again, as is one
// that lacks reports.
func (c *CrashReports) HandleList(objects []persimmoncart.Object) {
	c.mutex.Lock()
	missing, restored := c.records, c.restored
	c.records, c.restored = nil, false
	c.mutex.Unlock()
	for _, o := range objects {
		part := crashPart(o.Key)
		delete(missing, part)
		c.read(o)
		if restored {
			c.enqueueLater(part, crashRestoreSpread)
		}
	}
	for part := range missing {
		if restored {
			c.enqueueLater(part, crashRestoreSpread)
		} else {
			c.handleRemoval(part)
		}
	}
}

// StoreRestored records that the store was restored from an older copy, which may have
// lost records.
func (c *CrashReports) StoreRestored() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.restored = true
}

// Schedule has Run write the reports of a part, or remove its record if there are none.
// It does not block.
func (c *CrashReports) Schedule(part persimmoncart.RequestPart) {
	if len(c.Quarantine.Reports(part)) == 0 {
		c.enqueueLater(part, crashRemovalSpread)
		return
	}
	c.enqueue(part)
}

// enqueue makes the record of a part pending.
func (c *CrashReports) enqueue(part persimmoncart.RequestPart) {
	c.mutex.Lock()
	if c.pending == nil {
		c.pending = make(map[persimmoncart.RequestPart]struct{})
	}
	c.pending[part] = struct{}{}
	c.mutex.Unlock()
	select {
	case c.pendingSignal() <- struct{}{}:
	default: // Run has not handled the last signal yet
	}
}

// enqueueLater makes the record of a part pending after a random time of up to spread.
func (c *CrashReports) enqueueLater(part persimmoncart.RequestPart, spread time.Duration) {
	c.Timer.After(rand.N(spread), func(time.Time) { c.enqueue(part) })
}

// isPending reports whether the record of a part is pending or being written.
func (c *CrashReports) isPending(part persimmoncart.RequestPart) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, pending := c.pending[part]
	return pending || c.writing == part
}

// crashPart returns the part of a record's key.
func crashPart(key string) persimmoncart.RequestPart {
	return persimmoncart.RequestPart(strings.TrimPrefix(key, CrashReportsPrefix))
}

// read takes over a record. One that cannot be read is logged and ignored.
func (c *CrashReports) read(o persimmoncart.Object) {
	part := crashPart(o.Key)
	var stored storedCrashes
	if err := json.Unmarshal(o.Value, &stored); err != nil {
		c.Logger.Warn().Str("part", string(part)).Uint64("version", uint64(o.Version)).Err(err).Msg("unreadable record of crash reports ignored")
		stored = storedCrashes{}
	}
	slices.Sort(stored.Engines)
	reports := make([]policy.CrashReport, 0, len(stored.Engines))
	for _, engine := range stored.Engines {
		reports = append(reports, policy.CrashReport{Depth: stored.Depth, Engine: engine, Part: part})
	}
	// The reports come before the version: a write that expects this version has them.
	c.Quarantine.Add(part, reports, stored.Trials)
	c.setRecord(part, crashRecord{engines: stored.Engines, trials: stored.Trials, version: o.Version})
}

// ClaimTrial implements Quarantine.Claim: it counts the trial in the record of a part,
// unless that has changed meanwhile.
func (c *CrashReports) ClaimTrial(ctx context.Context, part persimmoncart.RequestPart, number int) bool {
	c.mutex.Lock()
	record := c.records[part]
	c.mutex.Unlock()
	if record.version == 0 {
		c.enqueue(part) // the next attempt finds the record
		return false
	}
	if record.trials >= number {
		return false // another instance's claim has arrived since the trial was due
	}
	next := newStoredCrashes(c.Quarantine.Reports(part))
	next.Trials = number
	err := c.save(ctx, part, next, record.version)
	c.Logger.Info().Str("part", string(part)).Int("trials", next.Trials).AnErr("cause", err).Msg("trial of a quarantined part claimed")
	if err != nil {
		return false
	}
	c.Quarantine.SetTrials(part, next.Trials)
	return true
}

// deleteRecord records that a part has no record.
func (c *CrashReports) deleteRecord(part persimmoncart.RequestPart) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.records, part)
}

// setRecord records the state of a record, unless a newer one is known.
func (c *CrashReports) setRecord(part persimmoncart.RequestPart, r crashRecord) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if r.version < c.records[part].version {
		return
	}
	if c.records == nil {
		c.records = make(map[persimmoncart.RequestPart]crashRecord)
	}
	c.records[part] = r
}

// sync makes the record of a part that of the Quarantine: it writes the reports, or
// removes the record if there are none.
func (c *CrashReports) sync(ctx context.Context, part persimmoncart.RequestPart) error {
	c.setWriting(part)
	defer c.setWriting("")
	var err error
	for range crashWriteAttempts {
		if err = c.writeOnce(ctx, part); err == nil || !mustReread(err) {
			return err
		}
		if readErr := c.refresh(ctx, part); readErr != nil {
			return readErr
		}
	}
	return err
}

// setWriting records that the record of a part is being written, so that it is no
// longer pending; an empty part ends this.
func (c *CrashReports) setWriting(part persimmoncart.RequestPart) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.pending, part)
	c.writing = part
}

// writeOnce makes one call that writes or removes the record of a part, if it differs.
func (c *CrashReports) writeOnce(ctx context.Context, part persimmoncart.RequestPart) error {
	c.mutex.Lock()
	record := c.records[part]
	c.mutex.Unlock()
	reports := c.Quarantine.Reports(part)
	next := newStoredCrashes(reports)
	next.Trials = max(record.trials, c.Quarantine.Trials(part))
	switch {
	case len(reports) > 0 && record.version != 0 && next.Trials == record.trials && slices.Equal(next.Engines, record.engines):
		return nil
	case len(reports) > 0:
		return c.save(ctx, part, next, record.version)
	case record.version != 0:
		return c.remove(ctx, part, record.version)
	default:
		return nil
	}
}

// newStoredCrashes returns the value of the record with the reports of one part.
func newStoredCrashes(reports []policy.CrashReport) storedCrashes {
	var s storedCrashes
	for _, r := range reports {
		s.Depth = max(s.Depth, r.Depth)
		s.Engines = append(s.Engines, r.Engine)
	}
	return s
}

// save writes a record whose version is expected to be the given one; zero means that
// there is none.
func (c *CrashReports) save(ctx context.Context, part persimmoncart.RequestPart, value storedCrashes, version persimmoncart.Version) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode crash reports")
	}
	key := CrashReportsPrefix + string(part)
	if version == 0 {
		version, err = c.Store.Create(ctx, key, encoded)
	} else {
		version, err = c.Store.Update(ctx, key, encoded, version)
	}
	if err != nil {
		return errors.Wrap(err, "write crash reports")
	}
	c.setRecord(part, crashRecord{engines: value.Engines, trials: value.Trials, version: version})
	return nil
}

// remove removes a record, unless another instance has changed it meanwhile.
func (c *CrashReports) remove(ctx context.Context, part persimmoncart.RequestPart, version persimmoncart.Version) error {
	key := CrashReportsPrefix + string(part)
	var err error
	for range crashWriteAttempts {
		if err = c.Store.Delete(ctx, key, version); err == nil || isNotFound(err) {
			c.deleteRecord(part)
			return nil
		}
		if !mustReread(err) {
			break
		}
		object, readErr := c.Store.Get(ctx, key)
		switch {
		case isNotFound(readErr):
			c.deleteRecord(part)
			return nil
		case readErr != nil:
			return errors.Wrap(readErr, "read crash reports")
		case object.Version != version:
			c.read(object)
			return nil
		}
	}
	return errors.Wrap(err, "remove crash reports")
}

// refresh reads a record after a write of another version.
func (c *CrashReports) refresh(ctx context.Context, part persimmoncart.RequestPart) error {
	object, err := c.Store.Get(ctx, CrashReportsPrefix+string(part))
	if isNotFound(err) {
		c.deleteRecord(part)
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read crash reports")
	}
	c.read(object)
	return nil
}

// isNotFound reports whether a call failed because there is no record.
func isNotFound(err error) bool {
	missing := (*persimmoncart.NotFoundError)(nil)
	return errors.As(err, &missing)
}

// mustReread reports whether a write failed because the record has changed, or may have
// taken effect.
func mustReread(err error) bool {
	ambiguous, conflict := (*persimmoncart.AmbiguousError)(nil), (*persimmoncart.ConflictError)(nil)
	return errors.As(err, &ambiguous) || errors.As(err, &conflict) || isNotFound(err)
}

// pendingSignal returns the channel that signals changes of pending.
func (c *CrashReports) pendingSignal() chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.signal == nil {
		c.signal = make(chan struct{}, 1)
	}
	return c.signal
}

// pendingParts returns the pending parts, those with the most reports first.
func (c *CrashReports) pendingParts() []persimmoncart.RequestPart {
	c.mutex.Lock()
	parts := slices.Collect(maps.Keys(c.pending))
	c.mutex.Unlock()
	reports := make(map[persimmoncart.RequestPart][]policy.CrashReport)
	for _, p := range parts {
		reports[p] = c.Quarantine.Reports(p)
	}
	slices.SortFunc(parts, func(a, b persimmoncart.RequestPart) int {
		return cmp.Or(len(reports[b])-len(reports[a]), newStoredCrashes(reports[b]).Depth-newStoredCrashes(reports[a]).Depth, cmp.Compare(a, b))
	})
	return parts
}
