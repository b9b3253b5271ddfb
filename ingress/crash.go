// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/quarantine"
)

// Times of crash probes.
const (
	// maxProbeWait is the time that a request that may be retried waits for the result: some round trips between zones. A later
	// result counts for its next attempt.
	maxProbeWait = 100 * time.Millisecond
	// probeTTL is the time for which a result applies to other sends lost at the same endpoint.
	probeTTL = 200 * time.Millisecond
)

// crashes records which requests endpoints crashed under. It probes an endpoint that loses a request, and holds the findings of
// all hosts.
type crashes struct {
	now         func() time.Duration
	dial        func(ctx context.Context, address string) error
	log         logr.Logger
	notifyPeers func() // triggers a heartbeat to the other hosts
	// records stores what outlasts all hosts, or is nil.
	records Records

	mu       sync.Mutex
	registry quarantine.Registry    // of whole requests
	parts    quarantine.Registry    // of parts of prompts
	probes   map[string]*crashProbe // by incarnation
}

// subject is what crashes of endpoints are booked on: a request, or a part of its prompt.
type subject struct {
	registry    *quarantine.Registry
	fingerprint quarantine.Fingerprint
	description string // for operators
}

// subjects returns the request and the parts of its prompt that other requests may share. The body must have been read.
func (c *call) subjects() []subject {
	return append([]subject{c.requestSubject()}, c.partSubjects()...)
}

// requestSubject returns the request as what crashes are booked on.
func (c *call) requestSubject() subject {
	return subject{&c.s.crashes.registry, c.fingerprint(), c.summary()}
}

// partSubjects returns the parts of the request's prompt that other requests may share.
func (c *call) partSubjects() []subject {
	if c.cachedParts != nil {
		return c.cachedParts
	}
	c.cachedParts = []subject{}
	for _, id := range quarantine.SharedParts(c.r.Header.Get(c.s.Headers.PromptParts)) {
		p := quarantine.Part{Service: c.service.Name, ID: id}
		c.cachedParts = append(c.cachedParts, subject{&c.s.crashes.parts, p.Fingerprint(), "prompt part " + id + " at service " + p.Service})
	}
	return c.cachedParts
}

// suspects returns those of a request's subjects on whose kind any crash is booked; mu must be held. Where there is none, no body is
// hashed.
func (k *crashes) suspects(c *call) []subject {
	var out []subject
	if !k.registry.Empty() {
		out = append(out, c.requestSubject())
	}
	if !k.parts.Empty() {
		out = append(out, c.partSubjects()...)
	}
	return out
}

// registries returns both registries.
func (k *crashes) registries() [2]*quarantine.Registry {
	return [2]*quarantine.Registry{&k.registry, &k.parts}
}

// crashProbe finds out whether an endpoint has crashed.
type crashProbe struct {
	startedAt time.Duration
	done      chan struct{}
	crashed   bool // valid once done is closed
	losses    []loss
}

// loss is a request that an endpoint lost.
type loss struct {
	subjects     []subject
	requestAge   time.Duration
	noResponse   bool
	inconclusive bool // the endpoint was leaving, or this process did not run for a while
}

