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

	mu        sync.Mutex
	book      quarantine.Book
	inquiries map[string]*inquiry // by life
}

// inquiry is the question whether an endpoint has crashed.
type inquiry struct {
	began   time.Duration
	done    chan struct{}
	crashed bool // valid once done is closed
	under   []quarantine.Fingerprint
}

// lost notes that an endpoint lost a request, and asks it whether it is still there: its process has ended if its port
// refuses connections. A connection that is reset, an answer that breaks off and a network that is cut look the same on the
// connection that was lost. The caller may wait for done.
func (k *crashes) lost(c *call) (done <-chan struct{}) {
	now, life, f := k.now(), c.at.Life(), c.fingerprint()
	k.mu.Lock()
	defer k.mu.Unlock()
	q := k.inquiries[life]
	if q != nil && (q.crashed || now-q.began < inquiryLife) {
		select {
		case <-q.done:
			if q.crashed {
				k.note(f, life, q.began)
			}
		default:
			q.under = append(q.under, f)
		}
		return q.done
	}
	q = &inquiry{began: now, done: make(chan struct{}), under: []quarantine.Fingerprint{f}}
	k.inquiries[life] = q
	go k.ask(q, life, c.at.Address)
	return q.done
}

// ask finds out whether an endpoint has crashed.
func (k *crashes) ask(q *inquiry, life, address string) {
	err := k.dial(context.Background(), address)
	k.mu.Lock()
	defer k.mu.Unlock()
	defer close(q.done)
	q.crashed = errors.Is(err, syscall.ECONNREFUSED)
	if !q.crashed {
		return
	}
	for _, f := range q.under {
		k.note(f, life, q.began)
	}
}

// note notes that an endpoint crashed under a request; mu must be held.
func (k *crashes) note(f quarantine.Fingerprint, life string, at time.Duration) {
	_, before := k.book.Held(k.now(), f)
	if k.book.Crashed(k.now(), f, life, at) {
		k.tell()
	}
	if left, held := k.book.Held(k.now(), f); held && !before {
		k.log.Info("request held: endpoints crash under it", "fingerprint", f.String(), "endpoints", k.book.Lives(f), "held_s", left.Seconds())
	}
}

// answered notes that a request was answered whole, which clears it.
func (k *crashes) answered(c *call) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.book.Empty() && k.book.Answered(k.now(), c.fingerprint()) {
		k.tell()
	}
}

// held tells for how long a request is refused because endpoints crash under it, and under how many did.
func (k *crashes) held(c *call) (left time.Duration, endpoints int, held bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.book.Empty() {
		return 0, 0, false
	}
	f := c.fingerprint()
	left, held = k.book.Held(k.now(), f)
	return left, len(k.book.Lives(f)), held
}

// sweep forgets what is over.
func (k *crashes) sweep() {
	k.mu.Lock()
	defer k.mu.Unlock()
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
	left, endpoints, held := c.s.crashes.held(c)
	if !held {
		return nil
	}
	c.s.Count.Held.Add(1)
	return &refusal{
		status: http.StatusServiceUnavailable, after: left, kind: outcome.Held,
		why: fmt.Sprintf("%d endpoints crashed while they ran this request (%s); do not send it again unchanged", endpoints, c.fingerprint()),
	}
}

// SetCrashed gives what tells the other hosts soon of endpoints that crashed; call it before the first request.
func (s *Server) SetCrashed(tell func()) { s.crashes.tell = tell }

// Crashes gives what other hosts are to be told of requests under which endpoints crashed.
func (s *Server) Crashes(to quarantine.Scope) quarantine.Told {
	k := &s.crashes
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Tell(k.now(), to)
}

// HearCrashes takes what another host tells of requests under which endpoints crashed, and returns true if some of it is new.
func (s *Server) HearCrashes(t *quarantine.Told) bool {
	k := &s.crashes
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Hear(k.now(), t)
}

// Suspected counts the requests under which endpoints crashed, and those of them that are refused now.
func (s *Server) Suspected() (suspects, held int) {
	k := &s.crashes
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Suspects(), k.book.HeldNow(k.now())
}
