// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Times and sizes of answers that come before the request's body was read.
const (
	// earlyPause is the time between a part of an answer and the end of its connection. The other end has read the part by then.
	earlyPause = 60 * time.Millisecond
	// earlyRead is what EarlyLate reads of the body, in bytes.
	earlyRead = 20_000
	// earlyLarge is the size of the part that EarlyLarge sends, in bytes.
	earlyLarge = 1_200_000
)

// isEarly reports whether a fault is an answer that comes before the request's body was read.
func (f Fault) isEarly() bool { return strings.HasPrefix(string(f), "early ") }

// takeEarly removes and returns the fault of the next request if it is an early answer, and the request is one that runs here.
func (e *Endpoint) takeEarly(r *http.Request) (Fault, bool) {
	expected := r.Header.Get("Heathkeel-Expect-Instance")
	if (expected != "" && expected != e.Instance) || r.URL.Path == healthPath || !e.peekFault().isEarly() {
		return None, false
	}
	return e.nextFault(), true
}

// answerEarly answers a request before it has read its body, and ends the connection.
func (e *Endpoint) answerEarly(c net.Conn, r *http.Request, f Fault) {
	id := r.Header.Get("Heathkeel-Attempt-Id")
	end, ok := e.beginRun(Run{AttemptID: id, Method: r.Method, URI: r.RequestURI, Header: r.Header, Fault: f, ReceivedAt: time.Now()})
	if !ok {
		return
	}
	defer end()
	tc := c.(*net.TCPConn)
	if f == EarlyScript {
		e.answerByScript(tc, r, id)
		return
	}
	head, body := e.responseHead(id, f, "200 OK"), e.earlyBody(id)
	switch f {
	case EarlyFramed:
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case EarlyLarge:
		fmt.Fprint(c, head+"\r\n"+e.earlyLargePart())
	case EarlyReset, EarlyClose, EarlyLate:
		fmt.Fprint(c, head+"\r\n"+e.earlyPart())
	case EarlyTorn:
		part := e.earlyPart()
		fmt.Fprint(c, head+"\r\n"+part[:len(part)-5])
	case EarlyInterim:
		fmt.Fprint(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+head+"\r\n"+body)
	default:
		fmt.Fprint(c, head+"\r\n"+body)
	}
	switch f {
	case EarlyEnd, EarlyInterim:
		_, _ = io.Copy(io.Discard, r.Body) // an error ends the connection, too
		return
	case EarlyFinish:
		_ = tc.CloseWrite() // an error recurs below
		_, _ = io.Copy(io.Discard, r.Body)
		return
	case EarlyLate:
		_, _ = io.CopyN(io.Discard, r.Body, earlyRead)
	}
	time.Sleep(earlyPause)
	if f != EarlyClose {
		_ = tc.SetLinger(0)
	}
}

// earlyBody returns the body of a whole answer that does not depend on the request's body.
func (e *Endpoint) earlyBody(id string) string {
	if e.Events > 0 {
		return StreamBody(e.Events)
	}
	return "ran " + id + " early"
}

// earlyPart returns the beginning of a body.
func (e *Endpoint) earlyPart() string {
	if e.Events > 0 {
		return EventText(1) + EventText(2)
	}
	return "ran something"
}

// earlyLargePart returns the beginning of a large body.
func (e *Endpoint) earlyLargePart() string {
	if e.Events == 0 {
		return strings.Repeat("large ", earlyLarge/6)
	}
	var b strings.Builder
	for n := 1; b.Len() < earlyLarge; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 8<<10))
	}
	return b.String()
}

// peekFault returns the fault of the next request, which stays the next.
func (e *Endpoint) peekFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shared != nil {
		if f := e.shared.peek(); f != None {
			return f
		}
	}
	if len(e.faults) == 0 {
		return None
	}
	return e.faults[0]
}

// peek returns the next fault, or None.
func (f *FaultQueue) peek() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.list) == 0 {
		return None
	}
	return f.list[0]
}
