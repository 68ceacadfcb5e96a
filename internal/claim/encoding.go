package claim

import (
	"net/http"
	"time"

	"github.com/persimmoncart/persimmoncart"
	claimv1 "github.com/persimmoncart/persimmoncart/proto/claim/v1"
)

// maxResponseBytes is the largest response body that a record keeps. With larger
// bodies a few records would fill an object of the store.
const maxResponseBytes = 2048

// EncodeResponse returns the stored form of a response, or nil if its body is too
// large to keep.
func EncodeResponse(response *persimmoncart.CallResponse) *claimv1.Answer {
	if response == nil || len(response.Body) > maxResponseBytes {
		return nil
	}
	return &claimv1.Answer{
		Body:   response.Body,
		Status: int32(response.Status), //nolint:gosec // HTTP status codes have three digits.
		Type:   response.Header.Get("Content-Type"),
	}
}

// DecodeResponse returns the response from its stored form.
func DecodeResponse(response *claimv1.Answer) *persimmoncart.CallResponse {
	if response == nil {
		return nil
	}
	header := http.Header{}
	if response.GetType() != "" {
		header.Set("Content-Type", response.GetType())
	}
	return &persimmoncart.CallResponse{Body: response.GetBody(), Header: header, Status: int(response.GetStatus())}
}

// EncodeNonce returns the protobuf form of a nonce.
func EncodeNonce(nonce persimmoncart.Nonce) *claimv1.Nonce {
	return &claimv1.Nonce{
		Incarnation: uint64(nonce.Tag.Incarnation),
		Instance:    string(nonce.Tag.Instance),
		Sequence:    nonce.Sequence,
	}
}

// DecodeNonce returns the nonce from its protobuf form.
func DecodeNonce(nonce *claimv1.Nonce) persimmoncart.Nonce {
	return persimmoncart.Nonce{
		Sequence: nonce.GetSequence(),
		Tag: persimmoncart.Tag{
			Incarnation: persimmoncart.Incarnation(nonce.GetIncarnation()),
			Instance:    persimmoncart.InstanceID(nonce.GetInstance()),
		},
	}
}

// EncodeState returns the protobuf form of a state.
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

// DecodeState returns the state from its protobuf form. A state that a later
// version of the program defines becomes ClaimUnknown, which never allows another
// dispatch.
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

// DecodeRecord returns the record from its protobuf form.
func DecodeRecord(r *claimv1.Record) persimmoncart.ClaimRecord {
	return persimmoncart.ClaimRecord{
		Response: DecodeResponse(r.GetAnswer()),
		Time:     time.Unix(r.GetAt(), 0).UTC(),
		Fence:    r.GetFence(),
		Nonce:    DecodeNonce(r.GetNonce()),
		State:    DecodeState(r.GetState()),
	}
}

// EncodeRecord returns the protobuf form of a record.
func EncodeRecord(key persimmoncart.ClaimKey, r persimmoncart.ClaimRecord) *claimv1.Record {
	return &claimv1.Record{
		Answer: EncodeResponse(r.Response),
		At:     r.Time.Unix(),
		Fence:  r.Fence,
		Key:    key[:],
		Nonce:  EncodeNonce(r.Nonce),
		State:  EncodeState(r.State),
	}
}
