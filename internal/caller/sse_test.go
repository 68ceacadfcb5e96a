package caller

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzAppendString guards against tokens that make the JSON of an event invalid, by
// comparison with the standard library's decoder.
func FuzzAppendString(f *testing.F) {
	for _, s := range []string{"", "plain", "\"\\\n\x00\x1f\x7f", "\xff\xc0a", "é\u2028😀", "data: x\n\n"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		var got string
		encoded := appendString(nil, s)
		assert.NilError(t, json.Unmarshal(encoded, &got))
		assert.Equal(t, got, strings.ToValidUTF8(strings.Map(func(r rune) rune { return r }, s), "\ufffd"))
		assert.Assert(t, !strings.Contains(string(encoded), "\n"))
	})
}
