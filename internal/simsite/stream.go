// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package simsite

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
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
}

// stream answers a request with the events that follow the last one of the caller. The data of each is the endpoint's version.
func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request) {
	breakAfter := 0
	if e.Streams.BreakAfter != nil {
		breakAfter = e.Streams.BreakAfter()
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for n := last + 1; n <= e.Streams.Events; n++ {
		select {
		case <-time.After(e.Streams.Pace):
		case <-r.Context().Done():
			return
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

// AddEngine starts an engine of a version.
func (s *Site) AddEngine(version string, streams Streams) error {
	e := s.newEndpoint(version)
	e.Service, e.Streams = site.Engines, &streams
	return s.addEndpoint(e)
}

// StreamCall is one request for a stream, or for the rest of one.
type StreamCall struct {
	// ID is the request's ID.
	ID string
	// Resumes is the ID of the request that brought the first event, and LastEvent the number of the last event received; zero values
	// are left out.
	Resumes   string
	LastEvent int
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
	// Complete says that the stream ended without an error.
	Complete bool
}

// SendStream sends one request for a stream to a host.
func (s *Site) SendStream(h *Host, c StreamCall) StreamAnswer {
	t := &http.Transport{DialContext: s.Net.Host(callerIP).DialContext, DisableKeepAlives: true, DisableCompression: true}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	a := StreamAnswer{LastEvent: c.LastEvent}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Boot.Front+"/review/x", strings.NewReader("prompt"))
	if err != nil {
		return a
	}
	req.Host = site.HostName
	for name, value := range map[string]string{
		"Heathkeel-Attempt-Id": c.ID, "Heathkeel-Deadline-Ms": "6000", "Heathkeel-Token-Count": "20,30", "Authorization": "Token " + site.Key,
	} {
		req.Header.Set(name, value)
	}
	if c.Resumes != "" {
		req.Header.Set("Resumes", c.Resumes)
	}
	if c.LastEvent > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(c.LastEvent))
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
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
