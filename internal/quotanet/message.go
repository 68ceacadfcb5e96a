package quotanet

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/quota"
)

// Kinds of messages.
const (
	kindAsk messageKind = iota + 1
	kindReply
	kindReturn
)

const (
	// maxDatagram is the largest datagram that is read, bytes. No message is
	// larger.
	maxDatagram = 256
	// maxUnits bounds the units in a message.
	maxUnits = math.MaxInt32
	// maxMillis bounds the times in a message, milliseconds.
	maxMillis = 60_000
)

// A messageKind tells the messages apart.
type messageKind uint8

// A message is one datagram, a CBOR array. Fields that a kind does not use are zero.
type message struct {
	_           struct{} `cbor:",toarray"`
	Kind        messageKind
	ID          uint64
	Account     uint64
	Units       uint64 // wanted, granted or given back
	Least       uint64
	Refused     uint64
	Incarnation uint64 // of the holder
	Left        uint64
	NextMillis  uint64
	RetryMillis uint64
	NotHolder   bool
}

// decoding bounds what a datagram may make the decoder do.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		IndefLength: cbor.IndefLengthForbidden, MaxArrayElements: 16, MaxMapPairs: 16, MaxNestedLevels: 4, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// errMessage reports a datagram that is no message.
var errMessage = errors.New("not a message of the quota protocol")

// decode decodes a datagram.
func decode(data []byte) (message, error) {
	var m message
	if len(data) > maxDatagram {
		return m, errMessage
	}
	if err := decoding.Unmarshal(data, &m); err != nil {
		return m, errors.Wrap(err, "decode message")
	}
	switch {
	case m.Kind < kindAsk || m.Kind > kindReturn,
		m.Units > maxUnits || m.Least > maxUnits || m.Refused > maxUnits || m.Left > maxUnits,
		m.NextMillis > maxMillis || m.RetryMillis > maxMillis:
		return m, errMessage
	}
	return m, nil
}

// encode encodes a message.
func encode(m *message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	return data, nil
}

// askMessage returns an Ask as a message.
func askMessage(q *quota.Ask) *message {
	return &message{
		Account: q.Account, ID: q.ID, Kind: kindAsk, Least: uint64(max(0, q.Least)), Refused: uint64(max(0, q.Refused)),
		Units: uint64(max(0, q.Want)),
	}
}

// ask returns the message as an Ask.
func (m *message) ask() quota.Ask {
	return quota.Ask{Account: m.Account, ID: m.ID, Least: int(m.Least), Refused: int(m.Refused), Want: int(m.Units)}
}

// replyMessage returns a Reply as a message.
func replyMessage(r *quota.Reply) *message {
	return &message{
		Account: r.Account, ID: r.ID, Kind: kindReply, Left: uint64(min(max(0, r.Left), maxUnits)), NextMillis: millis(r.Next), NotHolder: r.NotHolder,
		RetryMillis: millis(r.RetryAfter), Units: uint64(max(0, r.Granted)),
	}
}

// reply returns the message as a Reply.
func (m *message) reply() quota.Reply {
	return quota.Reply{
		Account: m.Account, Granted: int(m.Units), ID: m.ID, Left: int(m.Left), Next: time.Duration(m.NextMillis) * time.Millisecond,
		NotHolder: m.NotHolder, RetryAfter: time.Duration(m.RetryMillis) * time.Millisecond,
	}
}

// returnMessage returns a Return as a message.
func returnMessage(r *quota.Return) *message {
	return &message{Account: r.Account, ID: r.ID, Incarnation: uint64(r.Incarnation), Kind: kindReturn, Units: uint64(max(0, r.Units))}
}

// giveBack returns the message as a Return.
func (m *message) giveBack() quota.Return {
	return quota.Return{Account: m.Account, ID: m.ID, Incarnation: persimmoncart.Incarnation(m.Incarnation), Units: int(m.Units)}
}

// millis returns a duration as milliseconds, rounded up.
func millis(d time.Duration) uint64 {
	return uint64(min(max(0, (d+time.Millisecond-1)/time.Millisecond), maxMillis))
}
