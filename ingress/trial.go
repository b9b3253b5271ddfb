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

// Records keep what outlasts all hosts of requests under which endpoints ended.
type Records interface {
	// Swap writes a record if the one that stands has a revision, 0 for none. If it does not, it returns false, the record that stands and its revision, 0 if
	// none does.
	Swap(ctx context.Context, r *quarantine.Record, revision uint64) (swapped bool, stands quarantine.Record, at uint64, err error)
}

// Figures of sends on trial.
const (
	// grantTimeout bounds the question whether a request on trial may be sent: some calls of a store that is busy.
	grantTimeout = time.Second
	// maxSwaps bounds the writes that are tried for one grant: as many as there are grants, and one that finds none left.
	maxSwaps = 4
	// trialRetryAfter is the time after which a caller may come again whose request could not be granted since the store did not answer.
	trialRetryAfter = time.Second
)

// errContended means that others wrote a record each time.
var errContended = eris.New("others write the same record; it is tried again when the request comes again")

// checkSend looks, at the last moment before the request is sent, whether it may be. A request on trial must be granted each send.
func (c *call) checkSend(ctx context.Context) *refusal {
	c.trialGranted = false
	if f := c.takeTrial(ctx); f != nil {
		return f
	}
	return c.recheck()
}

// takeTrial asks for a grant if the request is on trial.
func (c *call) takeTrial(ctx context.Context) *refusal {
	k := &c.s.crashes
	if !k.onTrial(c) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	granted, err := k.grant(ctx, c.fingerprint())
	if err != nil {
		c.s.Count.TrialsUnknown.Add(1)
		c.s.Log.V(1).Info("request on trial not sent: no grant", "fingerprint", c.fingerprint().String(), "cause", err.Error())
		return &refusal{
			status: http.StatusServiceUnavailable, retryAfter: trialRetryAfter, kind: outcome.Held,
			why: "endpoints ended while they ran this request, and the store does not tell whether it may be sent once more; come back",
		}
	}
	if c.trialGranted = granted; granted {
		c.s.Count.Trials.Add(1)
	}
	return nil
}

// onTrial tells whether a request may be sent only if that is granted.
func (k *crashes) onTrial(c *call) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.registry.Empty() && k.registry.OnTrial(k.now(), c.fingerprint())
}

// grant counts one more send of a request on trial where all hosts count, before it is made: so no two hosts make the same one, and what was sent is known
// after the loss of any of them. It returns false if none is left.
func (k *crashes) grant(ctx context.Context, f quarantine.Fingerprint) (bool, error) {
	revision := uint64(0)
	for range maxSwaps {
		r, ok := k.nextGrant(f)
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
	return false, errContended
}

// nextGrant gives the record of a request with one more send, or false if none is left.
func (k *crashes) nextGrant(f quarantine.Fingerprint) (quarantine.Record, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	unixMS := time.Now().UnixMilli()
	r := k.registry.Record(k.now(), unixMS, f)
	return r, r.Grant(unixMS)
}

// noteGrant notes a send that was granted, and tells the other hosts.
func (k *crashes) noteGrant(r *quarantine.Record) {
	k.restore(r)
	k.notifyPeers()
	k.log.Info("request on trial is sent once more", "fingerprint", r.Fingerprint.String(), "request", r.Request, "trials", r.Trials, "endpoints", len(r.Crashes))
}

// restore takes a record.
func (k *crashes) restore(r *quarantine.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.registry.Restore(k.now(), time.Now().UnixMilli(), r)
}

// SetRecords gives where records are kept; call it before the first request.
func (s *Server) SetRecords(r Records) { s.crashes.records = r }
