package transport

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
)

// Get reads the JSON answer to a GET of url, of at most limit bytes, into
// answer. A call that the server refused returns its *Problem; all other errors
// mean that there is no usable answer.
func Get(ctx context.Context, client *http.Client, url string, limit int64, answer any) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	r, err := client.Do(q)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		p, err := ReadProblem(r)
		if err != nil {
			return err
		}
		return p
	}
	return ReadJSON(r.Body, limit, answer)
}
