package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
)

// Guards against a fast parser that reads a line differently from encoding/json.
func FuzzTokenParser(f *testing.F) {
	attempt := persimmoncart.AttemptID{Request: "r", Number: 1}
	for _, t := range []persimmoncart.Token{
		{Attempt: attempt, Text: " word"},
		{Attempt: attempt, Last: true, Text: "\"\\\n\x00é\u2028"},
		{Attempt: persimmoncart.AttemptID{Request: "r"}, Index: 3},
	} {
		f.Add(bytes.TrimRight(appendToken(nil, t), "\n"))
	}
	f.Add([]byte(`data: {"attempt":"r/1","index":00,"text":""}`))
	f.Add([]byte(`data: {"attempt":"r/1","index":0,"text":"a","last":true} `))
	f.Fuzz(func(t *testing.T, line []byte) {
		p := newTokenParser(attempt, 0)
		fast, ok := p.parseFast(line)
		if ok {
			var w wireToken
			assert.NilError(t, json.Unmarshal(line[len(dataPart):], &w))
			assert.Equal(t, fast, persimmoncart.Token{Attempt: w.Attempt, Index: w.Index, Last: w.Last, Text: w.Text})
		}
		token, err := p.parse(line)
		if err == nil {
			again, err := newTokenParser(attempt, 0).parse(bytes.TrimRight(appendToken(nil, token), "\n"))
			assert.NilError(t, err)
			assert.Equal(t, again, token)
		}
		_, _ = parseCacheEvent(line)
	})
}

// Guards against a reader that loops, panics or takes a cut stream for a whole one.
func FuzzTokenStream(f *testing.F) {
	attempt := persimmoncart.AttemptID{Request: "r", Number: 1}
	b := appendToken(nil, persimmoncart.Token{Attempt: attempt, Text: "a"})
	b = appendToken(b, persimmoncart.Token{Attempt: attempt, Index: 1, Last: true, Text: "b"})
	f.Add(b)
	f.Add(b[:len(b)-4])
	f.Fuzz(func(t *testing.T, body []byte) {
		s := &clientTokens{
			lines:  newLines(io.NopCloser(bytes.NewReader(body)), func() {}),
			parser: newTokenParser(attempt, 0),
		}
		last := false
		for n := 0; ; n++ {
			token, err := s.Next(context.Background())
			if err != nil {
				assert.Equal(t, errors.Is(err, io.EOF), last, "%v", err)
				return
			}
			assert.Equal(t, token.Index, n)
			last = token.Last
		}
	})
}

// Measures the cost of one token in the client without the network.
func BenchmarkNext(b *testing.B) {
	attempt := persimmoncart.AttemptID{Request: "e1-4711", Number: 1}
	reader, writer := io.Pipe()
	go func() {
		var buffer []byte
		for i := 0; ; i++ {
			buffer = appendToken(buffer, persimmoncart.Token{Attempt: attempt, Index: i, Text: " word"})
			if len(buffer) > 2000 {
				if _, err := writer.Write(buffer); err != nil {
					return
				}
				buffer = buffer[:0]
			}
		}
	}()
	s := &clientTokens{lines: newLines(reader, func() {}), parser: newTokenParser(attempt, 0)}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Next(ctx); err != nil {
			b.Fatal(err)
		}
	}
	_ = s.Close()
}
