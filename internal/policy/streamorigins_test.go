package policy_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// llmPool is the pool of the streams in the tests.
const llmPool = persimmoncart.PoolName("llm")

// origin returns the origin of a stream of llmPool.
func origin(software persimmoncart.SoftwareVersion) persimmoncart.StreamOrigin {
	return persimmoncart.StreamOrigin{Pool: llmPool, Software: software}
}

// inService returns versions that take new streams of llmPool.
func inService(versions ...persimmoncart.SoftwareVersion) map[persimmoncart.PoolName][]persimmoncart.SoftwareVersion {
	return map[persimmoncart.PoolName][]persimmoncart.SoftwareVersion{llmPool: versions}
}

// records returns records of other processes with one pool each.
func records(epoch uint64, pools ...policy.StreamsOfPool) map[string]policy.StreamRecord {
	all := make(map[string]policy.StreamRecord)
	for n, p := range pools {
		all[fmt.Sprintf("streams/edge-%d-1", n)] = policy.StreamRecord{
			Epoch: epoch, Pools: map[persimmoncart.PoolName]policy.StreamsOfPool{llmPool: p},
		}
	}
	return all
}

// Guards against a write for each stream while a pool has one version, against an event
// of another version before its stream is listed, and against a list that never ends.
func TestStreamOriginsRecord(t *testing.T) {
	var s policy.StreamOrigins
	now := time.Now()
	write := func(versions ...persimmoncart.SoftwareVersion) bool {
		next := s.Record(now, inService(versions...))
		if !s.MustWrite(next) {
			return false
		}
		s.SetWriting(next)
		s.SetWritten(next, 0)
		return true
	}
	begin := func(attempt persimmoncart.RequestID, version persimmoncart.SoftwareVersion) {
		assert.Assert(t, s.Begin(now, attempt, origin(version), now.Add(10*time.Second)))
	}
	begin("a", "v1")
	assert.Assert(t, !s.Recorded("a"), "recorded before the first write")
	assert.Assert(t, write("v1"))
	begin("b", "v1")
	assert.Assert(t, s.Recorded("a") && s.Recorded("b"))
	assert.Assert(t, !write("v1"), "a stream of the only version costs a write")

	begin("c", "v2")
	assert.Assert(t, !s.Recorded("c"))
	assert.Assert(t, write("v1", "v2"))
	assert.Assert(t, s.Recorded("a") && s.Recorded("b") && s.Recorded("c"))
	assert.Equal(t, s.Default(llmPool), persimmoncart.SoftwareVersion("v1"))
	begin("c", "v1") // the engine at v2 refused it
	assert.Assert(t, !s.Recorded("c"))
	assert.Assert(t, write("v1", "v2"))
	assert.Assert(t, s.Recorded("c"))

	assert.Assert(t, write("v2"))
	assert.Equal(t, s.Default(llmPool), persimmoncart.SoftwareVersion("v2"))
	assert.Assert(t, s.Recorded("a"), "a stream of v1 may still be resumed")
	assert.Assert(t, s.Lists(llmPool))
	now = now.Add(11 * time.Second)
	begin("d", "v2")
	write("v2")
	assert.Assert(t, !write("v2"), "the record goes on to list streams")
	s.Lost()
	assert.Assert(t, !s.Recorded("d"))
	assert.Assert(t, write("v2"))
}

// Guards against a stream of the old default version whose first event is passed on while
// a write changes the default without listing it.
func TestStreamOriginsChangeOfDefault(t *testing.T) {
	var s policy.StreamOrigins
	now := time.Now()
	s.SetWritten(s.Record(now, inService("v1")), 0)
	next := s.Record(now, inService("v2"))
	assert.Assert(t, s.MustWrite(next))
	s.SetWriting(next)
	assert.Assert(t, s.Begin(now, "late", origin("v1"), now.Add(time.Second)))
	assert.Assert(t, !s.Recorded("late"))
	s.SetWritten(next, 0)
	assert.Assert(t, !s.Recorded("late"))
	next = s.Record(now, inService("v2"))
	assert.Assert(t, s.MustWrite(next))
	s.SetWritten(next, 0)
	assert.Assert(t, s.Recorded("late"))
}

