package crowd_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/platform/standin"
)

// streamSize is the length of the streams of startPlatform: of 2,000 events with 1,000 bytes
// of data, 13 others, and their number.
const streamSize = 2000*(1000+13) + 9 + 90*2 + 900*3 + 1001*4

// Guards against bounds that a single request within the limits meets on the smallest
// machine: the largest body, in one piece and in chunks, a large answer, a stream, and a
// head of as many fields as are legal. All of them use one connection.
func TestCalm(t *testing.T) {
	p := startProcess(t, buildProgram(t), startPlatform(t), smallest)
	transport := &http.Transport{MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	opened := 0
	transport.DialContext = dialCounting(&opened)
	body := bytes.Repeat([]byte("x"), maxBodyBytes)
	for n, c := range []struct {
		name, path string
		body       io.Reader
		fields     bool
		generation bool
		size       int // of the answer; zero for any
	}{
		{name: "short", path: "/look/1", body: bytes.NewReader(body[:10])},
		{name: "largest body", path: "/look/1", body: bytes.NewReader(body)},
		{name: "largest body in chunks", path: "/look/1", body: io.MultiReader(bytes.NewReader(body))},
		{name: "many fields", path: "/look/1", body: bytes.NewReader(body[:10]), fields: true},
		{name: "answer", path: "/file/1", body: http.NoBody, size: 250_000},
		{name: "large answer", path: "/large/1", body: http.NoBody, size: 2_000_000},
		{name: "stream", path: "/draft/1", body: bytes.NewReader(body[:10]), generation: true, size: streamSize},
	} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.Callers.String()+c.path, c.body)
		assert.NilError(t, err)
		request.Host = standin.Host
		request.Header.Set("X-Attempt-Id", fmt.Sprintf("calm-%d", n))
		request.Header.Set("X-Deadline-Ms", "14000")
		if c.generation {
			request.Header.Set("X-Token-Count", "100,100")
			request.Header.Set("X-Model", "m")
		}
		if c.fields {
			for field := range strings.SplitSeq(shortFields()[:14<<10], ":\r\n") {
				request.Header[field] = []string{""}
			}
		}
		response, err := client.Do(request)
		assert.NilError(t, err, c.name)
		size, err := io.Copy(io.Discard, response.Body)
		assert.NilError(t, err, c.name)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusOK, c.name)
		assert.Assert(t, c.size == 0 || size == int64(c.size), "%s: %d bytes", c.name, size)
	}
	assert.Equal(t, opened, 1, "connections")
	assert.Assert(t, p.peakMemory() <= smallestMemoryMB*1e6, "%d bytes", p.peakMemory())
}
