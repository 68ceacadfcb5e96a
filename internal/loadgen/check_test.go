package loadgen

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/engine"
)

// Guards against a check that depends on how the text is cut into events, and
// against bytes from an instance that crash it.
func FuzzStream(f *testing.F) {
	a := engine.NewFakeAnswer("p")
	f.Add([]byte("data: {\"choices\":[{\"text\":\" x\"}]}\n\nevent: error\ndata: {}\n\n"), uint8(3))
	f.Fuzz(func(t *testing.T, body []byte, cut uint8) {
		s := &stream{verifier: textVerifier{want: a}, limit: 3, onText: func() {}}
		err := s.read(bytes.NewReader(body))
		assert.Assert(t, err != nil || s.verifier.tokens == 3)
		text := a.Token(0) + a.Token(1) + a.Token(2)
		n := int(cut) % len(text)
		var b strings.Builder
		for _, part := range []string{text[:n], text[n:]} {
			fmt.Fprintf(&b, "data: {\"choices\":[{\"text\":%q,\"finish_reason\":\"length\"}]}\n\n", part)
		}
		b.WriteString("data: [DONE]\n\n")
		s = &stream{verifier: textVerifier{want: a}, limit: 3, onText: func() {}}
		assert.NilError(t, s.read(strings.NewReader(b.String())))
	})
}
