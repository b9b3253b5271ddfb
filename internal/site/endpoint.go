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

// Run is a request that an endpoint ran.
type Run struct {
	// AttemptID, Method, URI and Body are the parts of the request.
	AttemptID, Method, URI, Body string
	// Header is the header of the request.
	Header http.Header
	// LastEvent is the number of the last event that the sender has, or 0.
	LastEvent int
	// Fault is the endpoint's fault with this request.
	Fault Fault
	// ReceivedAt is the time of receipt. EndedAt is the time at which the endpoint stopped working
	// on the request, zero while it works on it. A run that is answered completely ends before the
	// caller has the whole answer.
	ReceivedAt, EndedAt time.Time
}

// Endpoint is an engine or a plain service.
type Endpoint struct {
	// Instance is the endpoint's name. StartedMS is the Unix time of the start of this incarnation
	// in milliseconds, or 0 if its entry does not state it.
	Instance  string
	StartedMS int64
	// Events is the number of events of a stream; 0 makes the endpoint a plain service.
	Events int
	// UnframedStreams makes streams end with their connections, without chunks.
	UnframedStreams bool
	// RepeatsAnswers turns the faults Full and Error into FullAgain and ErrorAgain.
	RepeatsAnswers bool
	// Pace is the time before each event, the first one included. Use SetPace to change it while
	// the endpoint runs.
	Pace time.Duration
	// A request whose URI, body or list of prompt parts contains CrashText crashes the endpoint CrashDelay after it began
	// to run; empty means none. With AnswersBeforeCrash set, the endpoint answers as usual until
	// then; otherwise it sends nothing.
	CrashText          string
	CrashDelay         time.Duration
	AnswersBeforeCrash bool
	// OnCrash is called after a crash; it may be nil.
	OnCrash func()
	// Proxy carries all connections to the endpoint. It is started with the endpoint; it may be
	// nil.
	Proxy *link.Proxy
	// Address is the address at which the endpoint is reached.
	Address string

	mu       sync.Mutex
	faults   []Fault
	script   Script
	shared   *FaultQueue
	runs     []Run
	inFlight int
	l        net.Listener
	conns    map[net.Conn]bool
	late     map[net.Conn]string // sent in front of the next answer on the connection
	crashed  bool
	load     string  // stated in its answers, or empty
	limited  bool    // it states rate in its answers
	rate     float64 // in requests per second
	leaving  bool    // it says in its answers that it leaves
	pauses   []Pause // in the order in which they began
}

// healthPath is the path at which endpoints say which instance they are.
const healthPath = "/healthz"

// Start listens on loopback and serves connections.
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

// SetPace changes Pace while the endpoint runs.
func (e *Endpoint) SetPace(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Pace = d
}

// currentPace returns Pace.
func (e *Endpoint) currentPace() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Pace
}

// Runs returns the requests that the endpoint ran so far.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// InFlight returns the number of requests that the endpoint works on.
func (e *Endpoint) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}

// serve answers the requests of one connection.
func (e *Endpoint) serve(c net.Conn) {
	defer e.closeConn(c)
	if !e.addConn(c) {
		resetConn(c)
		return
	}
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if f, ok := e.takeEarly(r); ok {
			e.answerEarly(c, r, f)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.sendLate(c)
		if !e.answer(c, r, string(body)) {
			return
		}
	}
}

// answer answers one request. It returns false if the connection must be closed.
func (e *Endpoint) answer(c net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get("Heathkeel-Attempt-Id")
	if expected := r.Header.Get("Heathkeel-Expect-Instance"); expected != "" && expected != e.Instance {
		e.awaitPauses()
		_, _ = io.WriteString(c, e.misdirected(id)) // an error recurs when the next request is read
		return true
	}
	if r.URL.Path == healthPath {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nHeathkeel-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.Instance)
		return true
	}
	f := e.nextFault()
	if rejection := e.rejection(id, f); rejection != "" {
		e.awaitPauses()
		_, _ = io.WriteString(c, rejection)
		if f != Full {
			e.repeatLater(c, rejection)
		}
		return true
	}
	lastEvent, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	end, ok := e.beginRun(Run{AttemptID: id, Method: r.Method, URI: r.RequestURI, Body: body, Header: r.Header, LastEvent: lastEvent, Fault: f, ReceivedAt: time.Now()})
	if !ok {
		return false
	}
	defer end()
	if e.crashesOn(r, body) && e.AnswersBeforeCrash {
		time.AfterFunc(e.CrashDelay, func() { e.Crash() })
	} else if e.crashesOn(r, body) {
		time.Sleep(e.CrashDelay)
		e.Crash()
		return false
	}
	e.awaitPauses()
	switch f {
	case Reset:
		resetConn(c)
		return false
	case Hang:
		_, _ = io.Copy(io.Discard, c)
		return false
	case InvalidAnswer:
		fmt.Fprint(c, "\x00\x01 not http at all\r\n\r\n")
		return false
	case TruncatedStatus, TruncatedField, TruncatedHead:
		fmt.Fprint(c, e.truncatedHead(id, f))
		return false
	case ZeroStatus, BlankName, BlankLength, BlankEncoding:
		fmt.Fprint(c, e.invalidAnswer(id, f))
		return false
	case ZeroStatusFirst:
		fmt.Fprint(c, e.responseHead(id, f, "000 Trouble")+"\r\n")
	case WrongAnswer:
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nHeathkeel-Attempt-Id: somebody-else\r\nHeathkeel-Response-Stamp: x\r\nContent-Length: 5\r\n\r\nother")
	case Interim:
		fmt.Fprint(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
	case EndlessHeader, EndlessHeaders, EndlessStatus, EndlessInterim, EndlessBytes:
		e.sendEndlessHead(c, id, f)
		return false
	}
	if e.Events > 0 && f != Error && f != ErrorAgain {
		return e.answerStream(c, id, f, lastEvent, end)
	}
	return e.answerPlain(c, id, f, body, end)
}

