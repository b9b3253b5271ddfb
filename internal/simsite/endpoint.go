// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package simsite

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// Endpoint is a plain service that answers at once, or after Work, or an engine.
type Endpoint struct {
	// Instance is the endpoint's name, Service that of its service, and Version that of its software.
	Instance, Service, Version string
	// Streams makes the endpoint an engine; nil means that it is a plain service.
	Streams *Streams
	// Work is the time that a request takes.
	Work time.Duration
	// Room is the number of requests that wait while all slots are taken; further ones are rejected. 0 means no limit on requests.
	Room int
	// Fails decides for each request whether it is answered with an error; nil means never.
	Fails func() bool
	// Unframed makes the answers of a plain service end with their connection, without a length or chunks.
	Unframed bool
	// Slowdown is the factor by which Work takes longer now; nil means 1. StatesLoad makes the endpoint state its load and that factor in its
	// answers.
	Slowdown   func() float64
	StatesLoad bool
	// Rejects returns the status, 503 or 421, with which the next request is answered and not run, or 0 if it is to run; nil means 0.
	Rejects func() int
	// Copies says for each answer whether and when it is sent once more; nil means never.
	Copies func() CopyTime

	site     *Site
	server   *http.Server
	listener net.Listener
	ip       string
	address  string
	zone     string
	coldLeft time.Duration // as its entry says
	unlisted bool          // it has no entry

	mu       sync.Mutex
	arrivals []Arrival
	crashed  bool
	leftAt   time.Time // when the store accepted the endpoint's leaving, zero before
	// pausedUntil is when the endpoint writes again.
	pausedUntil time.Time
	rates       []statedRate
	wishes      wishes
	overload    overload
}

// overload is the state of an endpoint that may crash.
type overload struct {
	running int           // requests that run or wait
	slots   chan struct{} // one entry for each request that runs
	// maxRejects is the number of requests that the endpoint may reject within a second; with one more it crashes. It says so in its
	// answers. 0 means that it does not crash.
	maxRejects int
	rejects    []time.Time // of the last second
	downUntil  time.Time
	crashes    int
}

// healthPath is the path at which endpoints answer which instance they are, as in site.Example.
const healthPath = "/healthz"

// slots is the number of requests that an endpoint runs at once, as its entry says.
const slots = 8

// downTime is the time for which an endpoint that crashed answers nothing.
const downTime = 4 * time.Second

// statedRate is the rate that an endpoint states in its answers from a moment on; negative means none.
type statedRate struct {
	from      time.Time
	perSecond float64
}

// Arrival is a request that reached an endpoint.
type Arrival struct {
	// ID is the request's ID, From the IP address of the host that sent the request, and ReceivedAt the time of receipt.
	ID, From   string
	ReceivedAt time.Time
	// AfterLeaving is the time since the store accepted the endpoint's leaving, 0 if it had not.
	AfterLeaving time.Duration
	// Conn names the connection by the host's end of it, and Ran says that the endpoint began to run the request.
	Conn string
	Ran  bool
	// AnsweredAt is the time of the answer, zero before, and Rate the rate stated in it, negative if none was.
	AnsweredAt time.Time
	Rate       float64
	// SaidLeaving says that the answer said that the endpoint leaves, and Rest is the time of rest that it asked for, 0 for none.
	SaidLeaving bool
	Rest        time.Duration
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Heathkeel-Expect-Instance"); expected != "" && expected != e.Instance {
		writeNotRun(w, r, http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == healthPath {
		w.Header().Set("Heathkeel-Instance-Id", e.Instance)
		return
	}
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	e.mu.Lock()
	a := Arrival{ID: r.Header.Get("Heathkeel-Attempt-Id"), From: ip, Conn: r.RemoteAddr, ReceivedAt: time.Now(), Rate: -1}
	if !e.leftAt.IsZero() {
		a.AfterLeaving = time.Since(e.leftAt)
	}
	n := len(e.arrivals)
	e.arrivals = append(e.arrivals, a)
	e.mu.Unlock()
	e.awaitPauses()
	if !e.enter() {
		panic(http.ErrAbortHandler)
	}
	if e.rejectByChance(w, r) || e.turnAway(w, r, n) || e.reject(w, r, n) {
		return
	}
	e.noteRun(n)
	if e.Streams != nil {
		defer e.leaveSlot()
		e.state(w, n)
		e.setHead(w, r)
		e.stream(w, r)
		return
	}
	if !e.work(r) {
		panic(http.ErrAbortHandler)
	}
	e.awaitPauses()
	e.state(w, n)
	id := e.setHead(w, r)
	if e.Fails != nil && e.Fails() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if e.Unframed {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	_, _ = w.Write([]byte("ran " + id))
}

// noteRun records that arrival n runs.
func (e *Endpoint) noteRun(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals[n].Ran = true
}

// setHead sets the header of the endpoint's own answer and returns the request's ID.
func (e *Endpoint) setHead(w http.ResponseWriter, r *http.Request) string {
	id := r.Header.Get("Heathkeel-Attempt-Id")
	w.Header().Set("Heathkeel-Attempt-Id", id)
	w.Header().Set("Heathkeel-Response-Stamp", e.Instance+"."+id)
	return id
}

// leaveSlot records that a request runs and waits no longer.
func (e *Endpoint) leaveSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.overload.running--
}

// enter reports whether the endpoint is up.
func (e *Endpoint) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !time.Now().Before(e.overload.downUntil)
}

