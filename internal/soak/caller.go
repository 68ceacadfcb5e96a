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

// Kinds of requests. Each value is the first segment of the request path and the
// name of a route.
const (
	kindIdempotent    = "look" // may be repeated
	kindNonIdempotent = "pay"  // runs at most once
	kindResumable     = "long" // stream that may be resumed
	kindStream        = "cert" // stream that may not be resumed
)

const (
	// meanRequestInterval is the mean pause of a caller between two requests.
	meanRequestInterval = 60 * time.Millisecond
	// disconnectShare is the share of requests whose caller disconnects early.
	disconnectShare = 0.05
	// partCrashShare is the share of streams whose prompt has crashPart, and
	// requestCrashShare that of idempotent requests with crashBody, while crashes are open.
	partCrashShare    = 0.1
	requestCrashShare = 0.05
	// sharedPart is a part of the prompts of all streams.
	sharedPart = "a100"
	// streamEvents is the number of events in each stream.
	streamEvents = 12
)

// weightedKinds lists each kind of request as often as its share of the load
// requires.
var weightedKinds = []string{kindNonIdempotent, kindNonIdempotent, kindNonIdempotent, kindIdempotent, kindIdempotent, kindStream, kindResumable}

// A caller sends requests to one instance, one at a time, and keeps its connection
// to it, also while the instance stops.
type caller struct {
	client         *http.Client
	instance       int
	name           string
	partCrashes    *crashLog
	process        *process
	random         *rand.Rand
	recorder       *recorder
	requestCrashes *crashLog
	sentEndless    func(id string) bool // reports whether a replica has sent an endless body to a request
}

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(meanRequestInterval)))
		c.send(ctx, fmt.Sprintf("%s-%d", c.name, n), weightedKinds[c.random.IntN(len(weightedKinds))])
	}
	c.client.CloseIdleConnections()
}

// send sends one request and records its outcome. Some requests, as given by
// disconnectShare, are cancelled within 200 ms.
func (c *caller) send(ctx context.Context, id, kind string) {
	timeout := 2 * time.Second
	if kind == kindStream || kind == kindResumable {
		timeout = 6 * time.Second
	}
	callerTimeout := timeout
	if c.random.Float64() < disconnectShare {
		callerTimeout = time.Duration(c.random.Int64N(int64(200 * time.Millisecond)))
	}
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	body := "body of " + id
	o := &outcome{id: id, instance: c.instance, kind: kind, sent: time.Now(), wantBody: standin.ResponseBody(id, []byte(body))}
	stream := kind == kindStream || kind == kindResumable
	request := &standin.Request{
		Addr: c.process.Callers, Body: body, Generation: stream, ID: id, Path: fmt.Sprintf("/%s/%d", kind, c.instance), Timeout: timeout,
	}
	if kind == kindIdempotent && c.random.Float64() < requestCrashShare && c.requestCrashes.begin() {
		defer c.requestCrashes.end()
		o.crashes, request.Body, request.Path = true, crashBody, crashPath
	}
	if stream {
		request.Parts = sharedPart + ":900,"
		if o.crashes = c.random.Float64() < partCrashShare && c.partCrashes.begin(); o.crashes {
			defer c.partCrashes.end()
			request.Parts += crashPart + ":700,"
		}
		request.Parts += fmt.Sprintf("%x:200", c.random.Uint32())
		var events strings.Builder
		for n := range streamEvents {
			events.WriteString(standin.Event(n + 1))
		}
		o.wantBody = events.String()
	}
	httpRequest, err := request.HTTP(ctx)
	if err != nil {
		panic(err) // the address is valid
	}
	response, err := c.client.Do(httpRequest)
	if err == nil {
		o.status = response.StatusCode
		if got := standin.RequestID(response.Header); got != "" && got != id {
			o.otherID = got
		}
		text, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close() // the body has been read
		o.body, err = string(text), readErr
	}
	if !stream && !strings.HasPrefix(o.wantBody, o.body) && c.sentEndless(id) {
		// The replica's response has no end, so that a complete one is still a violation.
		o.wantBody = standin.EndlessBody(len(o.body) + 1)
	}
	o.incomplete = err != nil
	o.ended = time.Now()
	o.disconnected = ctx.Err() != nil
	c.recorder.add(o)
}
