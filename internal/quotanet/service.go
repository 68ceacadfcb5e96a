// Package quotanet carries the messages of package quota between instances, as datagrams.
//
// A Service is one instance's part: it implements persimmoncart.Quota for the requests of
// the instance, answers the asks of the others, and learns from the heartbeat records who
// these are. Datagrams of others than these are ignored.
package quotanet

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/metrics"
	"github.com/persimmoncart/persimmoncart/internal/quota"
)

const (
	// sweepPeriod is the time between two calls of Instance.Sweep.
	sweepPeriod = time.Second
	// readPause is the pause after a failed read.
	readPause = 100 * time.Millisecond
)

var _ persimmoncart.Quota = (*Service)(nil)

// A Service enforces quotas for one instance. Its exported fields are set before use.
type Service struct {
	Addr       netip.AddrPort // that the other instances send to
	Conn       net.PacketConn // that receives at Addr
	DataCentre persimmoncart.DataCentre
	Instance   *quota.Instance
	Logger     zerolog.Logger
	Metrics    *metrics.Metrics
	Table      func() *persimmoncart.ForwardTable // in force; nil before the first
	Timer      persimmoncart.Timer

	accounts atomic.Pointer[accountIndex]
	holding  bool // as last logged
	lines    lineLimit
	mutex    sync.Mutex // guards Instance and holding
}

// An accountIndex holds the accounts of a table by quota.Key.
type accountIndex struct {
	byKey map[uint64]*persimmoncart.Account
	table *persimmoncart.ForwardTable
}

// Run receives datagrams until ctx is done, and returns its error.
func (s *Service) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Conn.Close() }) // ends the read; nothing is lost
	defer stop()
	defer s.Timer.Subscribe(sweepPeriod, s.sweep)()
	buffer := make([]byte, maxDatagram+1)
	for ctx.Err() == nil {
		n, from, err := s.Conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "read datagram")
		}
		if err != nil {
			s.warn("read").Err(err).Msg("datagram not read")
			_ = s.Timer.Sleep(ctx, readPause) // an end of ctx ends the loop
			continue
		}
		addr, ok := from.(*net.UDPAddr)
		if !ok {
			continue
		}
		s.handle(netip.AddrPortFrom(addr.AddrPort().Addr().Unmap(), addr.AddrPort().Port()), buffer[:n])
	}
	return ctx.Err()
}

// Take implements persimmoncart.Quota.
func (s *Service) Take(ctx context.Context, account *persimmoncart.Account, units int) (persimmoncart.QuotaTicket, error) {
	limit, limited := quota.LimitOf(account)
	if !limited {
		return persimmoncart.QuotaTicket{}, nil
	}
	var e quota.Effects
	s.mutex.Lock()
	ticket, ok := s.Instance.Take(s.Timer.Now(), account, limit, units, &e)
	if ok {
		s.mutex.Unlock()
		s.perform(&e)
		ticket.Returner = s
		return ticket, nil
	}
	return s.wait(ctx, account, limit, units)
}

// wait waits for units. The caller holds the mutex, which is released.
func (s *Service) wait(ctx context.Context, account *persimmoncart.Account, limit quota.Limit, units int) (persimmoncart.QuotaTicket, error) {
	var e quota.Effects
	w := s.Instance.Wait(s.Timer.Now(), account, limit, units, &e)
	w.Ready = make(chan struct{})
	pending := w.Outcome == quota.OutcomePending
	s.mutex.Unlock()
	s.perform(&e)
	if pending {
		late := make(chan struct{})
		stop := s.Timer.After(quota.WaitLimit, func(time.Time) { close(late) })
		defer stop()
		select {
		case <-w.Ready:
		case <-late:
			s.cancel(w)
		case <-ctx.Done():
			s.cancel(w)
		}
	}
	ticket := w.Ticket
	ticket.Returner = s
	switch {
	case w.Outcome == quota.OutcomeGranted && ctx.Err() != nil:
		ticket.Return()
		return persimmoncart.QuotaTicket{}, ctx.Err()
	case w.Outcome == quota.OutcomeGranted:
		return ticket, nil
	case ctx.Err() != nil:
		return persimmoncart.QuotaTicket{}, ctx.Err()
	case w.Outcome == quota.OutcomeLimited:
		s.warn("limited").Str("account", string(account.Name)).Int("units", units).Dur("retry", w.RetryAfter).Msg("account is over its limit")
		return persimmoncart.QuotaTicket{}, &persimmoncart.Refusal{
			Code: persimmoncart.RefusalAccountLimited, Message: "the account is over its limit", Outcome: persimmoncart.OutcomeNotRun,
			RetryAfter: w.RetryAfter,
		}
	default:
		s.warn("unavailable").Str("account", string(account.Name)).Int("units", units).Msg("no instance decides about the account's limit")
		return persimmoncart.QuotaTicket{}, &persimmoncart.Refusal{
			Code: persimmoncart.RefusalNotReady, Message: "the account's use is not known", Outcome: persimmoncart.OutcomeNotRun,
			RetryAfter: max(w.RetryAfter, quota.UnavailableRetry),
		}
	}
}

