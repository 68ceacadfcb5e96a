package quotanet

import "net/netip"

// MaxDatagram is the largest datagram that is read.
const MaxDatagram = maxDatagram

// Decode decodes a datagram and reports whether it is a message.
func Decode(data []byte) bool {
	_, err := decode(data)
	return err == nil
}

// Handle handles a datagram.
func (s *Service) Handle(from netip.AddrPort, data []byte) { s.handle(from, data) }

// AskDatagram returns the datagram of an ask.
func AskDatagram(account, id, least, want uint64) []byte {
	return mustEncode(&message{Account: account, ID: id, Kind: kindAsk, Least: least, Units: want})
}

// ReplyDatagram returns the datagram of a reply.
func ReplyDatagram(account, id, granted uint64) []byte {
	return mustEncode(&message{Account: account, ID: id, Kind: kindReply, Units: granted})
}

// ReturnDatagram returns the datagram of a return.
func ReturnDatagram(account, id, incarnation, units uint64) []byte {
	return mustEncode(&message{Account: account, ID: id, Incarnation: incarnation, Kind: kindReturn, Units: units})
}

// mustEncode encodes a message.
func mustEncode(m *message) []byte {
	data, err := encode(m)
	if err != nil {
		panic(err)
	}
	return data
}

// Largest is the length of the largest message.
var Largest = len(mustEncode(&message{
	Account: 1<<64 - 1, ID: 1<<64 - 1, Incarnation: 1<<64 - 1, Kind: kindReply, Least: maxUnits, Left: maxUnits, NextMillis: maxMillis,
	Refused: maxUnits, RetryMillis: maxMillis, Units: maxUnits,
}))