// beginRun records a request, and returns the function that records its end, whose later calls have no
// effect. It returns false if the endpoint has crashed.
func (e *Endpoint) beginRun(r Run) (end func(), ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return nil, false
	}
	index := len(e.runs)
	e.runs = append(e.runs, r)
	e.inFlight++
	return sync.OnceFunc(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.inFlight--
		e.runs[index].EndedAt = time.Now()
	}), true
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// responseHead returns the status line and the first header fields of an answer.
func (e *Endpoint) responseHead(id string, f Fault, status string) string {
	h := "HTTP/1.1 " + status + "\r\nHeathkeel-Attempt-Id: " + id + "\r\n"
	h += e.rateHeader() + e.leavingHeader() + e.loadHeader()
	if f != NoStamp {
		h += "Heathkeel-Response-Stamp: " + e.Instance + "." + id + "\r\n"
	}
	if f == Closing {
		h += "Connection: close\r\n"
	}
	return h
}

// truncatedHead returns the beginning of an answer that ends in its head.
func (e *Endpoint) truncatedHead(id string, f Fault) string {
	const status = "HTTP/1.1 200 OK"
	head := e.responseHead(id, f, "200 OK") + "Content-Length: 25"
	switch f {
	case TruncatedStatus:
		return status[:len(status)-1]
	case TruncatedField:
		return head[:len(head)-1]
	default:
		return head + "\r\n"
	}
}

// answerPlain sends an answer whose body names the request. It calls end before it writes a complete
// answer, so that no caller has the answer of a run that has not ended.
func (e *Endpoint) answerPlain(c net.Conn, id string, f Fault, body string, end func()) bool {
	status := "200 OK"
	if f == Error || f == ErrorAgain {
		status = "500 Internal Server Error"
	}
	text := "ran " + id + " with " + body
	head := e.responseHead(id, f, status)
	switch f {
	case Unframed:
		end()
		fmt.Fprint(c, head+"\r\n"+text)
		return false
	case EndlessBody:
		fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(text), text)
		sendEndlessFill(c, true)
		return false
	case EndlessUnframed:
		fmt.Fprint(c, head+"\r\n"+text)
		sendEndlessFill(c, false)
		return false
	case UnframedReset:
		fmt.Fprint(c, head+"\r\n"+text[:3])
		time.Sleep(e.currentPace())
		resetConn(c)
		return false
	}
	head += "Content-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n"
	if f == Truncated {
		fmt.Fprint(c, head+text[:3])
		return false
	}
	end()
	fmt.Fprint(c, head+text)
	switch f {
	case ExtraAnswer:
		fmt.Fprint(c, head+text)
	case ErrorAgain:
		e.repeatLater(c, head+text)
	}
	return f != Closing
}

// EventText returns the text of event n of a stream.
func EventText(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }

// CommentText is a comment in a stream, as servers send it to keep a connection open.
const CommentText = ": still here\n\n"

// answerStream sends the events after lastEvent. It calls end before it writes the end of the stream.
func (e *Endpoint) answerStream(c net.Conn, id string, f Fault, lastEvent int, end func()) bool {
	fmt.Fprint(c, e.responseHead(id, f, "200 OK")+"Content-Type: text/event-stream\r\n")
	unframed := e.UnframedStreams || f == EndlessUnframed
	if unframed {
		fmt.Fprint(c, "\r\n")
	} else {
		fmt.Fprint(c, "Transfer-Encoding: chunked\r\n\r\n")
	}
	chunk := func(s string) error {
		if !unframed {
			s = fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
		}
		_, err := io.WriteString(c, s)
		return err
	}
	first := lastEvent + 1
	if f == CommentFromZero && lastEvent == 0 {
		first = 0
	}
	if f == Comment || f == CommentFromZero {
		_ = chunk(CommentText) // an error recurs with the first event
	}
	for n := first; n <= e.Events; n++ {
		time.Sleep(e.currentPace())
		e.awaitPauses()
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
	if f == EndlessBody || f == EndlessUnframed {
		sendEndlessFill(c, !unframed)
		return false
	}
	e.awaitPauses()
	end()
	if unframed {
		return false
	}
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	return err == nil && f != Closing
}

// StreamBody returns the complete body of a stream of n events.
func StreamBody(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(EventText(i))
	}
	return b.String()
}
