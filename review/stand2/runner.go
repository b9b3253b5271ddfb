// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/heathkeel/heathkeel/internal/site"
)

// slots is the number of requests that a runner works on at once.
const slots = 8

// runnerServer is the server in the process of a runner. The query of a request says how it is answered: events and pace give the number
// of events of a stream and the milliseconds between them, last the length of the text in the last event, unframed gives the answer no
// length, and parts writes the body of a plain answer in that many parts, pace apart. It writes a line for each run.
type runnerServer struct {
	id string
	l  net.Listener

	mu      sync.Mutex
	running int
	work    sync.WaitGroup
}

// serveRunner serves requests until the process is killed. SIGUSR1 is the planned end: the runner closes its port, completes what it
// works on, and ends.
func serveRunner(id, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &runnerServer{id: id, l: l}
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGUSR1)
	if err := holdMemory(); err != nil {
		return err
	}
	fmt.Println("listening", l.Addr())
	go s.accept()
	<-end
	_ = l.Close()
	fmt.Println("closed its port")
	s.work.Wait()
	time.Sleep(100 * time.Millisecond) // the last bytes are on their way
	fmt.Println("ends")
	return nil
}

// memoryVariable names the megabytes of shared memory that a runner holds, as one does for its weights or its cache.
const memoryVariable = "RUNNER_MEMORY_MB"

// holdMemory takes the shared memory.
func holdMemory() error {
	mb, err := strconv.Atoi(os.Getenv(memoryVariable))
	if err != nil || mb == 0 {
		return nil // none
	}
	fd, err := unix.MemfdCreate("weights", 0)
	if err != nil {
		return err
	}
	part := make([]byte, 1<<20)
	for range mb {
		if _, err := unix.Write(fd, part); err != nil {
			return err
		}
	}
	return nil
}

// accept serves connections until the listener is closed.
func (s *runnerServer) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// serve answers the requests of one connection.
func (s *runnerServer) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !s.answer(c, r) {
			return
		}
	}
}

// answer answers one request. It returns false if the connection must be closed.
func (s *runnerServer) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Heathkeel-Attempt-Id")
	short := func(status, more string) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nHeathkeel-Attempt-Id: %s\r\nHeathkeel-Instance-Id: %s\r\n%sContent-Length: 0\r\n\r\n", status, id, s.id, more)
		return err == nil
	}
	if expected := r.Header.Get("Heathkeel-Expect-Instance"); expected != "" && expected != s.id {
		return short("421 Misdirected Request", "Heathkeel-Not-Executed: 1\r\n")
	}
	if r.URL.Path == "/healthz" {
		return short("200 OK", "")
	}
	if !s.take() {
		return short("503 Service Unavailable", "Heathkeel-Not-Executed: 1\r\n")
	}
	defer s.give()
	fmt.Println("runs", id, "at", s.id, "tenant", r.Header.Get("Heathkeel-Tenant"))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nHeathkeel-Attempt-Id: %s\r\nHeathkeel-Response-Stamp: %s.%s\r\n", id, s.id, id)
	q := r.URL.Query()
	var whole bool
	if q.Has("events") {
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		whole = writeStream(c, head, q, after)
	} else {
		whole = writePlain(c, head, q)
	}
	fmt.Println("ended", id, "at", s.id, "whole", whole)
	return whole && !q.Has("unframed")
}

// take takes a slot and returns false if there is none.
func (s *runnerServer) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= slots {
		return false
	}
	s.running++
	s.work.Add(1)
	return true
}

// give gives a slot back.
func (s *runnerServer) give() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.work.Done()
}

// number returns a number of the query, or def.
func number(q url.Values, name string, def int) int {
	if n, err := strconv.Atoi(q.Get(name)); err == nil {
		return n
	}
	return def
}

// eventText returns an event of a stream.
func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }

// quotedID is the end of the text of a last event with a given length: what a model writes that explains event streams.
const quotedID = "id: 1"

// lastText returns the last event of a stream whose text has a length.
func lastText(n, length int) string {
	return fmt.Sprintf("id: %d\ndata: %s%s\n\n", n, strings.Repeat("x", length-len(quotedID)), quotedID)
}

// writeStream writes the events after one, and reports whether all were written.
func writeStream(c net.Conn, head string, q url.Values, after int) bool {
	framed := !q.Has("unframed")
	head += "Content-Type: text/event-stream\r\n"
	if framed {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return false
	}
	for n := after + 1; n <= number(q, "events", 1); n++ {
		time.Sleep(time.Duration(number(q, "pace", 10)) * time.Millisecond)
		text := eventText(n)
		if q.Has("last") && n == number(q, "events", 1) {
			text = lastText(n, number(q, "last", 0))
		}
		if framed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(c, text); err != nil {
			return false
		}
	}
	if framed {
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
	return true
}

// plainText is the body of a plain answer.
var plainText = strings.Repeat("0123456789abcdef", 50)

// writePlain writes a plain answer, and reports whether all of it was written.
func writePlain(c net.Conn, head string, q url.Values) bool {
	if !q.Has("unframed") {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(plainText))
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return false
	}
	parts := number(q, "parts", 1)
	size := len(plainText) / parts
	for i := range parts {
		if i > 0 {
			time.Sleep(time.Duration(number(q, "pace", 10)) * time.Millisecond)
		}
		end := (i + 1) * size
		if i == parts-1 {
			end = len(plainText)
		}
		if _, err := io.WriteString(c, plainText[i*size:end]); err != nil {
			return false
		}
	}
	return true
}

// runner is a runner as the case knows it.
type runner struct {
	*process
	id, service, address string

	mu    sync.Mutex
	state string // of its entry, or empty if it writes none
	seq   int
}

// errRunnerEnded means that a runner ended before it took connections.
var errRunnerEnded = errors.New("a runner ended before it took connections")

// startRunner starts a runner and its heartbeats to the store.
func (f *fleet) startRunner(id, service string) (*runner, error) {
	r := &runner{id: id, service: service, state: "ready"}
	listening := make(chan string, 1)
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r.process, err = f.start(id, nil, func(line string) {
		if address, ok := strings.CutPrefix(line, "listening "); ok {
			listening <- address
		}
		f.note("runner %s: %s", id, line)
		f.mu.Lock()
		f.lines = append(f.lines, line)
		f.mu.Unlock()
	}, exe, "runner", id, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	select {
	case r.address = <-listening:
	case <-r.done:
		return nil, errRunnerEnded
	}
	f.runners = append(f.runners, r)
	f.beat(r)
	go func() {
		for {
			select {
			case <-f.stopBeats:
				return
			case <-time.After(1200 * time.Millisecond):
			}
			if r.ended() {
				return // its entry goes after three heartbeats; no case waits for that
			}
			f.beat(r)
		}
	}()
	return r, nil
}

// beat writes the entry of a runner.
func (f *fleet) beat(r *runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	f.store.Put("servers/"+r.id, site.EndpointEntry{Service: r.service, Address: r.address, Zone: "zone-0", Version: "v1", Slots: slots, State: r.state, Seq: r.seq})
}

// drain makes a runner say that it leaves.
func (f *fleet) drain(r *runner) {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	f.beat(r)
	f.note("runner %s says draining", r.id)
}
