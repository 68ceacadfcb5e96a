package membership

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/peer"
	memberv1 "github.com/persimmoncart/persimmoncart/proto/member/v1"
)

const (
	listPeriod = 10 * time.Second       // between reads of the instance list
	tickPeriod = 250 * time.Millisecond // between ticks of the Machine
)

var (
	_ peer.Handler          = (*Service)(nil)
	_ persimmoncart.Members = (*Service)(nil)
)

// A Service runs a Machine on a timer and a transport. Its exported fields are set
// before the first call.
type Service struct {
	HandleRecord func(*memberv1.RecordRequest) *memberv1.RecordReply // called under Lock; nil returns no record
	List         persimmoncart.InstanceList                          // nil reads no list
	Lock         sync.Locker                                         // shared by the subsystems that use the Machine; nil creates one
	Logger       zerolog.Logger
	Machine      *Machine
	Spawn        func(func()) // runs a function that may block; nil starts a goroutine
	Timer        persimmoncart.Timer
	Transport    peer.Transport

	lastSubscriber int
	nextList       time.Time
	once           sync.Once
	subscribers    map[int]func([]persimmoncart.Member)
}

// Run runs the protocol until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	stop := s.Start(ctx)
	defer stop()
	<-ctx.Done()
	return ctx.Err()
}

// Start runs the protocol until the returned function is called.
func (s *Service) Start(ctx context.Context) (stop func()) {
	s.init()
	s.tick(ctx, s.Timer.Now())
	return s.Timer.Subscribe(tickPeriod, func(now time.Time) { s.tick(ctx, now) })
}

// Setup runs f under Lock. Subsystems register with the Machine in f, because
// calls of peers are handled as soon as the listener is open, before Run.
func (s *Service) Setup(f func()) {
	s.init()
	s.Lock.Lock()
	defer s.Lock.Unlock()
	f()
}

// Handle implements peer.Handler.
func (s *Service) Handle(request proto.Message, respond func(proto.Message, error)) {
	switch r := request.(type) {
	case *memberv1.ProbeRequest:
		var reply *memberv1.ProbeReply
		s.update(func(now time.Time) []Call {
			var calls []Call
			reply, calls = s.Machine.HandleProbe(now, r)
			return calls
		})
		respond(reply, nil)
	case *memberv1.ProbeViaRequest:
		s.probeVia(r, respond)
	case *memberv1.RecordRequest:
		reply := &memberv1.RecordReply{}
		s.update(func(time.Time) []Call {
			if s.HandleRecord != nil {
				reply = s.HandleRecord(r)
			}
			return nil
		})
		respond(reply, nil)
	case *memberv1.SummaryRequest:
		var reply *memberv1.SummaryReply
		s.update(func(now time.Time) []Call {
			reply = s.Machine.HandleSummary(now, r)
			return nil
		})
		respond(reply, nil)
	default:
		respond(nil, &peer.UnknownRequestError{Name: string(request.ProtoReflect().Descriptor().FullName())})
	}
}

// Leave announces to the cell that this instance is going to stop.
func (s *Service) Leave() { s.update(s.Machine.Leave) }

// ProbeNow sends a probe outside the probe round. The caller holds Lock.
func (s *Service) ProbeNow(id persimmoncart.InstanceID) {
	s.send(s.Machine.ProbeNow(s.Timer.Now(), id))
}

// Self implements persimmoncart.Members.
func (s *Service) Self() persimmoncart.Instance {
	s.init()
	s.Lock.Lock()
	defer s.Lock.Unlock()
	return s.Machine.Self
}

// Subscribe implements persimmoncart.Members. The callback runs under Lock and
// must not call back into the Service.
func (s *Service) Subscribe(f func([]persimmoncart.Member)) (stop func()) {
	s.init()
	s.Lock.Lock()
	defer s.Lock.Unlock()
	s.lastSubscriber++
	n := s.lastSubscriber
	s.subscribers[n] = f
	return func() {
		s.Lock.Lock()
		defer s.Lock.Unlock()
		delete(s.subscribers, n)
	}
}

// View implements persimmoncart.Members.
func (s *Service) View() []persimmoncart.Member {
	s.init()
	s.Lock.Lock()
	defer s.Lock.Unlock()
	return s.Machine.View()
}

// init sets defaults on the first call.
func (s *Service) init() {
	s.once.Do(func() {
		if s.Lock == nil {
			s.Lock = &sync.Mutex{}
		}
		if s.Spawn == nil {
			s.Spawn = func(f func()) { go f() }
		}
		s.subscribers = map[int]func([]persimmoncart.Member){}
	})
}

// update runs f under Lock, sends the calls that it returns and reports changes to
// the subscribers.
func (s *Service) update(f func(time.Time) []Call) {
	s.init()
	s.Lock.Lock()
	defer s.Lock.Unlock()
	s.send(f(s.Timer.Now()))
	s.notify()
}

// notify reports changes to the subscribers. The caller holds Lock.
func (s *Service) notify() {
	changes := s.Machine.TakeChanges()
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		s.Logger.Debug().Str("instance", string(c.Instance.ID)).Stringer("state", c.State).Msg("member changed")
	}
	for n := 1; n <= s.lastSubscriber; n++ {
		if f := s.subscribers[n]; f != nil {
			f(changes)
		}
	}
}

// send sends calls. The caller holds Lock; the callback for a result takes it.
func (s *Service) send(calls []Call) {
	for _, c := range calls {
		s.Transport.Call(c.Instance.Addr, c.Request, c.Timeout, func(reply proto.Message, err error) {
			s.update(func(now time.Time) []Call { return s.Machine.HandleResult(now, c, reply, err) })
		})
	}
}

// tick sends what is due and reads the instance list every listPeriod.
func (s *Service) tick(ctx context.Context, now time.Time) {
	s.update(s.Machine.Tick)
	if s.List == nil || now.Before(s.nextList) {
		return
	}
	s.nextList = now.Add(listPeriod)
	s.Spawn(func() {
		listed, err := s.List.List(ctx)
		if err != nil {
			s.Logger.Warn().Err(err).Msg("instance list unavailable")
			return
		}
		s.update(func(now time.Time) []Call { return s.Machine.ApplyList(now, listed) })
	})
}

// probeVia probes a third instance on behalf of the caller and responds with the
// result.
func (s *Service) probeVia(r *memberv1.ProbeViaRequest, respond func(proto.Message, error)) {
	target, valid := entryFromProto(&memberv1.Entry{Addr: r.GetAddr(), Id: r.GetId()}, "", "")
	if !valid {
		respond(&memberv1.ProbeViaReply{Result: memberv1.Result_SILENT}, nil)
		return
	}
	probe := &memberv1.ProbeRequest{Piggyback: &memberv1.Piggyback{}}
	s.Transport.Call(target.instance.Addr, probe, ProbeTimeout, func(reply proto.Message, err error) {
		result := &memberv1.ProbeViaReply{Result: memberv1.Result_SILENT}
		switch {
		case err == nil:
			result.Result = memberv1.Result_ANSWERED
			result.From = reply.(*memberv1.ProbeReply).GetFrom()
		case isRefused(err):
			result.Result = memberv1.Result_REFUSED
		}
		respond(result, nil)
	})
}
