// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/heathkeel/heathkeel/internal/link"
)

// Fault is what an endpoint does wrong with its next request.
type Fault string

// The faults.
const (
	// None answers well.
	None Fault = ""
	// Full says 503 and that it did not run the request.
	Full Fault = "full"
	// Error answers 500 of its own.
	Error Fault = "error"
	// Reset runs the request and resets the connection without an answer.
	Reset Fault = "reset"
	// Hang runs the request and says nothing.
	Hang Fault = "hang"
	// Truncated breaks the answer off in its middle.
	Truncated Fault = "torn"
	// TruncatedEvent breaks a stream off in the middle of its third event.
	TruncatedEvent Fault = "torn event"
	// InvalidAnswer sends bytes that are no answer.
	InvalidAnswer Fault = "no answer"
	// NoStamp answers without its stamp.
	NoStamp Fault = "no stamp"
	// ExtraAnswer sends a second answer behind the first.
	ExtraAnswer Fault = "surplus"
	// WrongAnswer sends the answer to another request first.
	WrongAnswer Fault = "foreign"
	// Unframed answers without a length and closes.
	Unframed Fault = "unframed"
	// UnframedReset answers without a length and resets in the middle.
	UnframedReset Fault = "unframed reset"
	// HangEvent sends two events and then nothing.
	HangEvent Fault = "hang event"
	// SkipEvent leaves out the third event of a stream.
	SkipEvent Fault = "skip event"
	// DoubleEvent sends the third event of a stream twice.
	DoubleEvent Fault = "double event"
	// Closing says Connection: close.
	Closing Fault = "closing"
	// Interim sends a 103 before its answer.
	Interim Fault = "interim"
)

// Run is a request that an endpoint ran.
type Run struct {
	// AttemptID, Method, URI and Body are what came.
	AttemptID, Method, URI, Body string
	// Header is its header.
	Header http.Header
	// LastEvent is the last event that the sender had, or 0.
	LastEvent int
	// ReceivedAt is when it came, and Ended when the endpoint stopped working on it, zero while it works.
	ReceivedAt, EndedAt time.Time
}

// Endpoint is a model runner or a plain service.
type Endpoint struct {
	// Instance is its name, and Born the Unix time of the start of this life in milliseconds, 0 if it does not tell.
	Instance  string
	StartedMS int64
	// Events is the number of events of its streams; 0 makes it a plain service.
	Events int
	// Pace is the time between events, and before the first; set it with SetPace once it runs.
	Pace time.Duration
	// CrashText is a text that crashes the endpoint if the URI or the body of a request holds it, Delay after it began to run;
	// empty for none. Answers says that it answers as usual until then; else it says nothing.
	CrashText          string
	CrashDelay         time.Duration
	AnswersBeforeCrash bool
	// OnCrash is called when it has crashed, or nil.
	OnCrash func()
	// Proxy is what all connections to it go over, or nil; it is started with the endpoint.
	Proxy *link.Proxy
	// Address is where it is reached.
	Address string

	mu     sync.Mutex
	faults []Fault
	shared *FaultQueue
	runs   []Run
	open   int
	l      net.Listener
	conns  map[net.Conn]bool
	dead   bool
}

// Start listens on loopback.
func (e *Endpoint) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.l, e.Address = l, l.Addr().String()
	if e.Proxy != nil {
		e.Proxy.Listen, e.Proxy.Target = "127.0.0.1:0", e.Address
		if err := e.Proxy.Start(); err != nil {
			return err
		}
		e.Address = e.Proxy.Listen
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return nil
}

// Stop closes the listener.
func (e *Endpoint) Stop() { _ = e.l.Close() }

// SetFaults gives the faults of the next requests, in order.
func (e *Endpoint) SetFaults(faults ...Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// SetPace changes the pace.
func (e *Endpoint) SetPace(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Pace = d
}

// pace is the pace in force.
func (e *Endpoint) pace() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Pace
}

// Runs returns the requests that ran.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// InFlight tells how many requests it works on.
func (e *Endpoint) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open
}

// FaultQueue are faults of the next requests at any of several endpoints, in order.
type FaultQueue struct {
	mu   sync.Mutex
	list []Fault
}

// next takes the next fault, or returns None.
func (f *FaultQueue) next() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.list) == 0 {
		return None
	}
	n := f.list[0]
	f.list = f.list[1:]
	return n
}

// ShareFaults gives several endpoints the same faults: the next requests at any of them meet them.
func ShareFaults(list []Fault, endpoints ...*Endpoint) {
	f := &FaultQueue{list: list}
	for _, e := range endpoints {
		e.mu.Lock()
		e.shared = f
		e.mu.Unlock()
	}
}

