package persimmoncart_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
)

func ExampleStreamPosition() {
	var start persimmoncart.StreamPosition
	fmt.Printf("%t %t %q\n", start.Begun(), start.Includes(0), start)
	first := persimmoncart.AfterEvent(0)
	fmt.Printf("%t %t %t %q\n", first.Begun(), first.Includes(0), first.Includes(1), first)
	// Output:
	// false false ""
	// true true false "0"
}

// Guards against a position that another process reads as another one, above all the one
// after event 0 as the one before it.
func TestStreamPositionText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := persimmoncart.AfterEvent(rapid.Uint64().Draw(t, "id"))
		parsed, ok := persimmoncart.ParseStreamPosition(p.String())
		assert.Assert(t, ok)
		assert.Equal(t, parsed, p)
	})
	for _, text := range []string{"", "-1", "x", "1.5", "184467440737095516150"} {
		p, ok := persimmoncart.ParseStreamPosition(text)
		assert.Assert(t, !ok && !p.Begun(), text)
	}
}
