package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"unicode/utf8"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// Fragments of the line of one token:
//
//	data: {"attempt":"r/1","index":7,"text":" word","last":true}
const (
	attemptPrefix = `data: {"attempt":`
	dataPrefix    = "data: "
	indexKey      = `,"index":`
	lastField     = `,"last":true`
	textKey       = `,"text":`
)

// maxLineBytes is the length of the longest accepted line of an event stream.
const maxLineBytes = 4 << 10

// A TokenIndexError reports a token whose index does not follow that of the token
// before.
type TokenIndexError struct {
	Attempt persimmoncart.AttemptID
	Got     int
	Want    int
}

// Error implements error.
func (e *TokenIndexError) Error() string {
	return fmt.Sprintf("attempt %s: got token index %d, want %d", e.Attempt, e.Got, e.Want)
}

// appendToken appends the event of one token to b.
func appendToken(b []byte, t persimmoncart.Token) []byte {
	b = append(b, attemptPrefix...)
	b = appendString(b, t.Attempt.String())
	b = append(b, indexKey...)
	b = strconv.AppendInt(b, int64(t.Index), 10)
	b = append(b, textKey...)
	b = appendString(b, t.Text)
	if t.Last {
		b = append(b, lastField...)
	}
	return append(b, "}\n\n"...)
}

// appendString appends s as a JSON string to b.
func appendString(b []byte, s string) []byte {
	if !needsNoEscaping(s) {
		quoted, err := json.Marshal(s)
		if err != nil {
			quoted = []byte(`""`) // unreachable: every string can be encoded
		}
		return append(b, quoted...)
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// needsNoEscaping reports whether s consists of ASCII characters that a JSON
// string need not escape.
func needsNoEscaping(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= utf8.RuneSelf || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

// A tokenParser parses the tokens of one attempt.
type tokenParser struct {
	attempt   persimmoncart.AttemptID
	nextIndex int    // expected index of the next token
	prefix    []byte // start of each line that appendToken writes for the attempt
}

// newTokenParser returns a parser that expects the tokens of attempt from index
// start.
func newTokenParser(attempt persimmoncart.AttemptID, start int) *tokenParser {
	prefix := appendString([]byte(attemptPrefix), attempt.String())
	return &tokenParser{attempt: attempt, nextIndex: start, prefix: append(prefix, indexKey...)}
}

// parse parses one line. It returns a *transport.ProtocolError, a
// *persimmoncart.AttemptMismatchError or a *TokenIndexError if the line is not the
// next token of the attempt.
func (p *tokenParser) parse(line []byte) (persimmoncart.Token, error) {
	t, ok := p.parseFast(line)
	if !ok {
		data, found := bytes.CutPrefix(line, []byte(dataPrefix))
		if !found {
			return persimmoncart.Token{}, transport.NewProtocolError("no data line", line)
		}
		var w wireToken
		if err := json.Unmarshal(data, &w); err != nil {
			return persimmoncart.Token{}, transport.NewProtocolError(err.Error(), line)
		}
		t = persimmoncart.Token{Attempt: w.Attempt, Index: w.Index, Last: w.Last, Text: w.Text}
	}
	if t.Attempt != p.attempt {
		return persimmoncart.Token{}, &persimmoncart.AttemptMismatchError{Got: t.Attempt, Want: p.attempt}
	}
	if t.Index != p.nextIndex {
		return persimmoncart.Token{}, &TokenIndexError{Attempt: t.Attempt, Got: t.Index, Want: p.nextIndex}
	}
	p.nextIndex++
	return t, nil
}

// parseFast parses the exact form that appendToken writes without encoding/json,
// which would cost too much at the 10,250 tokens a second of a node. It returns
// false for any other form.
func (p *tokenParser) parseFast(line []byte) (persimmoncart.Token, bool) {
	rest, ok := bytes.CutPrefix(line, p.prefix)
	if !ok {
		return persimmoncart.Token{}, false
	}
	index, digits := 0, 0
	for digits < len(rest) && digits < 9 && rest[digits] >= '0' && rest[digits] <= '9' {
		index = index*10 + int(rest[digits]-'0')
		digits++
	}
	if digits == 0 || (digits > 1 && rest[0] == '0') {
		return persimmoncart.Token{}, false
	}
	if rest, ok = bytes.CutPrefix(rest[digits:], []byte(textKey+`"`)); !ok {
		return persimmoncart.Token{}, false
	}
	end := 0
	for end < len(rest) && rest[end] != '"' {
		if c := rest[end]; c < ' ' || c >= utf8.RuneSelf || c == '\\' {
			return persimmoncart.Token{}, false
		}
		end++
	}
	if end == len(rest) {
		return persimmoncart.Token{}, false
	}
	t := persimmoncart.Token{Attempt: p.attempt, Index: index, Text: string(rest[:end])}
	switch string(rest[end+1:]) {
	case "}":
		return t, true
	case lastField + "}":
		t.Last = true
		return t, true
	default:
		return persimmoncart.Token{}, false
	}
}
