package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart/platform/standin"
)

const (
	// keptConnections and newConnections are the numbers of connections to an instance
	// that stops: those that its callers opened before the signal and use again, and those
	// that the load balancer still sends.
	keptConnections = 12
	newConnections  = 12
	// balancerTime is the time for which the load balancer sends connections to an instance
	// that is not ready.
	balancerTime = 2300 * time.Millisecond
	// maxHeaderTime is the longest time that a caller takes to send its header.
	maxHeaderTime = 2900 * time.Millisecond
	// maxLongEvents is the number of events of the longest streams.
	maxLongEvents = 220
	// longMark precedes the number of events in the identifier of a request for a stream.
	longMark = "-e"
)

// eventsOf returns the number of events of a request's stream.
func eventsOf(id string) int {
	_, text, _ := strings.Cut(id, longMark)
	text, _, _ = strings.Cut(text, "-")
	if count, err := strconv.Atoi(text); err == nil {
		return count
	}
	return streamEvents
}

// wholeStream returns the body of a whole stream whose first event has the given number.
func wholeStream(first, count int) string {
	var events strings.Builder
	for n := range count {
		events.WriteString(standin.Event(first + n))
	}
	return events.String()
}

// A stopLoad is the load on an instance while it stops: requests on kept connections until
// the process is gone, and on new ones, of which some send their headers slowly.
type stopLoad struct {
	group    sync.WaitGroup
	instance int
	kept     []*stopConn
	process  *process
	random   *rand.Rand
	soak     *Soak
}

// A stopConn is a connection of a caller to an instance that stops.
type stopConn struct {
	net.Conn

	delay      time.Duration // before its request
	headerTime time.Duration
	id         string
	kind       string
	reader     *bufio.Reader
}

// startStopLoad opens the kept connections. Their first request is a short one.
func (s *Soak) startStopLoad(instance int, p *process) *stopLoad {
	l := &stopLoad{instance: instance, process: p, random: rand.New(rand.NewPCG(s.Seed, uint64(5000+instance))), soak: s}
	for n := range keptConnections {
		c := l.newConn(fmt.Sprintf("kept%d.%d", instance, n), standin.GraceTime)
		if c.open(p) {
			l.kept = append(l.kept, c)
			first := &stopConn{Conn: c.Conn, id: c.id + "-first", kind: kindIdempotent, reader: c.reader}
			l.send(first)
		}
	}
	return l
}

// newConn returns a connection that is not open yet, with a random request within the given
// time.
func (l *stopLoad) newConn(name string, within time.Duration) *stopConn {
	c := &stopConn{delay: time.Duration(l.random.Int64N(int64(within))), id: name, kind: weightedKinds[l.random.IntN(len(weightedKinds))]}
	if l.random.IntN(2) == 0 {
		c.headerTime = time.Duration(l.random.Int64N(int64(maxHeaderTime)))
	}
	if c.kind == kindStream || c.kind == kindResumable {
		c.id += longMark + strconv.Itoa(1+l.random.IntN(maxLongEvents))
	}
	return c
}

// begin starts the load at the moment of the signal.
func (l *stopLoad) begin() {
	for _, c := range l.kept {
		c.headerTime = 0
		l.group.Go(func() {
			time.Sleep(c.delay)
			l.send(c)
		})
	}
	for n := range newConnections {
		c := l.newConn(fmt.Sprintf("new%d.%d", l.instance, n), balancerTime)
		l.group.Go(func() {
			time.Sleep(c.delay)
			if c.open(l.process) {
				l.send(c)
			}
		})
	}
}

// wait waits until all requests have ended.
func (l *stopLoad) wait() { l.group.Wait() }

// open opens the connection. It reports false if the instance accepts none.
func (c *stopConn) open(p *process) bool {
	conn, err := (&net.Dialer{Timeout: time.Second}).Dial("tcp4", p.Callers.String())
	if err != nil {
		return false
	}
	c.Conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// send sends the connection's request and records its outcome.
func (l *stopLoad) send(c *stopConn) {
	body := "body of " + c.id
	o := &outcome{id: c.id, key: keyNorth, instance: l.instance, kind: c.kind, sent: time.Now(), wantBody: standin.ResponseBody(c.id, []byte(body))}
	request := &standin.Request{Addr: l.process.Callers, Body: body, ID: c.id, Key: keyNorth, Path: fmt.Sprintf("/%s/%d", c.kind, l.instance), Timeout: 2 * time.Second}
	if c.kind == kindStream || c.kind == kindResumable {
		request.Generation, request.Timeout = true, 14*time.Second
		request.Parts = sharedPart + ":900," + fmt.Sprintf("%x:200", len(c.id)+l.instance*1000)
		o.wantBody = wholeStream(l.soak.firstEvent(), eventsOf(c.id))
	}
	l.soak.accounts.register(request, l.instance, l.process)
	err := c.exchange(request, o)
	o.incomplete, o.ended = err != nil, time.Now()
	l.soak.accounts.checkRefusal(o)
	l.soak.recorder.add(o)
}

// exchange writes the request, its header in two parts, and reads its response into the
// outcome. The error is that of a response that ends early.
func (c *stopConn) exchange(request *standin.Request, o *outcome) error {
	httpRequest, err := request.HTTP(context.Background())
	if err != nil {
		panic(err) // the address is valid
	}
	var text bytes.Buffer
	_ = httpRequest.Write(&text) // writes to a bytes.Buffer do not fail
	firstLine := bytes.Index(text.Bytes(), []byte("\r\n")) + 2
	if _, err := c.Write(text.Next(firstLine)); err != nil {
		return err
	}
	time.Sleep(c.headerTime)
	o.sent = time.Now()
	if _, err := c.Write(text.Bytes()); err != nil {
		return err
	}
	response, err := http.ReadResponse(c.reader, httpRequest)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	body, err := io.ReadAll(response.Body)
	o.body, o.status = string(body), response.StatusCode
	if request.Generation && o.status == http.StatusOK {
		o.body, o.software = standin.CutSoftware(o.body)
	}
	return err
}
