// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fingerprintOf returns a fingerprint derived from a number.
func fingerprintOf(n int) Fingerprint {
	r := Request{URI: fmt.Sprint(n)}
	return r.Fingerprint()
}

// noResponseEnd is the end of an endpoint that had not begun to answer.
func noResponseEnd(incarnation string, at time.Duration) Termination {
	return Termination{Incarnation: incarnation, At: at, RequestAge: 100 * time.Millisecond, NoResponse: true, Request: "POST /a"}
}

// step is one observation of a registry.
type step struct {
	at      time.Duration
	crash   string // the incarnation that ended under the request, if any
	answer  bool   // the request was answered
	heldFor time.Duration
}

// TestVerdict checks when a request is held and for how long.
func TestVerdict(t *testing.T) {
	cases := []struct {
		name  string
		steps []step
	}{
		{"three endpoints", []step{{1, "a", false, 0}, {2, "b", false, 0}, {3, "c", false, minHold}}},
		{"one endpoint reported three times", []step{{1, "a", false, 0}, {2, "a", false, 0}, {3, "a", false, 0}}},
		{"answered between crashes", []step{{1, "a", false, 0}, {2, "b", false, 0}, {3, "", true, 0}, {4, "c", false, 0}, {5, "d", false, 0}, {6, "e", false, minHold}}},
		{"one crash after the hold doubles it", []step{
			{1, "a", false, 0}, {2, "b", false, 0}, {3, "c", false, minHold}, {3 + minHold, "", false, 0}, {4 + minHold, "d", false, 2 * minHold},
		}},
		{"crashes during the hold do not extend it", []step{{1, "a", false, 0}, {2, "b", false, 0}, {3, "c", false, minHold}, {4, "d", false, minHold - 1}}},
		{"answered after the hold", []step{
			{1, "a", false, 0}, {2, "b", false, 0}, {3, "c", false, minHold}, {4 + minHold, "", true, 0}, {5 + minHold, "d", false, 0},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var reg Registry
			f := fingerprintOf(1)
			for _, s := range c.steps {
				if s.crash != "" {
					reg.NoteCrash(s.at, f, noResponseEnd(s.crash, s.at))
				}
				if s.answer {
					reg.NoteAnswer(s.at, f)
				}
				left, held := reg.Held(s.at, f)
				must.EqOp(t, s.heldFor, left)
				must.EqOp(t, s.heldFor > 0, held)
				_, otherHeld := reg.Held(s.at, fingerprintOf(2))
				must.False(t, otherHeld)
			}
		})
	}
}

// exchange sends the evidence of one registry to another in its encoded form.
func exchange(t *testing.T, now time.Duration, sender, receiver *Registry) bool {
	t.Helper()
	sent := sender.Outgoing(now, All)
	data, err := json.Marshal(sent)
	must.NoError(t, err)
	var received Evidence
	must.NoError(t, json.Unmarshal(data, &received))
	must.Eq(t, sent, received)
	return receiver.Merge(now, &received)
}

// TestHostsCombineEvidence checks that three hosts that each observed one crash reach the same
// verdict on their own, and that received evidence is not passed on forever.
func TestHostsCombineEvidence(t *testing.T) {
	var regs [3]Registry
	f, now := fingerprintOf(1), time.Minute
	for i := range regs {
		regs[i].Host = fmt.Sprint("host-", i)
		regs[i].NoteCrash(now, f, noResponseEnd(fmt.Sprint("life-", i), now))
	}
	for i := range regs {
		for k := range regs {
			must.EqOp(t, i != k, i != k && (exchange(t, now, &regs[i], &regs[k]) || len(regs[k].Incarnations(f)) == 3))
		}
	}
	for i := range regs {
		_, held := regs[i].Held(now, f)
		must.True(t, held)
		must.False(t, exchange(t, now+eventTTL/2, &regs[i], &regs[(i+1)%3]))
		evidence := regs[i].Outgoing(now+eventTTL, All)
		must.SliceEmpty(t, evidence.Crashes)
		must.SliceLen(t, 1, evidence.Holds)
	}
}

// TestNewHostLearnsHolds checks that a host that starts learns of all held requests, even long
// after the crashes.
func TestNewHostLearnsHolds(t *testing.T) {
	var running, started Registry
	now := time.Second
	for n := range 7 {
		for i := range noResponseCrashes {
			running.NoteCrash(now, fingerprintOf(n), noResponseEnd(fmt.Sprint(n, "-", i), now))
		}
	}
	now += time.Minute
	for range 4 {
		exchange(t, now, &running, &started)
	}
	must.EqOp(t, 7, started.CountHeld(now))
	left, _ := started.Held(now, fingerprintOf(0))
	must.EqOp(t, minHold-time.Minute, left)
	// A hold that is sent back and forth does not grow by the transit times.
	for range 1000 {
		exchange(t, now, &started, &running)
		now += 5 * time.Millisecond
		exchange(t, now, &running, &started)
	}
	left, _ = started.Held(now, fingerprintOf(0))
	must.EqOp(t, minHold-time.Minute-5*time.Second, left)
}

