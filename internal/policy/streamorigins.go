package policy

import (
	"maps"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// maxBegunStreams bounds the streams of one process that are remembered. Their record
// stays below half of the store's largest value.
const maxBegunStreams = 8192

// A StreamRecord states where the streams of one process of an instance began. Each
// process writes its own, and all read them.
type StreamRecord struct {
	Epoch uint64                                   `json:"epoch"` // of the store when it was written
	Pools map[persimmoncart.PoolName]StreamsOfPool `json:"pools"`
}

// StreamsOfPool are the streams of one pool in a StreamRecord. Either all began at one
// version of the software, or each is listed: then a record costs a write for each
// stream, which is needed only while the pool has several versions.
type StreamsOfPool struct {
	Listed map[persimmoncart.RequestID]persimmoncart.SoftwareVersion `json:"listed,omitempty"` // by the attempt that brought the first event
	Only   persimmoncart.SoftwareVersion                             `json:"only,omitempty"`   // empty if streams are listed
}

// A begunStream is a stream that began at this instance.
type begunStream struct {
	expires time.Time // its caller does not take it up after this
	origin  persimmoncart.StreamOrigin
}

// StreamOrigins knows where streams began: those of this instance, and those that
// other processes have recorded. It answers only from what is recorded. A stream whose
// origin does not follow from that has none, since a guess may join the text of two
// versions. The zero value is ready for use.
type StreamOrigins struct {
	begun   map[persimmoncart.RequestID]begunStream
	epoch   uint64                  // of the store when others was read
	others  map[string]StreamRecord // of other processes, by key
	written *StreamRecord           // of this process, as the store has it; nil before the first write
}

// Begin records that a stream begins, and the time after which its caller no longer
// takes it up. A later call for the same attempt replaces the origin. It reports false
// if too many streams are remembered.
func (s *StreamOrigins) Begin(now time.Time, attempt persimmoncart.RequestID, origin persimmoncart.StreamOrigin, expires time.Time) bool {
	if _, found := s.begun[attempt]; !found && len(s.begun) >= maxBegunStreams {
		s.expire(now)
		if len(s.begun) >= maxBegunStreams {
			return false
		}
	}
	if s.begun == nil {
		s.begun = make(map[persimmoncart.RequestID]begunStream)
	}
	s.begun[attempt] = begunStream{expires: expires, origin: origin}
	return true
}

// Recorded reports whether the store has the origin of a stream that began at this
// instance.
func (s *StreamOrigins) Recorded(attempt persimmoncart.RequestID) bool {
	stream, found := s.begun[attempt]
	if !found || s.written == nil {
		return false
	}
	return s.written.Pools[stream.origin.Pool].has(attempt, stream.origin.Software)
}

// has reports whether the record states that a stream began at a version.
func (p StreamsOfPool) has(attempt persimmoncart.RequestID, software persimmoncart.SoftwareVersion) bool {
	if p.Only != "" {
		return p.Only == software
	}
	listed, found := p.Listed[attempt]
	return found && listed == software
}

// Record returns the record that this process has to have, given the versions that
// take new streams by pool.
func (s *StreamOrigins) Record(now time.Time, inService map[persimmoncart.PoolName][]persimmoncart.SoftwareVersion) StreamRecord {
	s.expire(now)
	next := StreamRecord{Epoch: s.epoch, Pools: make(map[persimmoncart.PoolName]StreamsOfPool)}
	for pool, versions := range inService {
		next.Pools[pool] = s.streamsOf(pool, versions)
	}
	return next
}

// streamsOf returns the streams of a pool of which the given versions take new streams.
func (s *StreamOrigins) streamsOf(pool persimmoncart.PoolName, inService []persimmoncart.SoftwareVersion) StreamsOfPool {
	versions := slices.Clone(inService)
	listed := make(map[persimmoncart.RequestID]persimmoncart.SoftwareVersion)
	for attempt, stream := range s.begun {
		if stream.origin.Pool == pool {
			listed[attempt] = stream.origin.Software
			versions = append(versions, stream.origin.Software)
		}
	}
	slices.Sort(versions)
	if versions = slices.Compact(versions); len(versions) == 1 {
		return StreamsOfPool{Only: versions[0]}
	}
	return StreamsOfPool{Listed: listed}
}

// MustWrite reports whether the store's record of this process lacks something of the
// given one. Streams that it lists beyond that are left out with the next write.
func (s *StreamOrigins) MustWrite(next StreamRecord) bool {
	if s.written == nil || s.written.Epoch != next.Epoch {
		return true
	}
	for pool, streams := range next.Pools {
		written, found := s.written.Pools[pool]
		if !found || written.Only != streams.Only {
			return true
		}
		for attempt, software := range streams.Listed {
			if !written.has(attempt, software) {
				return true
			}
		}
	}
	return false
}

// SetWritten records that the store has the given record of this process, and the
// epoch of the write.
func (s *StreamOrigins) SetWritten(record StreamRecord, epoch uint64) {
	s.epoch = max(s.epoch, epoch)
	s.written = &record
}

// Lost records that the store may have lost the record of this process.
func (s *StreamOrigins) Lost() { s.written = nil }

// SetOthers replaces the records of other processes, which were read in the given
// epoch of the store. A store that was restored from an older copy has lost the newest
// ones, so that those known before are kept.
func (s *StreamOrigins) SetOthers(records map[string]StreamRecord, epoch uint64) {
	if epoch != s.epoch {
		kept := maps.Clone(s.others)
		if kept == nil {
			kept = make(map[string]StreamRecord)
		}
		maps.Copy(kept, records)
		records = kept
	}
	s.epoch = max(s.epoch, epoch)
	s.others = records
}

// Listed returns where a stream began if it began at this instance or a record lists
// it. It reports false if not, or if records contradict each other.
func (s *StreamOrigins) Listed(attempt persimmoncart.RequestID) (persimmoncart.StreamOrigin, bool) {
	if stream, found := s.begun[attempt]; found {
		return stream.origin, true
	}
	var origins []persimmoncart.StreamOrigin
	for _, record := range s.others {
		for pool, streams := range record.Pools {
			if software, found := streams.Listed[attempt]; found {
				origins = append(origins, persimmoncart.StreamOrigin{Pool: pool, Software: software})
			}
		}
	}
	return single(origins)
}

// Unlisted returns where a stream that is not listed began, if it is one of the given
// pools: at the one version of all processes that do not list theirs. It reports false
// if these have several versions, or a record is of an earlier epoch of the store, which
// may have lost what followed.
func (s *StreamOrigins) Unlisted(pools []persimmoncart.PoolName) (persimmoncart.StreamOrigin, bool) {
	var origins []persimmoncart.StreamOrigin
	for _, record := range s.others {
		for _, pool := range pools {
			only := record.Pools[pool].Only
			switch {
			case only == "":
			case record.Epoch != s.epoch:
				return persimmoncart.StreamOrigin{}, false
			default:
				origins = append(origins, persimmoncart.StreamOrigin{Pool: pool, Software: only})
			}
		}
	}
	return single(origins)
}

// single returns the one origin in a list that may repeat it. It reports false if
// there is none or several.
func single(origins []persimmoncart.StreamOrigin) (persimmoncart.StreamOrigin, bool) {
	if len(origins) == 0 {
		return persimmoncart.StreamOrigin{}, false
	}
	for _, o := range origins[1:] {
		if o != origins[0] {
			return persimmoncart.StreamOrigin{}, false
		}
	}
	return origins[0], true
}

// expire forgets the streams that are no longer taken up.
func (s *StreamOrigins) expire(now time.Time) {
	maps.DeleteFunc(s.begun, func(_ persimmoncart.RequestID, stream begunStream) bool { return now.After(stream.expires) })
}
