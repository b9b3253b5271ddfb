// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package simsite

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// Endpoint is a plain service that answers at once, or after Work.
type Endpoint struct {
	// Instance is the endpoint's name, and Version that of its software.
	Instance, Version string
	// Work is the time that a request takes.
	Work time.Duration
	// Fails decides for each request whether it is answered with an error; nil means never.
	Fails func() bool

	site     *Site
	address  string
	zone     string
	coldLeft time.Duration // as its entry says

	mu       sync.Mutex
	arrivals []Arrival
	leftAt   time.Time // when the store accepted the endpoint's leaving, zero before
	rates    []statedRate
}

// statedRate is the rate that an endpoint states in its answers from a moment on; negative means none.
type statedRate struct {
	from      time.Time
	perSecond float64
}

// Arrival is a request that reached an endpoint.
type Arrival struct {
	// From is the IP address of the host that sent the request, and ReceivedAt the time of receipt.
	From       string
	ReceivedAt time.Time
	// AfterLeaving is the time since the store accepted the endpoint's leaving, 0 if it had not.
	AfterLeaving time.Duration
	// AnsweredAt is the time of the answer, zero before, and Rate the rate stated in it, negative if none was.
	AnsweredAt time.Time
	Rate       float64
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	e.mu.Lock()
	a := Arrival{From: ip, ReceivedAt: time.Now(), Rate: -1}
	if !e.leftAt.IsZero() {
		a.AfterLeaving = time.Since(e.leftAt)
	}
	n := len(e.arrivals)
	e.arrivals = append(e.arrivals, a)
	e.mu.Unlock()
	time.Sleep(e.Work)
	e.stateRate(w, n)
	id := r.Header.Get("Heathkeel-Attempt-Id")
	w.Header().Set("Heathkeel-Attempt-Id", id)
	w.Header().Set("Heathkeel-Response-Stamp", e.Instance+"."+id)
	if e.Fails != nil && e.Fails() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write([]byte("ran " + id))
}

// StateRate makes the endpoint state in its answers, from now on, the requests a second that it takes from all
// hosts together; a negative rate ends that.
func (e *Endpoint) StateRate(perSecond float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rates = append(e.rates, statedRate{time.Now(), perSecond})
}

// stateRate adds the stated rate to the answer to arrival n.
func (e *Endpoint) stateRate(w http.ResponseWriter, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := &e.arrivals[n]
	a.AnsweredAt = time.Now()
	if len(e.rates) > 0 {
		a.Rate = e.rates[len(e.rates)-1].perSecond
	}
	if a.Rate >= 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(a.Rate, 'f', -1, 64))
	}
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
		Service: site.Plain, Address: e.address, Zone: e.zone, Version: e.Version, Slots: 8, State: state, ColdLeftMs: float64(e.coldLeft.Milliseconds()),
	})
}

// start listens and writes the endpoint's entry.
func (e *Endpoint) start(ip string) error {
	e.address = ip + ":8000"
	l, err := e.site.Net.Host(ip).Listen(context.Background(), "tcp", e.address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }()
	e.site.servers = append(e.site.servers, srv)
	e.putEntry("ready")
	return nil
}
