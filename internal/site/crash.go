// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/heathkeel/heathkeel/platform"
)

// opened notes a connection; it returns false if the endpoint has crashed.
func (e *Endpoint) opened(c net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns == nil {
		e.conns = make(map[net.Conn]bool)
	}
	e.conns[c] = true
	return !e.dead
}

// close closes a connection that is over.
func (e *Endpoint) close(c net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, c)
	_ = c.Close()
}

// kills tells whether a request crashes the endpoint.
func (e *Endpoint) kills(r *http.Request, body string) bool {
	return e.CrashText != "" && (strings.Contains(r.RequestURI, e.CrashText) || strings.Contains(body, e.CrashText))
}

// Crash ends the endpoint as the end of its process does: its port refuses connections, and those that were open are reset. It returns
// false if it had crashed before.
func (e *Endpoint) Crash() bool {
	e.mu.Lock()
	if e.dead {
		e.mu.Unlock()
		return false
	}
	e.dead = true
	_ = e.l.Close()
	for c := range e.conns {
		reset(c)
	}
	e.mu.Unlock()
	if e.OnCrash != nil {
		e.OnCrash()
	}
	return true
}

// CrashingService is a service whose endpoints crash under some requests and start again under other names. The exported fields must
// be set before Start.
type CrashingService struct {
	// Site holds the endpoints' entries.
	Site *Site
	// Service is the service's name, and Model an endpoint of it; its name is the first part of the others'.
	Service  string
	Template Endpoint
	// RestartDelay is the time from a crash to the start of the next endpoint and the end of the old one's entry.
	RestartDelay time.Duration

	mu        sync.Mutex
	endpoints []*Endpoint
	crashes   []time.Time
	stopped   bool
}

// Start starts some endpoints.
func (f *CrashingService) Start(n int) error {
	for range n {
		if err := f.add(); err != nil {
			return err
		}
	}
	return nil
}

// add starts an endpoint.
func (f *CrashingService) add() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return nil
	}
	m := &f.Template
	e := &Endpoint{
		Instance: fmt.Sprintf("%s-%d", m.Instance, len(f.endpoints)), Events: m.Events, Pace: m.Pace, CrashText: m.CrashText, CrashDelay: m.CrashDelay, AnswersBeforeCrash: m.AnswersBeforeCrash,
	}
	e.OnCrash = func() { f.crashed(e) }
	f.endpoints = append(f.endpoints, e)
	return f.Site.AddEndpoint(f.Service, e)
}

// crashed notes a crash and starts another endpoint later.
func (f *CrashingService) crashed(e *Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, time.Now())
	time.AfterFunc(f.RestartDelay, func() {
		f.Site.Store.Remove(platform.PrefixEndpoints + e.Instance)
		if err := f.add(); err != nil {
			f.Site.Log.Error(err, "endpoint does not start again")
		}
	})
}

// CrashRunning crashes an endpoint that works on a request whose body holds a text; it returns false if none does.
func (f *CrashingService) CrashRunning(text string) bool {
	f.mu.Lock()
	all := append([]*Endpoint(nil), f.endpoints...)
	f.mu.Unlock()
	for _, e := range all {
		for _, r := range e.Runs() {
			if r.EndedAt.IsZero() && strings.Contains(r.Body, text) && e.Crash() {
				return true
			}
		}
	}
	return false
}

// CrashOldest crashes the endpoint that has run for the longest time.
func (f *CrashingService) CrashOldest() {
	f.mu.Lock()
	all := append([]*Endpoint(nil), f.endpoints...)
	f.mu.Unlock()
	for _, e := range all {
		if e.Crash() {
			return
		}
	}
}

// Stop ends all endpoints.
func (f *CrashingService) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	for _, e := range f.endpoints {
		e.Stop()
	}
}

// CrashTimes tells when endpoints crashed, in order.
func (f *CrashingService) CrashTimes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.crashes...)
}

// CountRuns counts the runs of requests, at all endpoints, whose body holds a text.
func (f *CrashingService) CountRuns(text string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.endpoints {
		for _, r := range e.Runs() {
			if strings.Contains(r.Body, text) {
				n++
			}
		}
	}
	return n
}
