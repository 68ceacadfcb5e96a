package forward_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
)

// Guards against a failed response that clears a part, which an engine may give without
// beginning to respond to the prompt.
func TestCompletionClears(t *testing.T) {
	for _, c := range []struct {
		name     string
		response *persimmoncart.UpstreamResponse
		cleared  bool
	}{
		{name: "whole stream", response: streamed(events(1, 3), io.EOF), cleared: true},
		{name: "stream without events", response: streamed("", io.EOF)},
		{name: "server error", response: newResponse(http.StatusInternalServerError, "failed")},
		{name: "client error", response: newResponse(http.StatusBadRequest, "invalid")},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.parts = promptParts
				engine := &persimmoncart.Endpoint{ID: "d9"}
				for range 2 {
					engine.Incarnation++
					f.Router.Quarantine.RecordCrash(engine, promptParts)
				}
				f.Upstream.send = func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
					return c.response, nil
				}
				_, _, _ = f.serve(t.Context(), "/draft/")
				assert.Equal(t, len(f.Router.Quarantine.Reports("x")) == 0, c.cleared)
			})
		})
	}
}
