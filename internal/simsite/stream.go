// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package simsite

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/heathkeel/heathkeel/internal/site"
)

// Streams makes an endpoint an engine that answers with a stream. An engine continues any stream after the event that the request
// names, whatever version began it.
type Streams struct {
	// Events is the number of events of a stream, and Pace the time before each of them.
	Events int
	Pace   time.Duration
	// BreakAfter returns for each run the number of its events after which it breaks off, within the next event; 0 means that it does
	// not. A nil BreakAfter means never.
	BreakAfter func() int
	// Unframed makes answers end with their connection, without a length or chunks.
	Unframed bool
	// CrashPart is the ID of a part of a prompt that crashes the engine, once it has written CrashAfter events on a request that holds
	// it; empty means none. Downtime is the time until an engine with another name takes its place.
	CrashPart  string
	CrashAfter int
	Downtime   time.Duration
}

// stream answers a request with the events that follow the last one of the caller. The data of each is the endpoint's version.
func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request) {
	breakAfter := 0
	if e.Streams.BreakAfter != nil {
		breakAfter = e.Streams.BreakAfter()
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	if e.Streams.Unframed {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	crashes := e.Streams.CrashPart != "" && strings.Contains(r.Header.Get("Heathkeel-Prompt-Prefix"), e.Streams.CrashPart+":")
	rc := http.NewResponseController(w)
	for n := last + 1; n <= e.Streams.Events; n++ {
		select {
		case <-time.After(e.Streams.Pace):
		case <-r.Context().Done():
			return
		}
		e.awaitPauses()
		if crashes && n > last+e.Streams.CrashAfter {
			e.Crash()
		}
		if !e.enter() {
			panic(http.ErrAbortHandler)
		}
		if breakAfter > 0 && n > last+breakAfter {
			_, _ = fmt.Fprintf(w, "id: %d\nda", n)
			_ = rc.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, e.Version)
		if rc.Flush() != nil {
			return
		}
	}
}

// End ends the endpoint at once: it answers nothing any more, and its entry is removed.
func (e *Endpoint) End() {
	e.mu.Lock()
	e.overload.downUntil = time.Now().Add(time.Hour)
	e.mu.Unlock()
	e.Lapse()
}

// Crash ends the process of an engine: its port refuses connections, and open ones end. Another engine takes its place after the
// downtime.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	if e.crashed {
		e.mu.Unlock()
		return
	}
	e.crashed = true
	e.overload.downUntil = time.Now().Add(time.Hour)
	e.mu.Unlock()
	_ = e.server.Close()
	e.site.noteCrash(e)
}

// noteCrash records a crash and starts another engine after the downtime.
func (s *Site) noteCrash(e *Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashTimes = append(s.crashTimes, time.Now())
	time.AfterFunc(e.Streams.Downtime, func() {
		if s.isStopped() {
			return
		}
		e.Lapse()
		if err := s.AddEngine(e.Version, *e.Streams); err != nil {
			panic(err) // addresses are not reused
		}
	})
}

// CrashTimes returns the times of all crashes, in order.
func (s *Site) CrashTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.crashTimes...)
}

// AllEndpoints returns the endpoints that have been started so far.
func (s *Site) AllEndpoints() []*Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Endpoint(nil), s.Endpoints...)
}

// AddEngine starts an engine of a version.
func (s *Site) AddEngine(version string, streams Streams) error {
	return s.addEndpoint(&Endpoint{Service: site.Engines, Version: version, Streams: &streams})
}

// StreamCall is one request for a stream, or for the rest of one.
type StreamCall struct {
	// ID is the request's ID.
	ID string
	// Resumes is the ID of the request that brought the first event, and LastEvent the number of the last event received; zero values
	// are left out.
	Resumes   string
	LastEvent int
	// Path is the path of the request, and Parts its parts of a prompt, as ID:TOKENS separated by commas. An empty path is that of a
	// route whose streams callers may resume.
	Path, Parts string
	// LeaveAfter is the number of events after which the caller closes the connection; 0 means that it does not.
	LeaveAfter int
}

// StreamAnswer is what a caller gets of a stream with one request.
type StreamAnswer struct {
	// Status is the status of the answer, or 0 if there was none, and RetryAfter the time of that header.
	Status     int
	RetryAfter time.Duration
	// Versions holds the versions that wrote the events, in order. LastEvent is the number of the last one.
	Versions  []string
	LastEvent int
	// NoHost says that no process took the connection.
	NoHost bool
	// Complete says that the stream ended without an error.
	Complete bool
}

// WentOn reports whether the request brought an event, or the end of the stream.
func (a *StreamAnswer) WentOn() bool {
	return a.Status == http.StatusOK && (len(a.Versions) > 0 || a.Complete)
}

// SendStream sends one request for a stream to a host.
func (s *Site) SendStream(h *Host, c StreamCall) StreamAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	a := StreamAnswer{LastEvent: c.LastEvent}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Boot.Front+cmp.Or(c.Path, "/review/x"), strings.NewReader("prompt of "+c.ID))
	if err != nil {
		return a
	}
	req.Host = site.HostName
	for name, value := range map[string]string{
		"Heathkeel-Attempt-Id": c.ID, "Heathkeel-Deadline-Ms": "6000", "Heathkeel-Token-Count": "20,30", "Authorization": "Token " + site.Key,
	} {
		req.Header.Set(name, value)
	}
	if c.Parts != "" {
		req.Header.Set("Heathkeel-Prompt-Prefix", c.Parts)
	}
	if c.Resumes != "" {
		req.Header.Set("Resumes", c.Resumes)
	}
	if c.LastEvent > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(c.LastEvent))
	}
	resp, err := s.CallerTransport().RoundTrip(req)
	if err != nil {
		a.NoHost = errors.Is(err, syscall.ECONNREFUSED)
		return a
	}
	defer resp.Body.Close()
	a.Status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	if a.Status == http.StatusOK {
		a.readEvents(resp, c.LeaveAfter)
	}
	return a
}

// readEvents reads the events of a stream until its end, or until the caller leaves.
func (a *StreamAnswer) readEvents(resp *http.Response, leaveAfter int) {
	sc := bufio.NewScanner(resp.Body)
	id, version := 0, ""
	for sc.Scan() {
		line := sc.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			id, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			version = line[len("data: "):]
		case line == "":
			a.LastEvent, a.Versions = id, append(a.Versions, version)
			if leaveAfter > 0 && len(a.Versions) >= leaveAfter {
				return
			}
		}
	}
	a.Complete = sc.Err() == nil
}
