package soak

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/platform/standin"
)

// Kinds of slow callers.
const (
	slowSender   slowKind = iota // sends its body byte by byte
	haltedSender                 // stops in the middle of its body and stays
	slowReader                   // reads a long stream slowly
	slowKinds
)

const (
	// slowBody is the number of bytes of a slow caller's body, and slowSendInterval the time
	// between two of the bytes of the second half.
	slowBody         = 400
	slowSendInterval = 20 * time.Millisecond
	// slowStream is the number of events of a stream that is read slowly, slowReadSize the
	// number of bytes that are read at once, and slowReadInterval the time between.
	slowStream       = 150
	slowReadSize     = 64
	slowReadInterval = 50 * time.Millisecond
	// slowPause is the time between two requests of a slow caller.
	slowPause = 300 * time.Millisecond
)

// A slowKind is a kind of slow callers.
type slowKind int

// startSlowCallers starts a slow caller of each kind at all instances, which run until ctx
// is done. An instance may cut them: only ordinary callers are checked.
func (s *Soak) startSlowCallers(ctx context.Context) {
	for n, p := range s.processes {
		for kind := range slowKinds {
			s.group.Go(func() {
				for k := 0; ctx.Err() == nil; k++ {
					s.sendSlowly(ctx, n, p, kind, fmt.Sprintf("slow%d.%d.%d%s%d", n, kind, k, longMark, slowStream))
					_ = (&timer.System{}).Sleep(ctx, slowPause) // the end of ctx ends the loop
				}
			})
		}
	}
}

// sendSlowly sends one request of a slow caller and reads its response.
func (s *Soak) sendSlowly(ctx context.Context, instance int, p *process, kind slowKind, id string) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", p.Callers.String())
	if err != nil {
		return // the instance is down
	}
	defer func() { _ = conn.Close() }() // nothing is written after that
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	request := &standin.Request{
		Addr: p.Callers, Body: strings.Repeat("s", slowBody), ID: id, Key: keyNorth, Path: fmt.Sprintf("/%s/%d", kindIdempotent, instance), Timeout: 14 * time.Second,
	}
	if kind == slowReader {
		request.Generation, request.Parts, request.Path = true, sharedPart+":900", fmt.Sprintf("/%s/%d", kindStream, instance)
		_ = conn.(*net.TCPConn).SetReadBuffer(slowReadSize) // the system's least size applies
	}
	s.accounts.register(request, instance, p)
	httpRequest, err := request.HTTP(ctx)
	if err != nil {
		panic(err) // the address is valid
	}
	var text bytes.Buffer
	_ = httpRequest.Write(&text) // writes to a bytes.Buffer do not fail
	first := text.Len()
	if kind != slowReader {
		first -= slowBody / 2
	}
	if _, err := conn.Write(text.Next(first)); err != nil {
		return
	}
	for kind == slowSender && text.Len() > 0 {
		if (&timer.System{}).Sleep(ctx, slowSendInterval) != nil {
			return
		}
		if _, err := conn.Write(text.Next(1)); err != nil {
			return
		}
	}
	buffer := make([]byte, slowReadSize)
	for received := 0; !bytes.Contains(buffer[:received], []byte("\n0\r\n")) && (kind == slowReader || received == 0); {
		if received, err = conn.Read(buffer); err != nil {
			return
		}
		if kind == slowReader && (&timer.System{}).Sleep(ctx, slowReadInterval) != nil {
			return
		}
	}
}