// next takes the next fault.
func (e *Endpoint) next() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shared != nil {
		if f := e.shared.next(); f != None {
			return f
		}
	}
	if len(e.faults) == 0 {
		return None
	}
	f := e.faults[0]
	e.faults = e.faults[1:]
	return f
}

// serve answers the requests of one connection.
func (e *Endpoint) serve(c net.Conn) {
	defer e.close(c)
	if !e.opened(c) {
		reset(c)
		return
	}
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !e.answer(c, r, string(body)) {
			return
		}
	}
}

// answer answers one request; it returns false if the connection is to be closed.
func (e *Endpoint) answer(c net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get("Heathkeel-Attempt-Id")
	if x := r.Header.Get("Heathkeel-Expect-Instance"); x != "" && x != e.Instance {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nHeathkeel-Attempt-Id: %s\r\nHeathkeel-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, e.Instance)
		return true
	}
	f := e.next()
	if f == Full {
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nHeathkeel-Attempt-Id: %s\r\nHeathkeel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.mu.Lock()
	if e.dead {
		e.mu.Unlock()
		return false
	}
	n := len(e.runs)
	e.runs = append(e.runs, Run{AttemptID: id, Method: r.Method, URI: r.RequestURI, Body: body, Header: r.Header, LastEvent: after, ReceivedAt: time.Now()})
	e.open++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.open--
		e.runs[n].EndedAt = time.Now()
		e.mu.Unlock()
	}()
	if e.kills(r, body) && e.AnswersBeforeCrash {
		time.AfterFunc(e.CrashDelay, func() { e.Crash() })
	} else if e.kills(r, body) {
		time.Sleep(e.CrashDelay)
		e.Crash()
		return false
	}
	switch f {
	case Reset:
		reset(c)
		return false
	case Hang:
		_, _ = io.Copy(io.Discard, c)
		return false
	case InvalidAnswer:
		fmt.Fprint(c, "\x00\x01 not http at all\r\n\r\n")
		return false
	case WrongAnswer:
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nHeathkeel-Attempt-Id: somebody-else\r\nHeathkeel-Response-Stamp: x\r\nContent-Length: 5\r\n\r\nother")
	case Interim:
		fmt.Fprint(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
	}
	if e.Events > 0 && f != Error {
		return e.stream(c, id, f, after)
	}
	return e.plain(c, id, f, body)
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// head starts an answer.
func (e *Endpoint) head(id string, f Fault, status string) string {
	h := "HTTP/1.1 " + status + "\r\nHeathkeel-Attempt-Id: " + id + "\r\n"
	if f != NoStamp {
		h += "Heathkeel-Response-Stamp: " + e.Instance + "." + id + "\r\n"
	}
	if f == Closing {
		h += "Connection: close\r\n"
	}
	return h
}

// plain answers with a body that names the request.
func (e *Endpoint) plain(c net.Conn, id string, f Fault, body string) bool {
	status := "200 OK"
	if f == Error {
		status = "500 Internal Server Error"
	}
	text := "ran " + id + " with " + body
	head := e.head(id, f, status)
	switch f {
	case Unframed:
		fmt.Fprint(c, head+"\r\n"+text)
		return false
	case UnframedReset:
		fmt.Fprint(c, head+"\r\n"+text[:3])
		time.Sleep(e.pace())
		reset(c)
		return false
	}
	head += "Content-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n"
	if f == Truncated {
		fmt.Fprint(c, head+text[:3])
		return false
	}
	fmt.Fprint(c, head+text)
	if f == ExtraAnswer {
		fmt.Fprint(c, head+text)
	}
	return f != Closing
}

// EventText is the event with a number.
func EventText(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }

// stream answers with events.
func (e *Endpoint) stream(c net.Conn, id string, f Fault, after int) bool {
	fmt.Fprint(c, e.head(id, f, "200 OK")+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	chunk := func(s string) error {
		_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s)
		return err
	}
	for n := after + 1; n <= e.Events; n++ {
		time.Sleep(e.pace())
		text := EventText(n)
		if n == 3 {
			switch f {
			case TruncatedEvent:
				_ = chunk(text[:len(text)/2])
				return false
			case Truncated:
				return false
			case HangEvent:
				_, _ = io.Copy(io.Discard, c)
				return false
			case SkipEvent:
				continue
			case DoubleEvent:
				text += text
			}
		}
		if chunk(text) != nil {
			return false
		}
	}
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	return err == nil && f != Closing
}

// StreamBody is the whole body of a stream of n events.
func StreamBody(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(EventText(i))
	}
	return b.String()
}
