// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/quarantine"
)

// Figures of the question whether an endpoint has crashed.
const (
	// verdictWait is the time for which a request that may go on elsewhere waits for the answer: some round trips between
	// zones. What comes later counts for its next attempt.
	verdictWait = 100 * time.Millisecond
	// inquiryLife is the time for which an answer holds for other sends that were lost at that endpoint.
	inquiryLife = 200 * time.Millisecond
)

// crashes knows which requests endpoints crashed under: it asks endpoints whether they are still there when they lose a
// request, and holds what all hosts found.
type crashes struct {
	now  func() time.Duration
	dial func(ctx context.Context, address string) error
	log  logr.Logger
	tell func() // tells the other hosts soon
	// records keeps what outlasts all hosts, or is nil.
	records Records

	mu        sync.Mutex
	book      quarantine.Registry
	inquiries map[string]*inquiry // by life
}

// inquiry is the question whether an endpoint has crashed.
type inquiry struct {
	began   time.Duration
	done    chan struct{}
	crashed bool // valid once done is closed
	under   []loss
}

// loss is a request that an endpoint lost.
type loss struct {
	print   quarantine.Fingerprint
	ran     time.Duration
	mute    bool
	unsure  bool // the endpoint was leaving, or this process did not run for a while
	request string
}

// lost notes that an endpoint lost a request, and asks it whether it is still there: its process has ended if its port
// refuses connections, or if a later life of it is told soon. A connection that is reset, an answer that breaks off and a network that
// is cut look the same on the connection that was lost. An endpoint that leaves ends without a crash, and what was lost while this process did not run
// may have been answered: such an end is unsure. The caller may wait for done.
func (k *crashes) lost(c *call, slept bool) (done <-chan struct{}) {
	now, life := k.now(), c.at.Incarnation()
	l := loss{
		print: c.fingerprint(), ran: now - c.times.newest, mute: !c.firstSeen, unsure: slept || c.s.balance.leaving(life), request: c.summary(),
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	q := k.inquiries[life]
	if q != nil && (q.crashed || now-q.began < inquiryLife) {
		select {
		case <-q.done:
			if q.crashed {
				k.note(&l, life, q.began)
			}
		default:
			q.under = append(q.under, l)
		}
		return q.done
	}
	q = &inquiry{began: now, done: make(chan struct{}), under: []loss{l}}
	k.inquiries[life] = q
	go k.ask(q, life, c.at.Address)
	return q.done
}

// reborn notes that a life of an endpoint is over, since a later one is told: what it lost a moment before it crashed under, although its
// port took connections again when it was asked.
func (k *crashes) reborn(life string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	q := k.inquiries[life]
	if q == nil || q.crashed || k.now()-q.began > rebornWithin {
		return
	}
	q.crashed = true
	for i := range q.under {
		k.note(&q.under[i], life, q.began)
	}
}

// rebornWithin is the time in which a life that took a crashed one's place is told: an endpoint writes its entry each 1.2 s, and hosts
// read within 0.9 s.
const rebornWithin = 3 * time.Second

// ask finds out whether an endpoint has crashed.
func (k *crashes) ask(q *inquiry, life, address string) {
	err := k.dial(context.Background(), address)
	k.mu.Lock()
	defer k.mu.Unlock()
	defer close(q.done)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	k.log.Info("endpoint asked whether it is still there", "endpoint", life, "refused", refused, "requests", len(q.under))
	if q.crashed || !refused {
		return
	}
	q.crashed = true
	for i := range q.under {
		k.note(&q.under[i], life, q.began)
	}
}

// note notes that an endpoint crashed under a request; mu must be held.
func (k *crashes) note(l *loss, life string, at time.Duration) {
	f := l.print
	_, before := k.book.Held(k.now(), f)
	if k.book.NoteCrash(k.now(), f, quarantine.Termination{Incarnation: life, At: at, RequestAge: l.ran, NoResponse: l.mute, Inconclusive: l.unsure, Request: l.request}) {
		k.tell()
		if v := k.book.Verdict(k.now(), f); v.Crashes > 1 {
			k.log.Info("endpoint ended under a request again", "fingerprint", f.String(), "endpoint", life, "ran_ms", l.ran.Milliseconds(),
				"ends", v.Crashes, "mute", v.NoResponse, "surprise", v.Surprisal, "on_trial", k.book.OnTrial(k.now(), f))
		}
	}
	if left, held := k.book.Held(k.now(), f); held && !before {
		k.log.Info("request held: endpoints crash under it", "fingerprint", f.String(), "request", l.request, "endpoints", k.book.Incarnations(f), "held_s", left.Seconds())
	}
}

// answered notes that a request was answered whole, which clears it.
func (k *crashes) answered(c *call) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.book.Empty() && k.book.NoteAnswer(k.now(), c.fingerprint()) {
		k.tell()
	}
}

