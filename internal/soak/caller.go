package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/persimmoncart/persimmoncart/platform/standin"
)

// Kinds of requests, which are the first parts of their paths.
const (
	kindStream        = "cert" // a stream that may not resume
	kindResumable     = "long" // a stream that may resume
	kindIdempotent    = "look" // idempotent
	kindNonIdempotent = "pay"  // may not be repeated
)

const (
	// meanRequestInterval is the mean time between two requests of one caller.
	meanRequestInterval = 60 * time.Millisecond
	// disconnectShare is the share of requests whose caller leaves early.
	disconnectShare = 0.05
	// streamEvents is the number of events of a stream.
	streamEvents = 12
)

// weightedKinds are the weightedKinds of requests, as often as callers send them.
var weightedKinds = []string{kindNonIdempotent, kindNonIdempotent, kindNonIdempotent, kindIdempotent, kindIdempotent, kindStream, kindResumable}

// A caller sends requests to one instance and keeps its connection, also while
// the instance stops.
type caller struct {
	client   *http.Client
	instance int
	name     string
	process  *process
	random   *rand.Rand
	recorder *recorder
}

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(meanRequestInterval)))
		c.send(ctx, fmt.Sprintf("%s-%d", c.name, n), weightedKinds[c.random.IntN(len(weightedKinds))])
	}
	c.client.CloseIdleConnections()
}

// send sends one request and keeps its outcome.
func (c *caller) send(ctx context.Context, id, kind string) {
	left := 2 * time.Second
	if kind == kindStream || kind == kindResumable {
		left = 6 * time.Second
	}
	patience := left
	if c.random.Float64() < disconnectShare {
		patience = time.Duration(c.random.Int64N(int64(200 * time.Millisecond)))
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	body := "body of " + id
	o := &outcome{id: id, instance: c.instance, kind: kind, sent: time.Now(), wantBody: standin.ResponseBody(id, []byte(body))}
	stream := kind == kindStream || kind == kindResumable
	r := &standin.Request{
		Addr: c.process.Callers, Body: body, Generation: stream, ID: id, Path: fmt.Sprintf("/%s/%d", kind, c.instance), Timeout: left,
	}
	q, err := r.HTTP(ctx)
	if err != nil {
		panic(err) // the address is a valid one
	}
	if stream {
		var whole strings.Builder
		for n := range streamEvents {
			whole.WriteString(standin.Event(n + 1))
		}
		o.wantBody = whole.String()
	}
	response, err := c.client.Do(q)
	if err == nil {
		o.status = response.StatusCode
		if got := standin.RequestID(response.Header); got != "" && got != id {
			o.otherID = got
		}
		text, failed := io.ReadAll(response.Body)
		_ = response.Body.Close() // it has been read
		o.body, err = string(text), failed
	}
	o.incomplete = err != nil
	o.ended = time.Now()
	o.disconnected = ctx.Err() != nil
	c.recorder.add(o)
}
