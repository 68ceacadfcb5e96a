package cmd_test

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/cmd/persimmonload/internal/cmd"
	"github.com/persimmoncart/persimmoncart/internal/application"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// Guards against wrong settings that are accepted, and against faulty responses
// that end with exit code 0.
func TestRun(t *testing.T) {
	fake := application.NewFake(netip.AddrPort{}, &application.Records{}, &timer.System{})
	server := httptest.NewServer((&application.Handler{Application: fake, Fake: fake}).Handler())
	defer server.Close()
	address := server.Listener.Addr().String()
	sheet := filepath.Join(t.TempDir(), "sheet.csv")
	rows := "day,pool,model,from,to,rate,prefill,decode\n2026-12-04,p,m,06:00,07:00,10,1,1\n"
	assert.NilError(t, os.WriteFile(sheet, []byte(rows), 0o600))
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"faulty answers", []string{"run", "--addr=" + address, "--key=k", "--duration=50ms", "--rate=200"}, 1, "not every answer"},
		{"help", []string{"--help"}, 0, "demo"},
		{"no command", nil, 2, "command"},
		{"no key", []string{"run", "--addr=" + address}, 2, "key"},
		{"no sheet", []string{"run", "--addr=" + address, "--key=k", "--curve=sheet"}, 1, "read sheet"},
		{"sheet", []string{"run", "--addr=" + address, "--key=k", "--curve=sheet", "--sheet=" + sheet, "--duration=1ms"}, 1, "not every answer"},
		{"wrong address", []string{"run", "--addr=x", "--key=k"}, 2, "x"},
		{"wrong mix", []string{"run", "--addr=" + address, "--key=k", "--mix=x"}, 2, "x"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var output bytes.Buffer
			assert.Equal(t, cmd.Run(t.Context(), c.args, &output, &output), c.code, output.String())
			assert.Assert(t, strings.Contains(output.String(), c.want), output.String())
		})
	}
}

// Guards against JSON output of the demo that lacks a documented field.
func TestDemo(t *testing.T) {
	var output, log bytes.Buffer
	assert.Equal(t, cmd.Run(t.Context(), []string{"demo", "--json", "--duration=500ms"}, &output, &log), 0, output.String()+log.String())
	var report map[string]any
	assert.NilError(t, json.Unmarshal(output.Bytes(), &report))
	for _, field := range []string{"requests", "answered", "refused", "duplicates", "lost", "wrong"} {
		_, found := report[field].(float64)
		assert.Assert(t, found, "%s: %s", field, output.String())
	}
	assert.Equal(t, report["wrong"], 0.0)
}
