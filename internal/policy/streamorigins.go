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

// StreamsOfPool are the streams of one pool in a StreamRecord. One that is not listed
// began at the default version: a stream of that one costs no write, and can begin while
// the store is away.
type StreamsOfPool struct {
	Default persimmoncart.SoftwareVersion                             `json:"default"`
	Listed  map[persimmoncart.RequestID]persimmoncart.SoftwareVersion `json:"listed,omitempty"` // by the attempt that brought the first event
}

// has reports whether the record states that a stream began at a version.
func (p StreamsOfPool) has(attempt persimmoncart.RequestID, software persimmoncart.SoftwareVersion) bool {
	if listed, found := p.Listed[attempt]; found {
		return listed == software
	}
	return p.Default == software
}

// A begunStream is a stream that began at this instance.
type begunStream struct {
	expires time.Time // its caller does not resume it after this
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
	writing *StreamRecord           // that replaces written now, or may have done so; nil for none
}

// Begin records that a stream begins, and the time after which its caller no longer
// resumes it. A later call for the same attempt replaces the origin. It reports false
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
// instance, and keeps it when the write in progress is done.
func (s *StreamOrigins) Recorded(attempt persimmoncart.RequestID) bool {
	stream, found := s.begun[attempt]
	if !found || s.written == nil {
		return false
	}
	has := func(r *StreamRecord) bool {
		streams, found := r.Pools[stream.origin.Pool]
		return found && streams.has(attempt, stream.origin.Software)
	}
	return has(s.written) && (s.writing == nil || has(s.writing))
}

// Default returns the version at which streams of a pool may begin without a write. It
// is empty if there is none.
func (s *StreamOrigins) Default(pool persimmoncart.PoolName) persimmoncart.SoftwareVersion {
	if s.written == nil {
		return ""
	}
	return s.written.Pools[pool].Default
}

// Record returns the record that this process has to have, given the versions that
// take new streams by pool, in order of preference.
func (s *StreamOrigins) Record(now time.Time, inService map[persimmoncart.PoolName][]persimmoncart.SoftwareVersion) StreamRecord {
	s.expire(now)
	next := StreamRecord{Epoch: s.epoch, Pools: make(map[persimmoncart.PoolName]StreamsOfPool)}
	for pool, versions := range inService {
		next.Pools[pool] = s.streamsOf(pool, versions)
	}
	if s.written == nil {
		return next
	}
	for pool, streams := range s.written.Pools {
		if _, found := next.Pools[pool]; !found { // no endpoint is in service
			next.Pools[pool] = s.streamsOf(pool, []persimmoncart.SoftwareVersion{streams.Default})
		}
	}
	return next
}

// Lists reports whether the store's record lists the streams of a pool.
func (s *StreamOrigins) Lists(pool persimmoncart.PoolName) bool {
	return s.written != nil && s.written.Pools[pool].Listed != nil
}

// streamsOf returns the streams of a pool of which the given versions take new streams.
// Streams are listed while any process may have streams of another version. Those that
// are listed can be resumed even if the default versions of the processes differ.
func (s *StreamOrigins) streamsOf(pool persimmoncart.PoolName, inService []persimmoncart.SoftwareVersion) StreamsOfPool {
	streams := StreamsOfPool{Default: s.chooseDefault(pool, inService)}
	listed := make(map[persimmoncart.RequestID]persimmoncart.SoftwareVersion)
	several := len(inService) > 1 || s.othersDiffer(pool, streams.Default)
	for attempt, stream := range s.begun {
		if stream.origin.Pool == pool {
			listed[attempt] = stream.origin.Software
			several = several || stream.origin.Software != streams.Default
		}
	}
	if several {
		streams.Listed = listed
	}
	return streams
}

