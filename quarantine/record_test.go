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

// TestGrant checks how many sends a record grants, and for how long the request is held then.
func TestGrant(t *testing.T) {
	first, second := firstHold.Milliseconds(), 2*firstHold.Milliseconds()
	cases := []struct {
		name string
		r    Record
		at   int64 // Unix time, ms
		want Record
		ok   bool
	}{
		{"the first", Record{}, 5, Record{WrittenMS: 5, Trials: 1}, true},
		{"the last holds it", Record{Trials: mostTrials - 1}, 5, Record{WrittenMS: 5, Trials: mostTrials, HoldCount: 1, UntilMS: 5 + first}, true},
		{"none while it is held", Record{Trials: mostTrials, HoldCount: 1, UntilMS: 7}, 6, Record{Trials: mostTrials, HoldCount: 1, UntilMS: 7}, false},
		{"one after that, for twice as long", Record{Trials: mostTrials, HoldCount: 1, UntilMS: 7}, 7, Record{WrittenMS: 7, Trials: mostTrials + 1, HoldCount: 2, UntilMS: 7 + second}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.EqOp(t, c.ok, c.r.Grant(c.at))
			must.Eq(t, c.want, c.r)
		})
	}
}

// late is the end of an endpoint that had answered for a while.
func late(life string, at time.Duration) Termination {
	return Termination{Incarnation: life, At: at, RequestAge: time.Minute}
}

// onTrial gives a book with a request on trial at a time.
func onTrial(f Fingerprint, at time.Duration) *Registry {
	b := &Registry{Endpoints: 1}
	for i := range trialEnds {
		b.NoteCrash(at, f, late(fmt.Sprint("life-", i), at))
	}
	return b
}

// TestRecordOutlastsBook checks that a host which knows nothing learns from a record what was granted, and for how long a request is held.
func TestRecordOutlastsBook(t *testing.T) {
	f, now, unixMS := print(1), time.Minute, int64(1e12)
	b := onTrial(f, now)
	for n := range mostTrials {
		must.True(t, b.OnTrial(now, f))
		r := b.Record(now, unixMS, f)
		must.EqOp(t, n, r.Trials)
		must.True(t, r.Grant(unixMS))
		b = &Registry{}
		b.Restore(now, unixMS, &r)
	}
	left, held := b.Held(now, f)
	must.True(t, held)
	must.EqOp(t, firstHold, left)
	must.EqOp(t, trialPause, b.RetryAfter(now, f)) // the last one may be answered yet
	must.EqOp(t, firstHold-trialTime, b.RetryAfter(now+trialTime, f))
	must.SliceLen(t, 1, b.List(now))
	must.SliceEmpty(t, b.Unsaved(now+renewAfter-time.Second, unixMS))
	must.SliceLen(t, 1, b.Unsaved(now+renewAfter+time.Second, unixMS))
}

// TestAnswerEndsTrial checks that an answer clears what was granted before it, in the record too, and nothing that was granted after it by a host
// which had not heard of it.
func TestAnswerEndsTrial(t *testing.T) {
	f, now, unixMS := print(1), time.Minute, int64(1e12)
	cases := []struct {
		name   string
		writes time.Duration // when another host writes its grant, after the answer
		on     bool
	}{
		{"granted before", -time.Second, false},
		{"granted after", time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := onTrial(f, now-10*time.Second)
			b.NoteCrash(now-5*time.Second, f, late("one more", now-5*time.Second))
			other := b.Record(now, unixMS-5000, f)
			must.True(t, b.NoteAnswer(now, f))
			must.False(t, b.OnTrial(now, f))
			must.True(t, other.Grant(unixMS+c.writes.Milliseconds()))
			later := 2 * time.Second
			b.Restore(now+later, unixMS+later.Milliseconds(), &other)
			must.EqOp(t, c.on, b.OnTrial(now+later, f))
			must.EqOp(t, c.on, b.Record(now+later, unixMS, f).Trials == 1)
		})
	}
}

// TestFreed checks that the host whose request was answered removes its record, and hosts that hear of that do not.
func TestFreed(t *testing.T) {
	f, now, unixMS := print(1), time.Minute, int64(1e12)
	b, deaf := onTrial(f, now), onTrial(f, now)
	r := b.Record(now, unixMS, f)
	must.True(t, r.Grant(unixMS))
	b.Restore(now, unixMS, &r)
	deaf.Restore(now, unixMS, &r)
	now += time.Second
	b.NoteAnswer(now, f)
	told := b.Outgoing(now, All)
	must.True(t, deaf.Merge(now, &told))
	must.False(t, deaf.OnTrial(now, f))
	must.SliceEmpty(t, deaf.TakeRecordsToRemove(now))
	must.Eq(t, []Clear{{f, 1000}}, b.TakeRecordsToRemove(now+time.Second))
	must.SliceEmpty(t, b.TakeRecordsToRemove(now))
}
