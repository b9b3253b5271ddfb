// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"net/http"
	"sync"
	"sync/atomic"
)

// maxLoggedHeaders limits the header names that are logged: an endpoint may invent a name for each response.
const maxLoggedHeaders = 32

// headerLog logs the names of response headers that the host does not read, each once. An endpoint that begins to send one asks for
// something that this version cannot do, such as a limit on its requests.
type headerLog struct {
	mu    sync.Mutex                      // serializes changes of known
	known atomic.Pointer[map[string]bool] // names that are read or were logged; replaced as a whole
	count int                             // names logged
}

// commonHeaders are response headers that need no log line, in addition to those of Headers.
var commonHeaders = append([]string{"Cache-Control", "Content-Encoding", "Content-Type", "Date", "Retry-After", "Server", "Vary"}, hopByHop...)

// init sets the names that are read.
func (l *headerLog) init(h *Headers) {
	known := make(map[string]bool)
	for _, list := range [][]string{commonHeaders, h.Known, {h.AttemptID, h.ResponseStamp, h.NotExecuted, h.LastEvent, h.Rate, h.Rejects, h.Load, h.Leaving}} {
		for _, name := range list {
			known[http.CanonicalHeaderKey(name)] = true
		}
	}
	l.known.Store(&known)
}

// unread returns the names in a response header that are neither read nor logged before, and marks them as logged.
func (l *headerLog) unread(h http.Header) []string {
	var out []string
	known := *l.known.Load()
	for name := range h {
		if !known[name] {
			out = append(out, name)
		}
	}
	if len(out) == 0 {
		return nil
	}
	return l.mark(out)
}

// mark marks names as logged and returns those that were not marked before.
func (l *headerLog) mark(names []string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := *l.known.Load()
	next := make(map[string]bool, len(old)+len(names))
	for name := range old {
		next[name] = true
	}
	var out []string
	for _, name := range names {
		if !next[name] && l.count < maxLoggedHeaders {
			next[name] = true
			l.count++
			out = append(out, name)
		}
	}
	l.known.Store(&next)
	return out
}

// logUnreadHeaders logs response headers of the call's endpoint that this host does not read.
func (c *call) logUnreadHeaders(h http.Header) {
	if names := c.s.unreadHeaders.unread(h); len(names) > 0 {
		c.s.Log.Info("endpoint sent headers that are not read", "endpoint", c.endpoint.Instance, "headers", names)
	}
}