// noteLost records that an endpoint lost a request, and probes the endpoint: its process has ended if its port refuses
// connections, or if a later incarnation is listed soon. The lost connection alone does not show it: a reset connection, a
// response that breaks off and a network partition look the same. An endpoint that leaves ends without a crash, and a request
// lost while this process did not run may have been answered: such a loss is inconclusive. The caller may wait for done.
func (k *crashes) noteLost(c *call, gapSeen bool) (done <-chan struct{}) {
	now, incarnation := k.now(), c.endpoint.Incarnation()
	l := loss{
		subjects: c.subjects(), requestAge: now - c.timings.lastSent, noResponse: !c.firstOutputSeen, inconclusive: gapSeen || c.s.balance.isLeaving(incarnation),
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	probe := k.probes[incarnation]
	if probe != nil && (probe.crashed || now-probe.startedAt < probeTTL) {
		select {
		case <-probe.done:
			if probe.crashed {
				k.noteCrash(&l, incarnation, probe.startedAt)
			}
		default:
			probe.losses = append(probe.losses, l)
		}
		return probe.done
	}
	probe = &crashProbe{startedAt: now, done: make(chan struct{}), losses: []loss{l}}
	k.probes[incarnation] = probe
	go k.runProbe(probe, incarnation, c.endpoint.Address)
	return probe.done
}

// noteRestarted records that an incarnation of an endpoint has ended, since a later one is listed. The endpoint crashed under the
// requests that it lost shortly before, even if its port accepted connections again when it was probed.
func (k *crashes) noteRestarted(incarnation string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	probe := k.probes[incarnation]
	if probe == nil || probe.crashed || k.now()-probe.startedAt > restartWindow {
		return
	}
	probe.crashed = true
	for i := range probe.losses {
		k.noteCrash(&probe.losses[i], incarnation, probe.startedAt)
	}
}

// restartWindow is the time within which the successor of a crashed incarnation is listed: an endpoint writes its entry every
// 1.2 s, and hosts read within 0.9 s.
const restartWindow = 3 * time.Second

// errCutOff means that connections are refused because the host reaches no endpoint.
var errCutOff = eris.New("this host reaches no endpoint")

// dialCrashed opens a connection to an endpoint that lost a request. A refusal by the paths of a host that reaches no endpoint is not
// the endpoint's.
func (s *Server) dialCrashed(ctx context.Context, address string) error {
	begun := s.Now()
	err := s.pool.Warm(ctx, address)
	s.paths.connected(address, begun, err)
	if err != nil && s.paths.isCutOff() {
		return errCutOff
	}
	return err
}

// runProbe dials an endpoint; it has crashed if the connection is refused.
func (k *crashes) runProbe(probe *crashProbe, incarnation, address string) {
	err := k.dial(context.Background(), address)
	k.mu.Lock()
	defer k.mu.Unlock()
	defer close(probe.done)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	k.log.Info("endpoint asked whether it is still there", "endpoint", incarnation, "refused", refused, "requests", len(probe.losses))
	if probe.crashed || !refused {
		return
	}
	probe.crashed = true
	for i := range probe.losses {
		k.noteCrash(&probe.losses[i], incarnation, probe.startedAt)
	}
}

// noteCrash records that an endpoint crashed under a request; mu must be held.
func (k *crashes) noteCrash(l *loss, incarnation string, at time.Duration) {
	for i := range l.subjects {
		k.noteSubjectCrash(l, &l.subjects[i], incarnation, at)
	}
}

// noteSubjectCrash records that an endpoint crashed under a request or a part of its prompt; mu must be held.
func (k *crashes) noteSubjectCrash(l *loss, sub *subject, incarnation string, at time.Duration) {
	reg, f := sub.registry, sub.fingerprint
	_, before := reg.Held(k.now(), f)
	if reg.NoteCrash(k.now(), f, quarantine.Termination{Incarnation: incarnation, At: at, RequestAge: l.requestAge, NoResponse: l.noResponse, Inconclusive: l.inconclusive, Request: sub.description}) {
		k.notifyPeers()
		if v := reg.Verdict(k.now(), f); v.Crashes > 1 {
			k.log.Info("endpoint ended under a request again", "fingerprint", f.String(), "request", sub.description, "endpoint", incarnation, "ran_ms", l.requestAge.Milliseconds(),
				"ends", v.Crashes, "mute", v.NoResponse, "surprise", v.Surprisal, "on_trial", reg.OnTrial(k.now(), f))
		}
	}
	if left, held := reg.Held(k.now(), f); held && !before {
		k.log.Info("request held: endpoints crash under it", "fingerprint", f.String(), "request", sub.description, "endpoints", reg.Incarnations(f), "held_s", left.Seconds())
	}
}

// noteAnswer records that a request was answered completely, which clears it. A success clears the parts of its prompt too.
func (k *crashes) noteAnswer(c *call) {
	k.mu.Lock()
	defer k.mu.Unlock()
	cleared := !k.registry.Empty() && k.registry.NoteAnswer(k.now(), c.fingerprint())
	if c.succeeded {
		for _, sub := range c.partSubjects() {
			cleared = k.parts.NoteAnswer(k.now(), sub.fingerprint) || cleared
		}
	}
	if cleared {
		k.notifyPeers()
	}
}

// heldState says that a request is refused because endpoints crash under it or a part of its prompt.
type heldState struct {
	subject    subject
	retryAfter time.Duration // when it may be retried
	endpoints  int           // that crashed
}

// held returns why a request is refused, or nil. What was granted to the send is left out.
func (k *crashes) held(c *call) *heldState {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, sub := range k.suspects(c) {
		if slices.Contains(c.granted, sub.fingerprint) {
			continue
		}
		if _, held := sub.registry.Held(k.now(), sub.fingerprint); held {
			return &heldState{sub, sub.registry.RetryAfter(k.now(), sub.fingerprint), len(sub.registry.Incarnations(sub.fingerprint))}
		}
	}
	return nil
}

// summary describes the request for operators, in at most maxSummary bytes.
func (c *call) summary() string {
	workspace := "no workspace"
	if c.workspace != nil {
		workspace = c.workspace.Name
	}
	s := fmt.Sprintf("%s %s%s of %s", c.r.Method, c.r.Host, c.uri, workspace)
	return s[:min(len(s), maxSummary)]
}

// maxSummary limits the description of a request, in bytes.
const maxSummary = 200

// sweep drops expired state.
func (k *crashes) sweep(endpoints int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, reg := range k.registries() {
		reg.Endpoints = endpoints
		reg.Sweep(k.now())
	}
	for incarnation, probe := range k.probes {
		if k.now()-probe.startedAt > crashedProbeTTL {
			delete(k.probes, incarnation)
		}
	}
}

// crashedProbeTTL is the time after which a crashed endpoint is forgotten: its entry is gone by then.
const crashedProbeTTL = time.Minute

// checkHeld refuses a request under which endpoints crash, or whose prompt has a part under which they do.
func (c *call) checkHeld() *refusal {
	h := c.s.crashes.held(c)
	if h == nil {
		return nil
	}
	c.s.Count.Held.Add(1)
	f := &refusal{status: http.StatusServiceUnavailable, retryAfter: h.retryAfter, kind: outcome.Held}
	if h.subject.registry.Parts {
		c.s.Count.PartsHeld.Add(1)
		f.why = fmt.Sprintf("%d endpoints crashed while they ran requests with a part of this prompt (%s, %s); do not send it again with that part", h.endpoints, h.subject.description, h.subject.fingerprint)
	} else {
		f.why = fmt.Sprintf("%d endpoints crashed while they ran this request (%s); do not send it again unchanged", h.endpoints, h.subject.fingerprint)
	}
	return f
}

// SetCrashNotifier sets the callback that makes the host report crashes to the other hosts soon; call it before the first request.
func (s *Server) SetCrashNotifier(notifyPeers func()) { s.crashes.notifyPeers = notifyPeers }

// Crashes returns the evidence about requests under which endpoints crashed, and about parts of prompts, to be sent to other hosts.
func (s *Server) Crashes(to quarantine.Scope) quarantine.Evidence {
	k := &s.crashes
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.registry.Outgoing(k.now(), to)
	if parts := k.parts.Outgoing(k.now(), to); !parts.Empty() {
		e.Parts = &parts
	}
	return e
}

// MergeCrashes merges another host's evidence about requests under which endpoints crashed, and about parts of prompts. It returns true
// if some of it is new.
func (s *Server) MergeCrashes(t *quarantine.Evidence) bool {
	k := &s.crashes
	k.mu.Lock()
	defer k.mu.Unlock()
	news := k.registry.Merge(k.now(), t)
	if t.Parts != nil {
		news = k.parts.Merge(k.now(), t.Parts) || news
	}
	return news
}

// SuspectCounts returns the number of requests and parts of prompts under which endpoints crashed, and how many of them are refused now.
func (s *Server) SuspectCounts() (suspects, held int) {
	k := &s.crashes
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, reg := range k.registries() {
		suspects += reg.Suspects()
		held += reg.CountHeld(k.now())
	}
	return suspects, held
}

// UnsavedRecords returns the records of requests and parts on trial and held that are to be written to the store, which outlasts all
// hosts.
func (s *Server) UnsavedRecords() []quarantine.Record {
	k := &s.crashes
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []quarantine.Record
	for _, reg := range k.registries() {
		out = append(out, reg.Unsaved(k.now(), time.Now().UnixMilli())...)
	}
	return out
}

// RecordsToRemove returns the requests and parts whose records this host is to remove, each once, and how long ago they were answered.
func (s *Server) RecordsToRemove() []quarantine.Clear {
	k := &s.crashes
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []quarantine.Clear
	for _, reg := range k.registries() {
		out = append(out, reg.TakeRecordsToRemove(k.now())...)
	}
	return out
}

// Restore applies a stored record.
func (s *Server) Restore(r *quarantine.Record) { s.crashes.restore(r) }

// Suspects lists the requests and parts of prompts under which endpoints crashed, for operators.
func (s *Server) Suspects() []quarantine.Entry {
	k := &s.crashes
	k.mu.Lock()
	defer k.mu.Unlock()
	out := []quarantine.Entry{}
	for _, reg := range k.registries() {
		out = append(out, reg.List(k.now())...)
	}
	quarantine.SortEntries(out)
	return out
}

// Release lets a request, or all requests with a part of prompts, run again on all hosts, as a complete response would. It returns false
// if nothing is suspected under the fingerprint.
func (s *Server) Release(f quarantine.Fingerprint) bool {
	k := &s.crashes
	k.mu.Lock()
	defer k.mu.Unlock()
	released := false
	for _, reg := range k.registries() {
		if reg.Suspected(f) {
			released = reg.NoteAnswer(k.now(), f) || released
		}
	}
	if released {
		k.log.Info("request released by an operator", "fingerprint", f.String())
		k.notifyPeers()
	}
	return released
}
