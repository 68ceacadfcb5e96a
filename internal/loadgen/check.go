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

// A WrongError reports an answer that is not whole or not right.
type WrongError struct {
	Reason string
}

// Error implements error.
func (e *WrongError) Error() string { return "wrong answer: " + e.Reason }

// A RefusedError reports an answer or an event with a refusal body.
type RefusedError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	Retry   string `json:"retry"`
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
		return &WrongError{Reason: fmt.Sprintf("no refusal body: %.80q", b)}
	}
	return body.Error
}

// A textCheck compares streamed text with the answer of fake engines.
type textCheck struct {
	answer engine.FakeOutput
	rest   string // of the last token begun
	tokens int    // begun
}

// feed checks the next piece of text.
func (c *textCheck) feed(text string) error {
	for text != "" {
		if c.rest == "" {
			c.rest = c.answer.Token(c.tokens)
			c.tokens++
		}
		n := min(len(text), len(c.rest))
		if !strings.HasPrefix(c.rest, text[:n]) {
			return &WrongError{Reason: fmt.Sprintf("token %d is %.20q, want %q", c.tokens-1, text, c.rest)}
		}
		text, c.rest = text[n:], c.rest[n:]
	}
	return nil
}

// end checks that the answer has exactly limit tokens.
func (c *textCheck) end(limit int) error {
	if c.rest != "" || c.tokens != limit {
		return &WrongError{Reason: fmt.Sprintf("answer ends after %d tokens, want %d", c.tokens, limit)}
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
		return "", false, &WrongError{Reason: fmt.Sprintf("no chunk: %.80q", data)}
	}
	o := c.Choices[0]
	return o.Text + o.Delta.Content + o.Message.Content, o.Finish != nil, nil
}

// checkWhole checks a completion without streaming.
func checkWhole(check *textCheck, limit int, data []byte) error {
	text, finished, err := parseChunk(data)
	if err != nil {
		return err
	}
	if !finished {
		return &WrongError{Reason: "no finish reason"}
	}
	if err := check.feed(text); err != nil {
		return err
	}
	return check.end(limit)
}

// A stream reads and checks one streamed completion.
type stream struct {
	check  textCheck
	limit  int
	onText func() // called for each event with text
	reason bool   // a finish reason was given
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
			if !s.reason {
				return &WrongError{Reason: "no finish reason"}
			}
			return s.check.end(s.limit)
		}
		if err := s.event(data); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return errors.Wrap(io.ErrUnexpectedEOF, "stream without an end")
}

// event checks one event.
func (s *stream) event(data []byte) error {
	text, finished, err := parseChunk(data)
	if err != nil {
		return err
	}
	if text != "" {
		s.onText()
	}
	s.reason = s.reason || finished
	return s.check.feed(text)
}

// A pace notes the times of the tokens of one answer.
type pace struct {
	first time.Time
	gaps  []time.Duration
	last  time.Time
}

// note notes an event at now.
func (p *pace) note(now time.Time) {
	if p.first.IsZero() {
		p.first = now
	} else {
		p.gaps = append(p.gaps, now.Sub(p.last))
	}
	p.last = now
}

// mean returns the mean time between tokens; zero if there is at most one.
func (p *pace) mean() time.Duration {
	if len(p.gaps) == 0 {
		return 0
	}
	return p.last.Sub(p.first) / time.Duration(len(p.gaps))
}