// chooseDefault returns the default version of a pool: the present one while it is in
// service, or that of other processes, or the preferred one.
func (s *StreamOrigins) chooseDefault(pool persimmoncart.PoolName, inService []persimmoncart.SoftwareVersion) persimmoncart.SoftwareVersion {
	present := s.Default(pool)
	if slices.Contains(inService, present) {
		return present
	}
	for _, version := range inService {
		for _, record := range s.others {
			if record.Pools[pool].Default == version {
				return version
			}
		}
	}
	return inService[0]
}

// othersDiffer reports whether another process has another default version of a pool.
func (s *StreamOrigins) othersDiffer(pool persimmoncart.PoolName, version persimmoncart.SoftwareVersion) bool {
	for _, record := range s.others {
		if other, found := record.Pools[pool]; found && other.Default != version {
			return true
		}
	}
	return false
}

// Disagrees reports whether other processes have other default versions than this one, as
// far as their records have been read.
func (s *StreamOrigins) Disagrees() bool {
	if s.written == nil {
		return false
	}
	for pool, streams := range s.written.Pools {
		if s.othersDiffer(pool, streams.Default) {
			return true
		}
	}
	return false
}

// MustWrite reports whether the store's record of this process lacks something of the
// given one. Streams that it lists beyond that are left out with the next write.
func (s *StreamOrigins) MustWrite(next StreamRecord) bool {
	if s.written == nil || s.writing != nil || s.written.Epoch != next.Epoch {
		return true
	}
	for pool, streams := range next.Pools {
		written, found := s.written.Pools[pool]
		if !found || written.Default != streams.Default {
			return true
		}
		for attempt, software := range streams.Listed {
			if listed, found := written.Listed[attempt]; !found || listed != software {
				return true
			}
		}
	}
	return false
}

// SetWriting records that a write of the given record begins. Until SetWritten, the
// store may have it or not.
func (s *StreamOrigins) SetWriting(record StreamRecord) { s.writing = &record }

// SetWritten records that the store has the given record of this process, and the
// epoch of the write.
func (s *StreamOrigins) SetWritten(record StreamRecord, epoch uint64) {
	s.epoch = max(s.epoch, epoch)
	s.written, s.writing = &record, nil
}

// Lost records that the store may have lost the record of this process.
func (s *StreamOrigins) Lost() { s.written, s.writing = nil, nil }

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

// Origin returns where a stream began: as this instance knows, or as records list it. If
// none lists it and pools are given, it began in one of these at the default version of all
// processes. It reports false if records contradict each other or are missing.
func (s *StreamOrigins) Origin(attempt persimmoncart.RequestID, pools []persimmoncart.PoolName) (persimmoncart.StreamOrigin, bool) {
	if stream, found := s.begun[attempt]; found {
		return stream.origin, true
	}
	var listed []persimmoncart.StreamOrigin
	for _, record := range s.others {
		for pool, streams := range record.Pools {
			if software, found := streams.Listed[attempt]; found {
				listed = append(listed, persimmoncart.StreamOrigin{Pool: pool, Software: software})
			}
		}
	}
	if len(listed) > 0 {
		return single(listed)
	}
	return s.unlisted(pools)
}

// unlisted returns where a stream that is not listed began, if it is one of the given
// pools. It reports false if a record is of an earlier epoch of the store, which may have
// lost what followed.
func (s *StreamOrigins) unlisted(pools []persimmoncart.PoolName) (persimmoncart.StreamOrigin, bool) {
	var origins []persimmoncart.StreamOrigin
	for _, record := range s.others {
		for _, pool := range pools {
			streams, found := record.Pools[pool]
			if !found {
				continue
			}
			if record.Epoch != s.epoch {
				return persimmoncart.StreamOrigin{}, false
			}
			origins = append(origins, persimmoncart.StreamOrigin{Pool: pool, Software: streams.Default})
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

// expire forgets the streams that callers no longer resume.
func (s *StreamOrigins) expire(now time.Time) {
	maps.DeleteFunc(s.begun, func(_ persimmoncart.RequestID, stream begunStream) bool { return now.After(stream.expires) })
}