// held tells whether a request is refused because endpoints crash under it, after how long it may come again, and how many did.
func (k *crashes) held(c *call) (after time.Duration, endpoints int, held bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.book.Empty() {
		return 0, 0, false
	}
	f := c.fingerprint()
	_, held = k.book.Held(k.now(), f)
	return k.book.RetryAfter(k.now(), f), len(k.book.Incarnations(f)), held
}

// summary says what the request is, for operators, in at most 200 bytes.
func (c *call) summary() string {
	workspace := "no workspace"
	if c.workspace != nil {
		workspace = c.workspace.Name
	}
	s := fmt.Sprintf("%s %s%s of %s", c.r.Method, c.r.Host, c.uri, workspace)
	return s[:min(len(s), mostSummary)]
}

// mostSummary bounds what is told of a request, in bytes.
const mostSummary = 200

// sweep forgets what is over.
func (k *crashes) sweep(endpoints int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Endpoints = endpoints
	k.book.Sweep(k.now())
	for life, q := range k.inquiries {
		if k.now()-q.began > inquiryKept {
			delete(k.inquiries, life)
		}
	}
}

// inquiryKept is the time after which an endpoint that crashed is forgotten: its entry is gone by then.
const inquiryKept = time.Minute

// checkHeld refuses a request under which endpoints crash.
func (c *call) checkHeld() *refusal {
	if c.granted {
		return nil
	}
	after, endpoints, held := c.s.crashes.held(c)
	if !held {
		return nil
	}
	c.s.Count.Held.Add(1)
	return &refusal{
		status: http.StatusServiceUnavailable, after: after, kind: outcome.Held,
		why: fmt.Sprintf("%d endpoints crashed while they ran this request (%s); do not send it again unchanged", endpoints, c.fingerprint()),
	}
}

// SetCrashNotifier gives what tells the other hosts soon of endpoints that crashed; call it before the first request.
func (s *Server) SetCrashNotifier(tell func()) { s.crashes.tell = tell }

// Crashes gives what other hosts are to be told of requests under which endpoints crashed.
func (s *Server) Crashes(to quarantine.Scope) quarantine.Evidence {
	k := &s.crashes
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Outgoing(k.now(), to)
}

// MergeCrashes takes what another host tells of requests under which endpoints crashed, and returns true if some of it is new.
func (s *Server) MergeCrashes(t *quarantine.Evidence) bool {
	k := &s.crashes
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Merge(k.now(), t)
}

// SuspectCounts counts the requests under which endpoints crashed, and those of them that are refused now.
func (s *Server) SuspectCounts() (suspects, held int) {
	k := &s.crashes
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Suspects(), k.book.CountHeld(k.now())
}

// UnsavedRecords gives the requests on trial and held that are to be written where they outlast all hosts.
func (s *Server) UnsavedRecords() []quarantine.Record {
	k := &s.crashes
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Unsaved(k.now(), time.Now().UnixMilli())
}

// RecordsToRemove gives the requests whose records this host is to remove, each once, and how long ago they were answered.
func (s *Server) RecordsToRemove() []quarantine.Clear {
	k := &s.crashes
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.TakeRecordsToRemove(k.now())
}

// Restore takes a record that was written.
func (s *Server) Restore(r *quarantine.Record) { s.crashes.restore(r) }

// Suspects gives what is known of requests under which endpoints crashed, for operators.
func (s *Server) Suspects() []quarantine.Entry {
	k := &s.crashes
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.List(k.now())
}

// Release lets a request run again, at all hosts, as an answer would. It returns false if nothing is known of it.
func (s *Server) Release(f quarantine.Fingerprint) bool {
	k := &s.crashes
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.book.NoteAnswer(k.now(), f) {
		return false
	}
	k.log.Info("request released by an operator", "fingerprint", f.String())
	k.tell()
	return true
}
