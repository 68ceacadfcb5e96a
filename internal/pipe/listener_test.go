package pipe_test

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/persimmoncart/persimmoncart/internal/pipe"
)

func ExampleListener() {
	l := pipe.NewListener()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "answer")
	})}
	go server.Serve(l)
	client := &http.Client{Transport: &http.Transport{DialContext: l.Dial, DisableKeepAlives: true}}
	response, _ := client.Get("http://server/")
	body, _ := io.ReadAll(response.Body)
	response.Body.Close()
	fmt.Println(string(body))
	server.Shutdown(context.Background())
	_, err := l.Dial(context.Background(), "", "")
	fmt.Println(err)
	// Output:
	// answer
	// connection refused
}
