package forward

import (
	"context"
	"encoding/json"
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
	pending  map[persimmoncart.PromptPart]struct{}    // whose records are to be written
	records  map[persimmoncart.PromptPart]crashRecord // as last read or written
	restored bool                                     // the store was restored since the last list
	signal   chan struct{}                            // has a value if pending may not be empty; see pendingSignal
}

// A crashRecord is the state of a record in the store.
type crashRecord struct {
	engines []string // that crashed, in ascending order
	version persimmoncart.Version
}

// A storedCrashes is the value of a record.
type storedCrashes struct {
	Depth   int      `json:"depth"`   // position of the part in the prompt, from zero
	Engines []string `json:"engines"` // processes that crashed
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
		for _, part := range c.takePending() {
			if err := c.sync(ctx, part); err != nil {
				c.Logger.Warn().Str("part", string(part)).Err(err).Msg("record of crash reports not written, trying again")
				c.Schedule(part)
				_ = c.Timer.Sleep(ctx, crashRetryPause/2+rand.N(crashRetryPause)) // an end of ctx ends the loop
			}
		}
	}
}

// HandleChange handles a change of a record.
func (c *CrashReports) HandleChange(e persimmoncart.WatchEvent) {
	part := crashPart(e.Object.Key)
	if e.Deleted {
		c.deleteRecord(part)
		c.Quarantine.Clear(part)
		return
	}
	c.read(e.Object)
}

// HandleList handles a list of all records. A part whose record is missing was
// cleared, unless the store has lost the record: then it is written again.
func (c *CrashReports) HandleList(objects []persimmoncart.Object) {
	c.mutex.Lock()
	missing, restored := c.records, c.restored
	c.records, c.restored = nil, false
	c.mutex.Unlock()
	for _, o := range objects {
		delete(missing, crashPart(o.Key))
		c.read(o)
	}
	for part := range missing {
		if !restored {
			c.Quarantine.Clear(part)
			continue
		}
		c.Timer.After(rand.N(crashRestoreSpread), func(time.Time) { c.Schedule(part) })
	}
}

// StoreRestored records that the store was restored from an older copy, which may have
// lost records.
func (c *CrashReports) StoreRestored() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.restored = true
}

// Schedule has Run write the reports of a part. It does not block.
func (c *CrashReports) Schedule(part persimmoncart.PromptPart) {
	c.mutex.Lock()
	if c.pending == nil {
		c.pending = make(map[persimmoncart.PromptPart]struct{})
	}
	c.pending[part] = struct{}{}
	c.mutex.Unlock()
	select {
	case c.pendingSignal() <- struct{}{}:
	default: // Run has not handled the last signal yet
	}
}

// crashPart returns the part of a record's key.
func crashPart(key string) persimmoncart.PromptPart {
	return persimmoncart.PromptPart(strings.TrimPrefix(key, CrashReportsPrefix))
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
	c.setRecord(part, crashRecord{engines: stored.Engines, version: o.Version})
	reports := make([]policy.CrashReport, 0, len(stored.Engines))
	for _, engine := range stored.Engines {
		reports = append(reports, policy.CrashReport{Depth: stored.Depth, Engine: engine, Part: part})
	}
	c.Quarantine.Add(part, reports)
}

// deleteRecord records that a part has no record.
func (c *CrashReports) deleteRecord(part persimmoncart.PromptPart) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.records, part)
}

// setRecord records the state of a record, unless a newer one is known.
func (c *CrashReports) setRecord(part persimmoncart.PromptPart, r crashRecord) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if r.version < c.records[part].version {
		return
	}
	if c.records == nil {
		c.records = make(map[persimmoncart.PromptPart]crashRecord)
	}
	c.records[part] = r
}

// sync makes the record of a part that of the Quarantine: it writes the reports, or
// removes the record if there are none.
func (c *CrashReports) sync(ctx context.Context, part persimmoncart.PromptPart) error {
	var err error
	for range crashWriteAttempts {
		c.mutex.Lock()
		record := c.records[part]
		c.mutex.Unlock()
		reports := c.Quarantine.Reports(part)
		if len(reports) == 0 {
			return c.remove(ctx, part, record.version)
		}
		next := newStoredCrashes(reports)
		if record.version != 0 && slices.Equal(next.Engines, record.engines) {
			return nil
		}
		if err = c.save(ctx, part, next, record.version); err == nil || !mustReread(err) {
			return err
		}
		if readErr := c.refresh(ctx, part); readErr != nil {
			return readErr
		}
	}
	return err
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
func (c *CrashReports) save(ctx context.Context, part persimmoncart.PromptPart, value storedCrashes, version persimmoncart.Version) error {
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
	c.setRecord(part, crashRecord{engines: value.Engines, version: version})
	return nil
}

// remove removes a record. One that another instance has changed or removed meanwhile
// is left to the watch.
func (c *CrashReports) remove(ctx context.Context, part persimmoncart.PromptPart, version persimmoncart.Version) error {
	if version == 0 {
		return nil
	}
	if err := c.Store.Delete(ctx, CrashReportsPrefix+string(part), version); err != nil && !mustReread(err) {
		return errors.Wrap(err, "remove crash reports")
	}
	return nil
}

// refresh reads a record after a write of another version.
func (c *CrashReports) refresh(ctx context.Context, part persimmoncart.PromptPart) error {
	object, err := c.Store.Get(ctx, CrashReportsPrefix+string(part))
	if missing := (*persimmoncart.NotFoundError)(nil); errors.As(err, &missing) {
		c.deleteRecord(part)
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read crash reports")
	}
	c.read(object)
	return nil
}

// mustReread reports whether a write failed because the record has changed, or may have
// taken effect.
func mustReread(err error) bool {
	ambiguous, conflict, missing := (*persimmoncart.AmbiguousError)(nil), (*persimmoncart.ConflictError)(nil), (*persimmoncart.NotFoundError)(nil)
	return errors.As(err, &ambiguous) || errors.As(err, &conflict) || errors.As(err, &missing)
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

// takePending returns the parts whose records are to be written.
func (c *CrashReports) takePending() []persimmoncart.PromptPart {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var parts []persimmoncart.PromptPart
	for part := range c.pending {
		parts = append(parts, part)
	}
	clear(c.pending)
	slices.Sort(parts)
	return parts
}
