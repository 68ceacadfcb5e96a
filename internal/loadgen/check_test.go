package loadgen

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/engine"
)

// Guards against checks that depend on how the text is split into events, and
// against response bytes that make the parser panic.
func FuzzStream(f *testing.F) {
	want := engine.NewFakeOutput("p")
	f.Add([]byte("data: {\"choices\":[{\"text\":\" x\"}]}\n\nevent: error\ndata: {}\n\n"), uint8(3))
	f.Fuzz(func(t *testing.T, body []byte, split uint8) {
		s := &stream{verifier: textVerifier{want: want}, maxTokens: 3, onText: func() {}}
		err := s.read(bytes.NewReader(body))
		assert.Assert(t, err != nil || s.verifier.tokens == 3)
		text := want.Token(0) + want.Token(1) + want.Token(2)
		n := int(split) % len(text)
		var b strings.Builder
		for _, piece := range []string{text[:n], text[n:]} {
			fmt.Fprintf(&b, "data: {\"choices\":[{\"text\":%q,\"finish_reason\":\"length\"}]}\n\n", piece)
		}
		b.WriteString("data: [DONE]\n\n")
		s = &stream{verifier: textVerifier{want: want}, maxTokens: 3, onText: func() {}}
		assert.NilError(t, s.read(strings.NewReader(b.String())))
	})
}
