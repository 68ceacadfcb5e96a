package quotanet

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/quota"
)

// Record returns what the next heartbeat of this instance states.
func (s *Service) Record() quota.Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.Instance.Ring.Record(s.Timer.Now(), quota.Record{Addr: s.Addr, DataCentre: s.DataCentre})
}

// Due returns the time until the next heartbeat has to be written; false if it may be
// written at any time.
func (s *Service) Due() (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.Instance.Ring.Due(s.Timer.Now())
}

// Found handles that an earlier process of this instance has written a heartbeat.
func (s *Service) Found(r *quota.Record, epoch uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Instance.Ring.Found(s.Timer.Now(), r, epoch)
	s.Logger.Info().Bool("holds", r != nil && r.Holds).Msg("heartbeat of an earlier process found")
}

// Written handles a heartbeat that was written. MustList reports whether all records have
// to be listed then; Confirmed follows.
func (s *Service) Written(began time.Time, r quota.Record, created bool, version persimmoncart.Version) (mustList bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ring, now := s.Instance.Ring, s.Timer.Now()
	ring.Written(began, now, r, created, version.Epoch())
	ring.Fresh(now, version)
	s.logHolding()
	return ring.MustConfirm()
}

// Confirmed handles that all records were listed and observed after Written.
func (s *Service) Confirmed() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Instance.Ring.Confirmed(s.Timer.Now())
	s.logHolding()
}

// Contact handles a response of the store after which all records up to a version are
// known.
func (s *Service) Contact(version persimmoncart.Version) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Instance.Ring.Contact(s.Timer.Now(), version)
	s.logHolding()
}

// Fresh handles that the store has reached a version, as read without a lag.
func (s *Service) Fresh(version persimmoncart.Version) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Instance.Ring.Fresh(s.Timer.Now(), version)
}

// Listed handles that all records were listed and observed.
func (s *Service) Listed() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Instance.Ring.Listed(s.Timer.Now())
	s.logHolding()
}

// Observe handles the record of an instance; nil if it takes no part.
func (s *Service) Observe(id persimmoncart.InstanceID, incarnation persimmoncart.Incarnation, r *quota.Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Instance.Ring.Observe(s.Timer.Now(), id, incarnation, r)
}

// Gone handles that the record of an instance was removed.
func (s *Service) Gone(id persimmoncart.InstanceID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if id == s.Instance.Ring.Self {
		s.Instance.Ring.Lost()
	}
	s.Instance.Ring.Gone(s.Timer.Now(), id)
}

// logHolding logs that this instance has begun to hold limits, or has stopped. The caller
// holds the mutex.
func (s *Service) logHolding() {
	if holding := s.Instance.Ring.Holding(s.Timer.Now()); holding != s.holding {
		s.holding = holding
		s.Logger.Info().Bool("holding", holding).Int("instances", s.Instance.Ring.Len()).Msg("limits of accounts held")
	}
}
