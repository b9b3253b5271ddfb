// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/quarantine"
)

// Records stores records about requests under which endpoints crashed; they outlast all hosts.
type Records interface {
	// Swap writes a record if the stored one has the given revision, 0 for none. Otherwise it returns false, the stored record and
	// its revision, which is 0 if none is stored.
	Swap(ctx context.Context, r *quarantine.Record, revision uint64) (swapped bool, stored quarantine.Record, storedRevision uint64, err error)
}

// Limits of sends on trial.
const (
	// grantTimeout limits the time to get a grant for a request on trial: some calls to a busy store.
	grantTimeout = time.Second
	// maxSwapAttempts limits the writes tried for one grant: as many as there are grants, and one that finds none left.
	maxSwapAttempts = 4
	// trialRetryAfter is the Retry-After of a request that got no grant because the store did not answer.
	trialRetryAfter = time.Second
)

// errContention means that other hosts changed the record before each of maxSwapAttempts attempts.
var errContention = eris.New("other hosts keep writing the same record; the grant is retried when the request comes again")

// checkSend checks, at the last moment before a send, whether the request may be sent. A request on trial, or with a part on trial,
// needs a grant for each send.
func (c *call) checkSend(ctx context.Context) *refusal {
	c.granted = nil
	for _, check := range []func() *refusal{c.checkStop, c.checkHeld} {
		if f := check(); f != nil {
			return f
		}
	}
	for _, sub := range c.s.crashes.onTrial(c) {
		if f := c.takeTrial(ctx, &sub); f != nil {
			return f
		}
	}
	return c.recheck()
}

// takeTrial asks for a grant for a request on trial, or a part on trial.
func (c *call) takeTrial(ctx context.Context, sub *subject) *refusal {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	granted, err := c.s.crashes.grant(ctx, sub)
	if err != nil {
		c.s.Count.TrialsUnknown.Add(1)
		c.s.Log.V(1).Info("request on trial not sent: no grant", "fingerprint", sub.fingerprint.String(), "request", sub.description, "cause", err.Error())
		return &refusal{
			status: http.StatusServiceUnavailable, retryAfter: trialRetryAfter, kind: outcome.Held,
			why: "endpoints ended while they ran this request or others with a part of its prompt, and the store does not tell whether it may be sent once more; come back",
		}
	}
	if granted {
		c.granted = append(c.granted, sub.fingerprint)
		c.s.Count.Trials.Add(1)
	}
	return nil
}

// onTrial returns what needs a grant for each send of a request.
func (k *crashes) onTrial(c *call) []subject {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []subject
	for _, sub := range k.suspects(c) {
		if sub.registry.OnTrial(k.now(), sub.fingerprint) {
			out = append(out, sub)
		}
	}
	return out
}

// grant counts one more send of a request on trial in the records shared by all hosts, before it is made: so no two hosts make the
// same send, and the sends made are known even after the loss of any host. It returns false if no grant is left.
func (k *crashes) grant(ctx context.Context, sub *subject) (bool, error) {
	revision := uint64(0)
	for range maxSwapAttempts {
		r, ok := k.nextGrant(sub)
		if !ok {
			return false, nil
		}
		if k.records == nil {
			k.noteGrant(&r)
			return true, nil
		}
		swapped, stored, storedRevision, err := k.records.Swap(ctx, &r, revision)
		if err != nil {
			return false, err
		}
		if swapped {
			k.noteGrant(&r)
			return true, nil
		}
		if revision = storedRevision; storedRevision != 0 {
			k.restore(&stored)
		}
	}
	return false, errContention
}

// nextGrant returns the record of a request with one more send, or false if no grant is left.
func (k *crashes) nextGrant(sub *subject) (quarantine.Record, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	unixMS := time.Now().UnixMilli()
	r := sub.registry.Record(k.now(), unixMS, sub.fingerprint)
	return r, r.Grant(unixMS)
}

// noteGrant records a granted send and notifies the other hosts.
func (k *crashes) noteGrant(r *quarantine.Record) {
	k.restore(r)
	k.notifyPeers()
	k.log.Info("request on trial is sent once more", "fingerprint", r.Fingerprint.String(), "request", r.Request, "trials", r.Trials, "endpoints", len(r.Crashes))
}

// restore applies a stored record.
func (k *crashes) restore(r *quarantine.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	reg := &k.registry
	if r.Part {
		reg = &k.parts
	}
	reg.Restore(k.now(), time.Now().UnixMilli(), r)
}

// SetRecords sets the store of records; call it before the first request.
func (s *Server) SetRecords(r Records) { s.crashes.records = r }