// reject rejects a request if there is no room for it. An endpoint that rejects too many crashes.
func (e *Endpoint) reject(w http.ResponseWriter, r *http.Request, n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := &e.overload
	if o.maxRejects > 0 {
		w.Header().Set("Server-Brittle", strconv.Itoa(o.maxRejects))
	}
	if e.Room == 0 || o.running < slots+e.Room {
		o.running++
		return false
	}
	now := time.Now()
	o.rejects = slices.DeleteFunc(o.rejects, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	o.rejects = append(o.rejects, now)
	if o.maxRejects > 0 && len(o.rejects) > o.maxRejects {
		o.crashes++
		o.rejects, o.downUntil = nil, now.Add(downTime)
	}
	e.stateLeaving(w, n)
	if e.wishes.whenFull {
		e.stateRest(w, n)
	}
	writeNotExecuted(w, r)
	return true
}

// writeNotExecuted answers that the request was not run.
func writeNotExecuted(w http.ResponseWriter, r *http.Request) {
	writeNotRun(w, r, http.StatusServiceUnavailable)
}

// writeNotRun answers with a status that the request was not run.
func writeNotRun(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("Heathkeel-Attempt-Id", r.Header.Get("Heathkeel-Attempt-Id"))
	w.Header().Set("Heathkeel-Not-Executed", "1")
	w.WriteHeader(status)
}

// work runs a request once there is a slot for it, and reports whether it ran to its end.
func (e *Endpoint) work(r *http.Request) bool {
	defer e.leaveSlot()
	if e.Room > 0 {
		select {
		case e.overload.slots <- struct{}{}:
			defer func() { <-e.overload.slots }()
		case <-r.Context().Done():
			return false
		}
	}
	select {
	case <-time.After(time.Duration(float64(e.Work) * e.slowdown())):
	case <-r.Context().Done():
		return false
	}
	return e.enter()
}

// LimitRejects makes the endpoint let only room requests wait, and crash when it rejects more than maxRejects within a second. It
// says the latter in its answers from now on, and lets fewer wait after a notice.
func (e *Endpoint) LimitRejects(maxRejects, room int, notice time.Duration) {
	e.mu.Lock()
	e.overload.maxRejects = maxRejects
	e.mu.Unlock()
	time.AfterFunc(notice, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.Room = room
	})
}

// Crashes returns how often the endpoint crashed.
func (e *Endpoint) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overload.crashes
}

// StateRate makes the endpoint state in its answers, from now on, the requests a second that it takes from all
// hosts together; a negative rate ends that.
func (e *Endpoint) StateRate(perSecond float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rates = append(e.rates, statedRate{time.Now(), perSecond})
}

// state adds what the endpoint states to the answer to arrival n.
func (e *Endpoint) state(w http.ResponseWriter, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stateLeaving(w, n)
	if e.StatesLoad {
		running := min(e.overload.running, slots)
		w.Header().Set("Heathkeel-Server-Load", fmt.Sprintf("%d,%d,%d,%.0f", running, e.overload.running-running, slots, 100*e.slowdown()))
	}
	a := &e.arrivals[n]
	if len(e.rates) > 0 {
		a.Rate = e.rates[len(e.rates)-1].perSecond
	}
	if a.Rate >= 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(a.Rate, 'f', -1, 64))
	}
}

// slowdown returns the factor by which work takes longer now.
func (e *Endpoint) slowdown() float64 {
	if e.Slowdown == nil {
		return 1
	}
	return e.Slowdown()
}

// Zone returns the endpoint's availability zone.
func (e *Endpoint) Zone() string { return e.zone }

// Arrivals returns the requests received so far.
func (e *Endpoint) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Arrival(nil), e.arrivals...)
}

// Leave makes the endpoint leave: with announced set its entry is marked as draining, otherwise the
// entry is removed. The endpoint continues to serve.
func (e *Endpoint) Leave(announced bool) {
	if announced {
		e.putEntry("draining")
	} else {
		e.site.Store.Remove(platform.PrefixEndpoints + e.Instance)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leftAt = time.Now()
}

// AnnounceAgain writes once more that the endpoint leaves, as it does after the store has lost that.
func (e *Endpoint) AnnounceAgain() { e.putEntry("draining") }

// Lapse removes the entry of an endpoint that continues to serve, as the store does after an outage in
// which the endpoint could not renew it.
func (e *Endpoint) Lapse() { e.site.Store.Remove(platform.PrefixEndpoints + e.Instance) }

// Renew writes the endpoint's entry again.
func (e *Endpoint) Renew() { e.putEntry("ready") }

// TurnCold writes the endpoint's entry as one that is cold for d.
func (e *Endpoint) TurnCold(d time.Duration) {
	e.coldLeft = d
	e.putEntry("ready")
}

// putEntry writes the endpoint's entry with the given state.
func (e *Endpoint) putEntry(state string) {
	e.site.Store.Put(platform.PrefixEndpoints+e.Instance, site.EndpointEntry{
		Service: e.Service, Address: e.address, Zone: e.zone, Version: e.Version, Slots: slots, State: state, ColdLeftMs: float64(e.coldLeft.Milliseconds()),
	})
}

// start listens and writes the endpoint's entry.
func (e *Endpoint) start(ip string) error {
	e.ip, e.address = ip, ip+":8000"
	l, err := e.site.Net.Host(ip).Listen(context.Background(), "tcp", e.address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	if e.Copies != nil {
		l = copyingListener{l, e.Copies}
	}
	go func() { _ = srv.Serve(l) }()
	e.server, e.listener = srv, l
	if !e.unlisted {
		e.putEntry("ready")
	}
	return nil
}