// cancel ends the wait of a request.
func (s *Service) cancel(w *quota.Waiter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Instance.Cancel(s.Timer.Now(), w)
}

// ReturnQuota implements persimmoncart.QuotaReturner.
func (s *Service) ReturnQuota(ticket persimmoncart.QuotaTicket) {
	limit, limited := quota.LimitOf(ticket.Account)
	if !limited {
		return
	}
	s.decide(func(e *quota.Effects) { s.Instance.Return(s.Timer.Now(), ticket, limit, e) })
	s.Metrics.CountQuotaReturned(ticket.Units)
}

// decide has the instance decide, and performs the effects.
func (s *Service) decide(f func(e *quota.Effects)) {
	var e quota.Effects
	s.mutex.Lock()
	f(&e)
	s.mutex.Unlock()
	s.perform(&e)
}

// perform sends the datagrams of a decision and wakes the requests that it ended.
func (s *Service) perform(e *quota.Effects) {
	for _, w := range e.Done {
		if w.Ready != nil {
			close(w.Ready)
		}
	}
	for n := range e.Asks {
		q := &e.Asks[n]
		s.send(q.Addr, askMessage(&q.Ask))
		s.Timer.After(quota.AskTimeout, func(now time.Time) {
			s.decide(func(e *quota.Effects) { s.Instance.Timeout(now, q.Ask.ID, e) })
		})
	}
	for _, wake := range e.Wakes {
		s.Timer.After(wake.After, func(now time.Time) {
			s.decide(func(e *quota.Effects) { s.Instance.Wake(now, wake.Account, e) })
		})
	}
	for n := range e.Returns {
		s.send(e.Returns[n].Addr, returnMessage(&e.Returns[n]))
	}
	for _, id := range e.Silent {
		s.Metrics.CountQuotaTimeout()
		s.warn("silent").Str("member", string(id)).Msg("instance does not answer for the quotas")
	}
}

// send sends a message. A datagram that is not sent counts as lost.
func (s *Service) send(addr netip.AddrPort, m *message) {
	data, err := encode(m)
	if err == nil {
		_, err = s.Conn.WriteTo(data, net.UDPAddrFromAddrPort(addr))
	}
	if err != nil {
		s.warn("send").Stringer("addr", addr).Err(err).Msg("datagram not sent")
		return
	}
	s.Metrics.CountQuotaDatagram()
}

// handle handles a datagram. Those of other senders than instances are ignored.
func (s *Service) handle(from netip.AddrPort, data []byte) {
	s.mutex.Lock()
	known := s.Instance.Member(from)
	s.mutex.Unlock()
	if !known {
		s.warn("sender").Stringer("addr", from).Msg("datagram of another sender ignored")
		return
	}
	m, err := decode(data)
	if err != nil {
		s.warn("decode").Stringer("addr", from).Err(err).Msg("datagram ignored")
		return
	}
	if m.Kind == kindReply {
		// A reply to no ask in flight is a late or repeated one, and is ignored.
		s.decide(func(e *quota.Effects) { s.Instance.HandleReply(s.Timer.Now(), from, m.reply(), e) })
		return
	}
	account := s.account(m.Account)
	if account == nil {
		return // of another version of the configuration
	}
	limit, limited := quota.LimitOf(account)
	if !limited {
		return
	}
	if m.Kind == kindReturn {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		// A return that is not accepted is a repeated one, or meant for an earlier process.
		s.Instance.HandleReturn(s.Timer.Now(), from, limit, m.giveBack())
		return
	}
	s.mutex.Lock()
	reply := s.Instance.HandleAsk(s.Timer.Now(), from, limit, m.ask())
	s.mutex.Unlock()
	s.Metrics.CountQuotaGranted(reply.Granted)
	s.send(from, replyMessage(&reply))
}

// account returns the account with the given key in the table in force; nil if there is
// none.
func (s *Service) account(key uint64) *persimmoncart.Account {
	table := s.Table()
	if table == nil {
		return nil
	}
	index := s.accounts.Load()
	if index == nil || index.table != table {
		index = &accountIndex{byKey: make(map[uint64]*persimmoncart.Account, len(table.Accounts)), table: table}
		for _, a := range table.Accounts {
			index.byKey[quota.Key(a.Name)] = a
		}
		s.accounts.Store(index)
		s.mutex.Lock()
		s.Instance.Forget(func(key uint64) bool { return index.byKey[key] == nil })
		s.mutex.Unlock()
	}
	return index.byKey[key]
}

// sweep forgets what is not used any more.
func (s *Service) sweep(now time.Time) {
	s.decide(func(e *quota.Effects) {
		s.Instance.Sweep(now, e)
		s.Metrics.SetQuotaAccountsHeld(s.Instance.Held())
		s.logHolding()
	})
}

// warn returns a log line of a class, of which one a second is written.
func (s *Service) warn(class string) *zerolog.Event {
	if skipped, ok := s.lines.allow(s.Timer.Now(), class); ok {
		return s.Logger.Warn().Int("skipped", skipped)
	}
	return nil // which writes nothing
}
