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

// addConn registers a connection. It returns false if the endpoint has crashed.
func (e *Endpoint) addConn(c net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns == nil {
		e.conns = make(map[net.Conn]bool)
	}
	e.conns[c] = true
	return !e.crashed
}

// closeConn closes a connection and removes it from the open ones.
func (e *Endpoint) closeConn(c net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, c)
	delete(e.late, c)
	_ = c.Close()
}

// crashesOn reports whether a request crashes the endpoint.
func (e *Endpoint) crashesOn(r *http.Request, body string) bool {
	return e.CrashText != "" && (strings.Contains(r.RequestURI, e.CrashText) || strings.Contains(body, e.CrashText) || strings.Contains(r.Header.Get("Heathkeel-Prompt-Prefix"), e.CrashText))
}

// Crash simulates the end of the endpoint's process: its port refuses connections, and open
// connections are reset. It returns false if the endpoint had crashed before.
func (e *Endpoint) Crash() bool { return e.crash(resetConn) }

// Kill simulates the end of the endpoint's process while nothing that it was sent is unread: its port refuses connections, and open
// connections are closed in order. It returns false if the endpoint had crashed before.
func (e *Endpoint) Kill() bool {
	return e.crash(func(c net.Conn) { _ = c.Close() })
}

// crash ends the endpoint and its open connections.
func (e *Endpoint) crash(endConn func(net.Conn)) bool {
	e.mu.Lock()
	if e.crashed {
		e.mu.Unlock()
		return false
	}
	e.crashed = true
	_ = e.l.Close()
	for c := range e.conns {
		endConn(c)
	}
	e.mu.Unlock()
	if e.OnCrash != nil {
		e.OnCrash()
	}
	return true
}

// CrashingService is a service whose endpoints crash under some requests and are replaced by
// endpoints with other names. The exported fields must be set before Start.
type CrashingService struct {
	// Site holds the endpoints' entries.
	Site *Site
	// Service is the name of the service. Template holds the properties of its endpoints; its
	// instance name is the prefix of theirs.
	Service  string
	Template Endpoint
	// RestartDelay is the time from a crash until the crashed endpoint's entry is removed and the
	// next endpoint starts.
	RestartDelay time.Duration

	mu         sync.Mutex
	endpoints  []*Endpoint
	crashTimes []time.Time
	stopped    bool
}

// Start starts n endpoints.
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
	e.OnCrash = func() { f.noteCrash(e) }
	f.endpoints = append(f.endpoints, e)
	return f.Site.AddEndpoint(f.Service, e)
}

// noteCrash records a crash and starts a replacement after RestartDelay.
func (f *CrashingService) noteCrash(e *Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashTimes = append(f.crashTimes, time.Now())
	time.AfterFunc(f.RestartDelay, func() {
		f.Site.Store.Remove(platform.PrefixEndpoints + e.Instance)
		if err := f.add(); err != nil {
			f.Site.Log.Error(err, "replacement of a crashed endpoint does not start")
		}
	})
}

// CrashRunning crashes an endpoint that works on a request whose body contains text. It returns
// false if there is none.
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

// Stop stops all endpoints.
func (f *CrashingService) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	for _, e := range f.endpoints {
		e.Stop()
	}
}

// CrashTimes returns the times of the crashes, in order.
func (f *CrashingService) CrashTimes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.crashTimes...)
}

// CountRuns counts the requests whose body contains text that all endpoints ran.
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
