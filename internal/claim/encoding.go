package claim

import (
	"net/http"
	"time"

	"github.com/persimmoncart/persimmoncart"
	claimv1 "github.com/persimmoncart/persimmoncart/proto/claim/v1"
)

// maxAnswerBytes is the largest answer body that a record keeps. Larger bodies
// would let few records fill an object of the store.
const maxAnswerBytes = 2048

// EncodeAnswer returns the stored form of an answer, nil for answers that are
// too large to keep.
func EncodeAnswer(answer *persimmoncart.CallResponse) *claimv1.Answer {
	if answer == nil || len(answer.Body) > maxAnswerBytes {
		return nil
	}
	return &claimv1.Answer{
		Body:   answer.Body,
		Status: int32(answer.Status), //nolint:gosec // HTTP status codes have three digits.
		Type:   answer.Header.Get("Content-Type"),
	}
}

// DecodeAnswer returns the answer that a record keeps.
func DecodeAnswer(answer *claimv1.Answer) *persimmoncart.CallResponse {
	if answer == nil {
		return nil
	}
	header := http.Header{}
	if answer.GetType() != "" {
		header.Set("Content-Type", answer.GetType())
	}
	return &persimmoncart.CallResponse{Body: answer.GetBody(), Header: header, Status: int(answer.GetStatus())}
}

// EncodeNonce returns the wire form of a nonce.
func EncodeNonce(nonce persimmoncart.Nonce) *claimv1.Nonce {
	return &claimv1.Nonce{
		Incarnation: uint64(nonce.Tag.Incarnation),
		Instance:    string(nonce.Tag.Instance),
		Sequence:    nonce.Sequence,
	}
}

// DecodeNonce returns the nonce in its wire form.
func DecodeNonce(nonce *claimv1.Nonce) persimmoncart.Nonce {
	return persimmoncart.Nonce{
		Sequence: nonce.GetSequence(),
		Tag: persimmoncart.Tag{
			Incarnation: persimmoncart.Incarnation(nonce.GetIncarnation()),
			Instance:    persimmoncart.InstanceID(nonce.GetInstance()),
		},
	}
}

// EncodeState returns the wire form of a state.
func EncodeState(state persimmoncart.ClaimState) claimv1.State {
	switch state {
	case persimmoncart.ClaimAnswered:
		return claimv1.State_ANSWERED
	case persimmoncart.ClaimClaimed:
		return claimv1.State_CLAIMED
	case persimmoncart.ClaimNotRun:
		return claimv1.State_NOT_RUN
	case persimmoncart.ClaimUnknown:
		return claimv1.State_UNKNOWN
	default:
		return claimv1.State_STATE_UNSPECIFIED
	}
}

// DecodeState returns the state in its wire form. A state of a later version is
// unknown, which never allows another dispatch.
func DecodeState(state claimv1.State) persimmoncart.ClaimState {
	switch state {
	case claimv1.State_ANSWERED:
		return persimmoncart.ClaimAnswered
	case claimv1.State_CLAIMED:
		return persimmoncart.ClaimClaimed
	case claimv1.State_NOT_RUN:
		return persimmoncart.ClaimNotRun
	default:
		return persimmoncart.ClaimUnknown
	}
}

// DecodeRecord returns the record in its wire form.
func DecodeRecord(r *claimv1.Record) persimmoncart.ClaimRecord {
	return persimmoncart.ClaimRecord{
		Answer: DecodeAnswer(r.GetAnswer()),
		Time:   time.Unix(r.GetAt(), 0).UTC(),
		Fence:  r.GetFence(),
		Nonce:  DecodeNonce(r.GetNonce()),
		State:  DecodeState(r.GetState()),
	}
}

// EncodeRecord returns the wire form of a record.
func EncodeRecord(key persimmoncart.ClaimKey, r persimmoncart.ClaimRecord) *claimv1.Record {
	return &claimv1.Record{
		Answer: EncodeAnswer(r.Answer),
		At:     r.Time.Unix(),
		Fence:  r.Fence,
		Key:    key[:],
		Nonce:  EncodeNonce(r.Nonce),
		State:  EncodeState(r.State),
	}
}
