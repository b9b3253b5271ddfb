// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestGrant checks how many sends a record grants and how long the request is held after the last
// one.
func TestGrant(t *testing.T) {
	first, second := minHold.Milliseconds(), 2*minHold.Milliseconds()
	cases := []struct {
		name string
		r    Record
		at   int64 // Unix time, ms
		want Record
		ok   bool
	}{
		{"first send", Record{}, 5, Record{WrittenMS: 5, Trials: 1}, true},
		{"last send starts a hold", Record{Trials: maxTrials - 1}, 5, Record{WrittenMS: 5, Trials: maxTrials, HoldCount: 1, UntilMS: 5 + first}, true},
		{"no send during the hold", Record{Trials: maxTrials, HoldCount: 1, UntilMS: 7}, 6, Record{Trials: maxTrials, HoldCount: 1, UntilMS: 7}, false},
		{"one send after the hold, then a hold of twice the length", Record{Trials: maxTrials, HoldCount: 1, UntilMS: 7}, 7, Record{WrittenMS: 7, Trials: maxTrials + 1, HoldCount: 2, UntilMS: 7 + second}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.EqOp(t, c.ok, c.r.Grant(c.at))
			must.Eq(t, c.want, c.r)
		})
	}
}

// lateEnd is the end of an endpoint that had answered for a while.
func lateEnd(incarnation string, at time.Duration) Termination {
	return Termination{Incarnation: incarnation, At: at, RequestAge: time.Minute}
}

// onTrial returns a registry in which the request is on trial since the given time.
func onTrial(f Fingerprint, at time.Duration) *Registry {
	reg := &Registry{Endpoints: 1}
	for i := range trialCrashes {
		reg.NoteCrash(at, f, lateEnd(fmt.Sprint("life-", i), at))
	}
	return reg
}

// TestRestoreFromRecord checks that a host without evidence learns from a record how many sends
// were granted and how long the request is held.
func TestRestoreFromRecord(t *testing.T) {
	f, now, unixMS := fingerprintOf(1), time.Minute, int64(1e12)
	reg := onTrial(f, now)
	for n := range maxTrials {
		must.True(t, reg.OnTrial(now, f))
		r := reg.Record(now, unixMS, f)
		must.EqOp(t, n, r.Trials)
		must.True(t, r.Grant(unixMS))
		reg = &Registry{}
		reg.Restore(now, unixMS, &r)
	}
	left, held := reg.Held(now, f)
	must.True(t, held)
	must.EqOp(t, minHold, left)
	must.EqOp(t, trialRetryAfter, reg.RetryAfter(now, f)) // the last send may still be answered
	must.EqOp(t, minHold-trialTimeout, reg.RetryAfter(now+trialTimeout, f))
	must.SliceLen(t, 1, reg.List(now))
	must.SliceEmpty(t, reg.Unsaved(now+rewriteAge-time.Second, unixMS))
	must.SliceLen(t, 1, reg.Unsaved(now+rewriteAge+time.Second, unixMS))
}

// TestAnswerEndsTrial checks that an answer clears the sends that were granted before it, also in
// the record, but no send that a host without knowledge of the answer granted after it.
func TestAnswerEndsTrial(t *testing.T) {
	f, now, unixMS := fingerprintOf(1), time.Minute, int64(1e12)
	cases := []struct {
		name         string
		grantDelay   time.Duration // time from the answer to another host's grant
		stillOnTrial bool
	}{
		{"granted before", -time.Second, false},
		{"granted after", time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reg := onTrial(f, now-10*time.Second)
			reg.NoteCrash(now-5*time.Second, f, lateEnd("one more", now-5*time.Second))
			other := reg.Record(now, unixMS-5000, f)
			must.True(t, reg.NoteAnswer(now, f))
			must.False(t, reg.OnTrial(now, f))
			must.True(t, other.Grant(unixMS+c.grantDelay.Milliseconds()))
			later := 2 * time.Second
			reg.Restore(now+later, unixMS+later.Milliseconds(), &other)
			must.EqOp(t, c.stillOnTrial, reg.OnTrial(now+later, f))
			must.EqOp(t, c.stillOnTrial, reg.Record(now+later, unixMS, f).Trials == 1)
		})
	}
}

// TestTakeRecordsToRemove checks that the host that answered the request removes its record, and
// that a peer that learns of the answer does not.
func TestTakeRecordsToRemove(t *testing.T) {
	f, now, unixMS := fingerprintOf(1), time.Minute, int64(1e12)
	reg, peer := onTrial(f, now), onTrial(f, now)
	r := reg.Record(now, unixMS, f)
	must.True(t, r.Grant(unixMS))
	reg.Restore(now, unixMS, &r)
	peer.Restore(now, unixMS, &r)
	now += time.Second
	reg.NoteAnswer(now, f)
	evidence := reg.Outgoing(now, All)
	must.True(t, peer.Merge(now, &evidence))
	must.False(t, peer.OnTrial(now, f))
	must.SliceEmpty(t, peer.TakeRecordsToRemove(now))
	must.Eq(t, []Clear{{f, 1000}}, reg.TakeRecordsToRemove(now+time.Second))
	must.SliceEmpty(t, reg.TakeRecordsToRemove(now))
}
