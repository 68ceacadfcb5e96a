package loadgen

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart/internal/engine"
)

// maxLineBytes is the longest line of a streamed response.
const maxLineBytes = 64 << 10

// An InvalidResponseError reports a response that is incomplete or has the
// wrong content.
type InvalidResponseError struct {
	Reason string
}

// Error implements error.
func (e *InvalidResponseError) Error() string { return "invalid response: " + e.Reason }

// A RefusedError is the body of a refusal, from an error response or from an
// error event of a stream.
type RefusedError struct {
	Code       string `json:"code"`
	Message    string `json:"message"`
	Outcome    string `json:"outcome"`
	RetryAfter string `json:"retry"`
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with %q (%s): %s", e.Code, e.Outcome, e.Message)
}

// parseRefusal returns the *RefusedError in b, or an *InvalidResponseError.
func parseRefusal(b []byte) error {
	var body struct {
		Error *RefusedError `json:"error"`
	}
	if err := json.Unmarshal(b, &body); err != nil || body.Error == nil || body.Error.Code == "" {
		return &InvalidResponseError{Reason: fmt.Sprintf("no refusal in the response body: %.80q", b)}
	}
	return body.Error
}

// A textVerifier compares streamed text with the output of the fake engines.
type textVerifier struct {
	pending string // rest of the token that is partly received
	tokens  int    // received at least in part
	want    engine.FakeOutput
}

// verify compares the next piece of text. It returns an *InvalidResponseError
// if the text differs.
func (v *textVerifier) verify(text string) error {
	for text != "" {
		if v.pending == "" {
			v.pending = v.want.Token(v.tokens)
			v.tokens++
		}
		n := min(len(text), len(v.pending))
		if !strings.HasPrefix(v.pending, text[:n]) {
			return &InvalidResponseError{Reason: fmt.Sprintf("token %d is %.20q, want %q", v.tokens-1, text, v.pending)}
		}
		text, v.pending = text[n:], v.pending[n:]
	}
	return nil
}

// verifyEnd returns an *InvalidResponseError unless the text had exactly
// maxTokens tokens.
func (v *textVerifier) verifyEnd(maxTokens int) error {
	if v.pending != "" || v.tokens != maxTokens {
		return &InvalidResponseError{Reason: fmt.Sprintf("response ends after %d tokens, want %d", v.tokens, maxTokens)}
	}
	return nil
}

// A chunk is one event of a streamed completion, or a completion in one
// response.
type chunk struct {
	Choices []struct {
		Delta   message `json:"delta"` // of a streamed chat completion
		Finish  *string `json:"finish_reason"`
		Message message `json:"message"` // of a chat completion without streaming
		Text    string  `json:"text"`
	} `json:"choices"`
}

// parseChunk returns the text of a chunk and whether it has a finish reason.
// It returns an *InvalidResponseError if data is not a chunk.
func parseChunk(data []byte) (text string, finished bool, err error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil || len(c.Choices) != 1 {
		return "", false, &InvalidResponseError{Reason: fmt.Sprintf("not a completion or chunk: %.80q", data)}
	}
	choice := c.Choices[0]
	return choice.Text + choice.Delta.Content + choice.Message.Content, choice.Finish != nil, nil
}

// checkCompletion checks a completion without streaming.
func checkCompletion(verifier *textVerifier, maxTokens int, data []byte) error {
	text, finished, err := parseChunk(data)
	if err != nil {
		return err
	}
	if !finished {
		return &InvalidResponseError{Reason: "response has no finish reason"}
	}
	if err := verifier.verify(text); err != nil {
		return err
	}
	return verifier.verifyEnd(maxTokens)
}

// A stream reads and checks one streamed completion.
type stream struct {
	finished  bool // a finish reason was received
	maxTokens int
	onText    func() // called for each event that has text
	verifier  textVerifier
}

// read reads the stream to its end. It returns nil after a complete and
// correct output, a *RefusedError for an error event, an
// *InvalidResponseError, or the reader's error.
func (s *stream) read(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	errorEvent := false
	for scanner.Scan() {
		line := scanner.Bytes()
		if bytes.Equal(line, []byte("event: error")) {
			errorEvent = true
			continue
		}
		data, found := bytes.CutPrefix(line, []byte("data: "))
		switch {
		case !found:
			continue // comments and empty lines
		case errorEvent:
			return parseRefusal(data)
		case bytes.Equal(data, []byte("[DONE]")):
			if !s.finished {
				return &InvalidResponseError{Reason: "response has no finish reason"}
			}
			return s.verifier.verifyEnd(s.maxTokens)
		}
		if err := s.handleEvent(data); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return errors.Wrap(io.ErrUnexpectedEOF, "stream ended before [DONE]")
}

// handleEvent checks one event.
func (s *stream) handleEvent(data []byte) error {
	text, finished, err := parseChunk(data)
	if err != nil {
		return err
	}
	if text != "" {
		s.onText()
	}
	s.finished = s.finished || finished
	return s.verifier.verify(text)
}

// A tokenTimes records the times of the tokens of one response.
type tokenTimes struct {
	first time.Time
	gaps  []time.Duration
	last  time.Time
}

// record records a token at now.
func (t *tokenTimes) record(now time.Time) {
	if t.first.IsZero() {
		t.first = now
	} else {
		t.gaps = append(t.gaps, now.Sub(t.last))
	}
	t.last = now
}

// meanGap returns the mean time between tokens, or zero if there is at most
// one token.
func (t *tokenTimes) meanGap() time.Duration {
	if len(t.gaps) == 0 {
		return 0
	}
	return t.last.Sub(t.first) / time.Duration(len(t.gaps))
}