// Guards against instances with different default versions after all were killed, which
// make the origin of streams that are not listed unknown.
func TestStreamOriginsAgreeOnDefault(t *testing.T) {
	var s policy.StreamOrigins
	s.SetOthers(records(0, policy.StreamsOfPool{Default: "v1"}), 0)
	next := s.Record(time.Now(), inService("v2", "v1")) // most engines have v2
	assert.Equal(t, next.Pools[llmPool].Default, persimmoncart.SoftwareVersion("v1"))
	s.SetWritten(next, 0)
	assert.Assert(t, !s.Disagrees())

	next = s.Record(time.Now(), inService("v2"))
	assert.Equal(t, next.Pools[llmPool].Default, persimmoncart.SoftwareVersion("v2"))
	s.SetWritten(next, 0)
	assert.Assert(t, s.Disagrees() && s.Lists(llmPool))
	next = s.Record(time.Now(), nil) // no engine is in service for a moment
	assert.Assert(t, !s.MustWrite(next))
	assert.Equal(t, next.Pools[llmPool].Default, persimmoncart.SoftwareVersion("v2"))
}

// Guards against an origin that is a guess, and against one that is refused although
// the records tell it.
func TestStreamOriginsLookUp(t *testing.T) {
	other := func(version persimmoncart.SoftwareVersion) policy.StreamsOfPool {
		return policy.StreamsOfPool{Default: version}
	}
	listed := func(version, otherwise persimmoncart.SoftwareVersion) policy.StreamsOfPool {
		return policy.StreamsOfPool{Default: otherwise, Listed: map[persimmoncart.RequestID]persimmoncart.SoftwareVersion{"a": version}}
	}
	for _, c := range []struct {
		name   string
		others map[string]policy.StreamRecord
		want   persimmoncart.SoftwareVersion // empty for an unknown origin
	}{
		{"no records", nil, ""},
		{"one default", records(1, other("v1"), other("v1")), "v1"},
		{"two defaults", records(1, other("v1"), other("v2")), ""},
		{"listed", records(1, other("v1"), listed("v2", "v1")), "v2"},
		{"listed by two processes", records(1, listed("v1", "v2"), listed("v1", "v1")), "v1"},
		{"contradiction", records(1, listed("v1", "v1"), listed("v2", "v1")), ""},
		{"record of an earlier epoch", records(0, other("v1")), ""},
		{"listed in an earlier epoch", records(0, listed("v1", "v2")), "v1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s policy.StreamOrigins
			s.SetOthers(c.others, 1)
			got, found := s.Origin("a", []persimmoncart.PoolName{"other", llmPool})
			assert.Equal(t, found, c.want != "")
			assert.Equal(t, got.Software, c.want)
		})
	}
}

// Guards against streams whose origin is forgotten when the store is restored from a
// copy without the record of a process that has been killed.
func TestStreamOriginsRestoredStore(t *testing.T) {
	var s policy.StreamOrigins
	s.SetOthers(records(0, policy.StreamsOfPool{Listed: map[persimmoncart.RequestID]persimmoncart.SoftwareVersion{"a": "v1"}}), 0)
	s.SetOthers(nil, 1)
	got, found := s.Origin("a", nil)
	assert.Assert(t, found)
	assert.Equal(t, got, origin("v1"))
}

// Guards against memory that grows with the number of streams.
func TestStreamOriginsBounded(t *testing.T) {
	const streams = 9000
	var s policy.StreamOrigins
	now, remembered := time.Now(), 0
	begin := func(prefix string) {
		for n := range streams {
			if s.Begin(now, persimmoncart.RequestID(fmt.Sprintf("%s-%d", prefix, n)), origin("v1"), now.Add(time.Second)) {
				remembered++
			}
		}
	}
	begin("a")
	assert.Assert(t, remembered < streams)
	now, remembered = now.Add(2*time.Second), 0
	begin("b")
	assert.Assert(t, remembered > 0, "streams that have ended are not forgotten")
}
