package overhead

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against measures that count a broken stream as a complete response.
func TestReadEvents(t *testing.T) {
	tests := []struct {
		name, body string
		tokens     int
		ok         bool
	}{
		{"whole", "data: {\"a\"}\n\ndata: {\"b\"}\n\ndata: [DONE]\n\n", 2, true},
		{"error event", "data: {\"a\"}\n\nevent: error\ndata: {}\n\n", 1, false},
		{"cut", "data: {\"a\"}\n\n", 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tokens := 0
			err := readEvents(strings.NewReader(test.body), func() { tokens++ })
			assert.Equal(t, err == nil, test.ok)
			assert.Equal(t, tokens, test.tokens)
		})
	}
}

// Guards against rates that are averaged over rounds without regard to their duration.
func TestSampleAdd(t *testing.T) {
	s := sample{duration: time.Second, tokens: 100, processorTime: 500 * time.Millisecond}
	s.firstToken.record(time.Millisecond)
	other := sample{failed: 1, duration: 3 * time.Second, tokens: 700, processorTime: 500 * time.Millisecond}
	other.firstToken.record(3 * time.Millisecond)
	s.add(other)
	assert.Equal(t, s.cores(), 0.25)
	assert.Equal(t, s.tokenRate(), 200.0)
	assert.Equal(t, s.requestRate(), 0.5)
	assert.Equal(t, s.failed, 1)
}