// TestStaleHoldIgnoredAfterAnswer checks that an answered request is not held again because of a
// host that does not know of the answer.
func TestStaleHoldIgnoredAfterAnswer(t *testing.T) {
	var stale, cleared Registry
	f, now := fingerprintOf(1), time.Minute
	for i := range noResponseCrashes {
		stale.NoteCrash(now, f, noResponseEnd(fmt.Sprint(i), now))
	}
	exchange(t, now, &stale, &cleared)
	cleared.NoteAnswer(now+minHold+1, f)
	now += minHold / 2 // on the stale host's clock, where the request is still held
	cleared.Merge(now+minHold, &Evidence{Holds: stale.Outgoing(now, Local).Holds})
	_, held := cleared.Held(now+minHold, f)
	must.False(t, held)
}

// TestEvictionKeepsHolds checks that a flood of requests under which one endpoint crashed evicts no
// held request and none with two crashes.
func TestEvictionKeepsHolds(t *testing.T) {
	var reg Registry
	for i := range noResponseCrashes {
		reg.NoteCrash(1, fingerprintOf(-1), noResponseEnd(fmt.Sprint(i), 1))
	}
	reg.NoteCrash(1, fingerprintOf(-2), noResponseEnd("a", 1))
	reg.NoteCrash(1, fingerprintOf(-2), noResponseEnd("b", 1))
	for n := range maxSuspects + 100 {
		reg.NoteCrash(time.Duration(n+2), fingerprintOf(n), noResponseEnd("flood", time.Duration(n+2)))
	}
	must.LessEq(t, maxSuspects, reg.Suspects())
	_, held := reg.Held(2, fingerprintOf(-1))
	must.True(t, held)
	must.SliceLen(t, 2, reg.Incarnations(fingerprintOf(-2)))
}

// TestSweep checks that expired evidence is removed and held requests are kept.
func TestSweep(t *testing.T) {
	var reg Registry
	reg.NoteCrash(0, fingerprintOf(1), noResponseEnd("a", 0))
	for i := range 9 { // more crashes than the first hold needs
		reg.NoteCrash(time.Duration(i), fingerprintOf(2), noResponseEnd(fmt.Sprint(i), time.Duration(i)))
	}
	reg.Sweep(evidenceTTL - 1)
	must.EqOp(t, 2, reg.Suspects())
	reg.Sweep(evidenceTTL)
	must.EqOp(t, 1, reg.Suspects())
	reg.Sweep(minHold + evidenceTTL + 10)
	must.True(t, reg.Empty())
	must.EqOp(t, 0, reg.CountHeld(0))
}

// TestMergeInvalidEvidence checks that evidence with impossible values has a bounded effect.
func TestMergeInvalidEvidence(t *testing.T) {
	var reg Registry
	f := fingerprintOf(1)
	long := string(make([]byte, maxNameBytes+1))
	reg.Merge(0, &Evidence{
		Crashes: []Crash{{f, "a", math.MaxInt64, math.MinInt64, true, "h", false}, {f, "b", math.MinInt64, math.MaxInt64, true, "h", false}, {f, long, 0, 0, true, "h", false}, {f, "c", 0, 0, true, long, false}},
		Clears:  []Clear{{fingerprintOf(3), -1}},
		Holds: []Hold{
			{Fingerprint: fingerprintOf(2), LeftMS: math.MaxInt64, HoldCount: math.MaxInt}, {Fingerprint: fingerprintOf(4), LeftMS: -1, HoldCount: 1},
			{Fingerprint: fingerprintOf(5), LeftMS: 1}, {Fingerprint: fingerprintOf(6), LeftMS: math.MaxInt64 / 2, HoldCount: 1, AgeMS: math.MinInt64, Request: long},
		},
	})
	must.SliceLen(t, 2, reg.Incarnations(f))
	for _, n := range []int{2, 6} {
		left, _ := reg.Held(0, fingerprintOf(n))
		must.LessEq(t, maxHold, left)
	}
	must.EqOp(t, 3, reg.Suspects())
}

// BenchmarkHeld looks up a request among 10,000 suspects.
func BenchmarkHeld(b *testing.B) {
	var reg Registry
	for n := range maxSuspects {
		reg.NoteCrash(0, fingerprintOf(n), noResponseEnd("life", 0))
	}
	f := fingerprintOf(1)
	b.ReportAllocs()
	for b.Loop() {
		reg.Held(1, f)
	}
}
