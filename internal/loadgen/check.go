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

// maxLineBytes bounds one line of a streamed answer.
const maxLineBytes = 64 << 10

// A InvalidResponseError reports an answer that is not whole or not right.
type InvalidResponseError struct {
	Reason string
}

// Error implements error.
func (e *InvalidResponseError) Error() string { return "wrong answer: " + e.Reason }

// A RefusedError reports an answer or an event with a refusal body.
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

// parseRefusal returns the refusal in b, or a *WrongError.
func parseRefusal(b []byte) error {
	var body struct {
		Error *RefusedError `json:"error"`
	}
	if err := json.Unmarshal(b, &body); err != nil || body.Error == nil || body.Error.Code == "" {
		return &InvalidResponseError{Reason: fmt.Sprintf("no refusal body: %.80q", b)}
	}
	return body.Error
}

// A textVerifier compares streamed text with the answer of fake engines.
type textVerifier struct {
	want    engine.FakeAnswer
	pending string // of the last token begun
	tokens  int    // begun
}

// verify checks the next piece of text.
func (c *textVerifier) verify(text string) error {
	for text != "" {
		if c.pending == "" {
			c.pending = c.want.Token(c.tokens)
			c.tokens++
		}
		n := min(len(text), len(c.pending))
		if !strings.HasPrefix(c.pending, text[:n]) {
			return &InvalidResponseError{Reason: fmt.Sprintf("token %d is %.20q, want %q", c.tokens-1, text, c.pending)}
		}
		text, c.pending = text[n:], c.pending[n:]
	}
	return nil
}

// verifyEnd checks that the answer has exactly limit tokens.
func (c *textVerifier) verifyEnd(maxTokens int) error {
	if c.pending != "" || c.tokens != maxTokens {
		return &InvalidResponseError{Reason: fmt.Sprintf("answer ends after %d tokens, want %d", c.tokens, maxTokens)}
	}
	return nil
}

// A chunk is one event of a streamed completion, or a whole completion.
type chunk struct {
	Choices []struct {
		Delta   message `json:"delta"` // of a streamed conversation
		Finish  *string `json:"finish_reason"`
		Message message `json:"message"` // of a whole conversation
		Text    string  `json:"text"`
	} `json:"choices"`
}

// parseChunk returns the text of a chunk and whether it gives a finish reason.
func parseChunk(data []byte) (text string, finished bool, err error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil || len(c.Choices) != 1 {
		return "", false, &InvalidResponseError{Reason: fmt.Sprintf("no chunk: %.80q", data)}
	}
	o := c.Choices[0]
	return o.Text + o.Delta.Content + o.Message.Content, o.Finish != nil, nil
}

// checkCompletion checks a completion without streaming.
func checkCompletion(check *textVerifier, limit int, data []byte) error {
	text, finished, err := parseChunk(data)
	if err != nil {
		return err
	}
	if !finished {
		return &InvalidResponseError{Reason: "no finish reason"}
	}
	if err := check.verify(text); err != nil {
		return err
	}
	return check.verifyEnd(limit)
}

// A stream reads and checks one streamed completion.
type stream struct {
	verifier textVerifier
	limit    int
	onText   func() // called for each event with text
	finished bool   // a finish reason was given
}

// read reads the whole stream. It returns nil after a whole and right answer, a
// *RefusedError for an error event, a *WrongError, or the reader's error.
func (s *stream) read(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	failed := false
	for scanner.Scan() {
		line := scanner.Bytes()
		if bytes.Equal(line, []byte("event: error")) {
			failed = true
			continue
		}
		data, found := bytes.CutPrefix(line, []byte("data: "))
		switch {
		case !found:
			continue // comments and empty lines
		case failed:
			return parseRefusal(data)
		case bytes.Equal(data, []byte("[DONE]")):
			if !s.finished {
				return &InvalidResponseError{Reason: "no finish reason"}
			}
			return s.verifier.verifyEnd(s.limit)
		}
		if err := s.handleEvent(data); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return errors.Wrap(io.ErrUnexpectedEOF, "stream without an end")
}

// handleEvent checks one handleEvent.
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

// A tokenTimes notes the times of the tokens of one answer.
type tokenTimes struct {
	first time.Time
	gaps  []time.Duration
	last  time.Time
}

// record notes an event at now.
func (p *tokenTimes) record(now time.Time) {
	if p.first.IsZero() {
		p.first = now
	} else {
		p.gaps = append(p.gaps, now.Sub(p.last))
	}
	p.last = now
}

// meanGap returns the meanGap time between tokens; zero if there is at most one.
func (p *tokenTimes) meanGap() time.Duration {
	if len(p.gaps) == 0 {
		return 0
	}
	return p.last.Sub(p.first) / time.Duration(len(p.gaps))
}
