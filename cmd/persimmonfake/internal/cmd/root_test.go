package cmd_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/cmd/persimmonfake/internal/cmd"
)

// A stopOnText is a buffer for a log that calls stop once the log contains text.
type stopOnText struct {
	bytes.Buffer
	stop context.CancelFunc
	text string
}

// Write implements io.Writer.
func (s *stopOnText) Write(b []byte) (int, error) {
	n, err := s.Buffer.Write(b)
	if strings.Contains(s.String(), s.text) {
		s.stop()
	}
	return n, err
}

// Guards against commands that do not start with their default settings or do not
// stop cleanly, and against wrong settings that are accepted.
func TestRun(t *testing.T) {
	const free = "--addr=127.0.0.1:0"
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"all", []string{"all", free}, 0, `"name":"store"`},
		{"application", []string{"application", free}, 0, `"name":"application"`},
		{"engine", []string{"engine", free, "--model=m"}, 0, `"name":"engine"`},
		{"engine without model", []string{"engine", free}, 2, "model"},
		{"list", []string{"list", free}, 0, `"name":"list"`},
		{"no command", nil, 2, "command"},
		{"store", []string{"store", free}, 0, `"name":"store"`},
		{"unknown deployment", []string{"all", free, "--deployment=x"}, 2, "x"},
		{"weights", []string{"weights", free, "--model=m:5"}, 0, `"name":"weights"`},
		{"wrong address", []string{"store", "--addr=x"}, 2, "x"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			log := &stopOnText{stop: cancel, text: `"message":"serving"`}
			assert.Equal(t, cmd.Run(ctx, c.args, &bytes.Buffer{}, log), c.code, log.String())
			assert.Assert(t, strings.Contains(log.String(), c.want), log.String())
		})
	}
	var help bytes.Buffer
	assert.Equal(t, cmd.Run(t.Context(), []string{"--help"}, &help, &help), 0)
	assert.Assert(t, strings.Contains(help.String(), "engine"))
}
