package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

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
	// maxResumptions is the number of attempts of a caller to resume one stream, and
	// resumptionPause the time before each.
	maxResumptions  = 8
	resumptionPause = 400 * time.Millisecond
	// sharedPart is a part of the prompts of all streams.
	sharedPart = "a100"
	// streamEvents is the number of events in a stream, unless its identifier states one,
	// and eventInterval the time between them.
	streamEvents  = 12
	eventInterval = 30 * time.Millisecond
)

// weightedKinds lists each kind of request as often as its share of the load
// requires.
var weightedKinds = []string{kindNonIdempotent, kindNonIdempotent, kindNonIdempotent, kindIdempotent, kindIdempotent, kindStream, kindResumable}

// A caller sends requests to one instance, one at a time, and keeps its connection
// to it, also while the instance stops.
type caller struct {
	accounts       *accountLog
	client         *http.Client
	firstEvent     int // number of the first event of a stream
	instance       int
	interval       time.Duration // mean pause between two requests
	key            string        // empty for one of several, drawn for each request
	kind           string        // empty for one drawn from weightedKinds
	name           string
	others         []*process // at which it may resume streams
	partCrashes    *crashLog
	process        *process
	random         *rand.Rand
	recorder       *recorder
	requestCrashes *crashLog
	resuming       *atomic.Bool         // broken streams are resumed
	sentEndless    func(id string) bool // reports whether a replica has sent an endless body to a request
}

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(c.interval)))
		kind := c.kind
		if kind == "" {
			kind = weightedKinds[c.random.IntN(len(weightedKinds))]
		}
		c.send(ctx, fmt.Sprintf("%s-%d", c.name, n), kind)
	}
	c.client.CloseIdleConnections()
}

// drawKey returns the key of a request, and whether that may be refused.
func (c *caller) drawKey() (key string, spare bool) {
	switch {
	case c.key != "":
		return c.key, c.key == keyBulk
	case c.random.Float64() < doubtfulShare:
		return doubtfulKeys[c.random.IntN(len(doubtfulKeys))], true
	default:
		return []string{keyMoving, keyNorth, keySouth}[c.random.IntN(3)], false
	}
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
	o.key, o.spare = c.drawKey()
	stream := kind == kindStream || kind == kindResumable
	request := &standin.Request{
		Body: body, Generation: stream, ID: id, Key: o.key, Path: fmt.Sprintf("/%s/%d", kind, c.instance), Timeout: timeout,
	}
	if kind == kindIdempotent && c.random.Float64() < requestCrashShare && c.requestCrashes.begin() {
		defer c.requestCrashes.end()
		// A request under another key is another one, which instances have to learn anew.
		o.crashes, o.key, o.spare, request.Body, request.Key, request.Path = true, keyNorth, false, crashBody, keyNorth, crashPath
	}
	if stream {
		request.Parts = sharedPart + ":900,"
		if o.crashes = c.random.Float64() < partCrashShare && c.partCrashes.begin(); o.crashes {
			defer c.partCrashes.end()
			request.Parts += crashPart + ":700,"
		}
		request.Parts += fmt.Sprintf("%x:200", c.random.Uint32())
		o.wantBody = wholeStream(c.firstEvent, streamEvents)
	}
	c.accounts.register(request, c.instance, c.process)
	err := c.exchange(ctx, c.process, request, o)
	for kind == kindResumable && err != nil && c.mayResume(ctx, o) {
		err = c.resume(ctx, request, o)
	}
	if !stream && !strings.HasPrefix(o.wantBody, o.body) && c.sentEndless(id) {
		// The replica's response has no end, so that a complete one is still a violation.
		o.wantBody = standin.EndlessBody(len(o.body) + 1)
	}
	o.incomplete = err != nil
	o.ended = time.Now()
	o.disconnected = ctx.Err() != nil
	c.accounts.checkRefusal(o)
	c.recorder.add(o)
}

// exchange sends one attempt and adds its response to the outcome. The error is that of
// a response that ends early, or errRefused for one to a resumed stream.
func (c *caller) exchange(ctx context.Context, p *process, request *standin.Request, o *outcome) error {
	request.Addr = p.Callers
	httpRequest, err := request.HTTP(ctx)
	if err != nil {
		panic(err) // the address is valid
	}
	response, err := c.client.Do(httpRequest)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	if got := standin.RequestID(response.Header); got != "" && got != request.ID {
		o.otherID = got
	}
	text, err := io.ReadAll(response.Body)
	if request.Resumes != "" && response.StatusCode != http.StatusOK {
		return errRefused
	}
	o.status = response.StatusCode
	body := string(text)
	if request.Generation && o.status == http.StatusOK {
		var versions []string
		body, versions = standin.CutSoftware(body)
		o.software = append(o.software, versions...)
	}
	o.body += body
	return err
}

// errRefused reports an attempt to resume a stream that was not answered.
var errRefused = errors.New("the stream was not resumed")

// mayResume reports whether the caller has a part of a stream that it may resume.
func (c *caller) mayResume(ctx context.Context, o *outcome) bool {
	return ctx.Err() == nil && c.resuming.Load() && o.resumptions < maxResumptions && !o.crashes && strings.Contains(o.body, "\n\n")
}

// resume resumes a stream at a random instance after a pause. The part of an event at
// the end of what the caller has is dropped.
func (c *caller) resume(ctx context.Context, request *standin.Request, o *outcome) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(resumptionPause):
	}
	o.body = o.body[:strings.LastIndex(o.body, "\n\n")+2]
	o.resumptions++
	deadline, _ := ctx.Deadline()
	next := *request
	next.ID, next.Resumes = fmt.Sprintf("%s-%d", o.id, o.resumptions), o.id
	next.LastEvent = c.firstEvent + strings.Count(o.body, "\n\n") - 1
	next.Timeout = time.Until(deadline)
	other := c.random.IntN(len(c.others))
	c.accounts.register(&next, other, c.others[other])
	return c.exchange(ctx, c.others[other], &next, o)
}
