// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package simsite

import (
	"net/http"
	"strconv"
	"time"
)

// wishes is what an endpoint says in its answers about itself.
type wishes struct {
	leaving  bool
	rest     time.Duration // the rest that it asks for
	busyTill time.Time     // until then it turns all requests away and asks for rest
	whenFull bool          // it asks for rest when it has no room
}

// SayLeaving makes the endpoint say in all its answers, from now on, that it leaves. Its entry stays as it is.
func (e *Endpoint) SayLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.wishes.leaving = true
}

// AskRest makes the endpoint turn all requests away for a time, and ask each host for rest.
func (e *Endpoint) AskRest(busyFor, rest time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.wishes.busyTill, e.wishes.rest = time.Now().Add(busyFor), rest
}

// AskRestWhenFull makes the endpoint let only room requests wait, and ask each host for rest that it turns away for lack of room.
func (e *Endpoint) AskRestWhenFull(room int, rest time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Room, e.wishes.rest, e.wishes.whenFull = room, rest, true
}

// stateLeaving says in the answer to arrival n whether the endpoint leaves, and records the answer; mu must be held.
func (e *Endpoint) stateLeaving(w http.ResponseWriter, n int) {
	a := &e.arrivals[n]
	a.AnsweredAt, a.SaidLeaving = time.Now(), e.wishes.leaving
	if a.SaidLeaving {
		w.Header().Set("Server-Leaving", "1")
	}
}

// turnAway turns arrival n away if the endpoint is busy, and asks for rest.
func (e *Endpoint) turnAway(w http.ResponseWriter, r *http.Request, n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !time.Now().Before(e.wishes.busyTill) {
		return false
	}
	e.stateLeaving(w, n)
	e.stateRest(w, n)
	writeNotExecuted(w, r)
	return true
}

// stateRest asks for rest in the answer to arrival n; mu must be held.
func (e *Endpoint) stateRest(w http.ResponseWriter, n int) {
	e.arrivals[n].Rest = e.wishes.rest
	w.Header().Set("Retry-After", strconv.FormatFloat(e.wishes.rest.Seconds(), 'f', -1, 64))
}
