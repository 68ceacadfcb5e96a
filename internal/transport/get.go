package transport

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
)

// Get sends a GET request for url and decodes the JSON response, of at most limit
// bytes, into value. It returns a *Problem if the server refused the request. Any
// other error means that there is no valid response.
func Get(ctx context.Context, client *http.Client, url string, limit int64, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		problem, err := ReadProblem(response)
		if err != nil {
			return err
		}
		return problem
	}
	return ReadJSON(response.Body, limit, value)
}
