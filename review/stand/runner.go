// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// server is a runner of the platform. It does what PROTOCOL.md says of a sound one.
type server struct {
	instance string
	version  string        // of its software
	bytes    int           // of an answer that is no stream
	work     time.Duration // time of such an answer
	events   int           // of a stream
	pace     time.Duration // between two events
	unframed bool          // answers have no length and end with their connection
	first    time.Duration // before the first event
	comment  time.Duration // time without an event after which a comment keeps a stream's connection alive; 0 means none
	late     bool          // a body is read after the answer was sent
	running  sync.WaitGroup
}

// segment is the size of the TCP segments that a runner takes, in bytes: that of an Ethernet, where loopback has 64 KB.
const segment = 1448

// runRunner runs a runner until SIGTERM, after which it takes no new connections, ends what it runs and exits.
func runRunner(args []string) int {
	s := &server{}
	fs := flag.NewFlagSet("runner", flag.ExitOnError)
	address := fs.String("address", "", "listen address")
	fs.StringVar(&s.instance, "instance", "", "id")
	fs.StringVar(&s.version, "version", "v1", "version of its software")
	fs.IntVar(&s.bytes, "bytes", 800, "bytes of an answer that is no stream")
	fs.DurationVar(&s.work, "work", 20*time.Millisecond, "time of an answer that is no stream")
	fs.IntVar(&s.events, "events", 40, "events of a stream")
	fs.DurationVar(&s.pace, "pace", 100*time.Millisecond, "time between two events")
	fs.BoolVar(&s.unframed, "unframed", false, "answers have no length and end with their connection")
	fs.DurationVar(&s.first, "first", 0, "time before the first event")
	fs.DurationVar(&s.comment, "comment", 0, "time without an event after which a comment is sent")
	fs.BoolVar(&s.late, "late", false, "a body is read after the answer was sent")
	_ = fs.Parse(args)
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
		})
	}}
	l, err := lc.Listen(context.Background(), "tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, "runner:", err)
		return 2
	}
	s.say("", "listens at", *address)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	go func() {
		<-signals
		s.say("", "ends: takes no new connections")
		_ = l.Close()
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			break
		}
		go s.serve(c)
	}
	s.running.Wait()
	s.say("", "has ended what it ran, and exits")
	return 0
}

// say prints a line for the record.
func (s *server) say(id string, words ...string) {
	if id != "" {
		id = "request " + id + " "
	}
	fmt.Println("runner " + s.instance + ": " + id + strings.Join(words, " "))
}

// serve answers the requests of one connection.
func (s *server) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if !s.late {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
		s.running.Add(1)
		again := s.answer(c, r)
		s.running.Done()
		if !again {
			return
		}
		if n, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		} else if s.late {
			s.say(r.Header.Get("Heathkeel-Attempt-Id"), "the rest of its body is read:", fmt.Sprint(n), "bytes")
		}
	}
}

// answer answers one request. It returns false if the connection ends.
func (s *server) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Heathkeel-Attempt-Id")
	if want := r.Header.Get("Heathkeel-Expect-Instance"); want != "" && want != s.instance {
		s.say(id, "is for", want+":", "421")
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nHeathkeel-Attempt-Id: %s\r\nHeathkeel-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.instance)
		return true
	}
	last := -1
	if v := r.Header.Get("Last-Event-Id"); v != "" {
		last, _ = strconv.Atoi(v)
	}
	s.say(id, r.Method, r.RequestURI, "runs, Last-Event-Id", fmt.Sprint(last))
	head := "HTTP/1.1 200 OK\r\nHeathkeel-Attempt-Id: " + id + "\r\nHeathkeel-Response-Stamp: " + s.instance + "." + id + "\r\n"
	if strings.HasPrefix(r.RequestURI, "/stream") {
		return s.stream(c, id, head, last)
	}
	time.Sleep(s.work)
	body := strings.Repeat("0123456789abcde\n", s.bytes/16+1)[:s.bytes]
	if s.unframed {
		_, err := fmt.Fprint(c, head+"\r\n"+body)
		s.say(id, "its run ends, answer written:", fmt.Sprint(err == nil))
		return false
	}
	_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	s.say(id, "its run ends, answer written:", fmt.Sprint(err == nil))
	return err == nil
}

// stream sends the events after last.
func (s *server) stream(c net.Conn, id, head string, last int) bool {
	head += "Content-Type: text/event-stream\r\n"
	if !s.unframed {
		head += "Transfer-Encoding: chunked\r\n"
	}
	_, err := fmt.Fprint(c, head+"\r\n")
	wait := s.first
	for s.comment > 0 && wait > s.comment && err == nil {
		time.Sleep(s.comment)
		wait -= s.comment
		_, err = fmt.Fprint(c, s.piece(": still at work\n\n"))
	}
	time.Sleep(wait)
	for n := last + 1; n < s.events && err == nil; n++ {
		time.Sleep(s.pace)
		_, err = fmt.Fprint(c, s.piece(eventText(n, s.version)))
	}
	if err == nil && !s.unframed {
		_, err = fmt.Fprint(c, "0\r\n\r\n")
	}
	if err != nil {
		s.say(id, "its run ends: the connection is gone")
		return false
	}
	s.say(id, "its run ends: all", fmt.Sprint(s.events), "events sent")
	return !s.unframed
}

// piece returns a part of a stream as it is sent.
func (s *server) piece(text string) string {
	if s.unframed {
		return text
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// eventText returns event n of a stream of a version.
func eventText(n int, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("token ", 8)+fmt.Sprint(n)+" of "+version)
}
