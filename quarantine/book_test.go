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

// print makes a fingerprint of a number.
func print(n int) Fingerprint {
	r := Request{URI: fmt.Sprint(n)}
	return r.Fingerprint()
}

// mute is the end of an endpoint under a request that had got nothing.
func mute(life string, at time.Duration) Termination {
	return Termination{Incarnation: life, At: at, RequestAge: 100 * time.Millisecond, NoResponse: true, Request: "POST /a"}
}

// step is one thing that a book learns.
type step struct {
	at      time.Duration
	crash   string // the life that ended under the request, or
	answer  bool   // it was answered
	heldFor time.Duration
}

// TestVerdict checks when a request is held and for how long.
func TestVerdict(t *testing.T) {
	cases := []struct {
		name  string
		steps []step
	}{
		{"three endpoints", []step{{1, "a", false, 0}, {2, "b", false, 0}, {3, "c", false, firstHold}}},
		{"one endpoint told three times", []step{{1, "a", false, 0}, {2, "a", false, 0}, {3, "a", false, 0}}},
		{"answered between", []step{{1, "a", false, 0}, {2, "b", false, 0}, {3, "", true, 0}, {4, "c", false, 0}, {5, "d", false, 0}, {6, "e", false, firstHold}}},
		{"held again by one crash after its time, for twice as long", []step{
			{1, "a", false, 0}, {2, "b", false, 0}, {3, "c", false, firstHold}, {3 + firstHold, "", false, 0}, {4 + firstHold, "d", false, 2 * firstHold},
		}},
		{"crashes while it is held make it no longer", []step{{1, "a", false, 0}, {2, "b", false, 0}, {3, "c", false, firstHold}, {4, "d", false, firstHold - 1}}},
		{"answered after its time", []step{
			{1, "a", false, 0}, {2, "b", false, 0}, {3, "c", false, firstHold}, {4 + firstHold, "", true, 0}, {5 + firstHold, "d", false, 0},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var b Registry
			f := print(1)
			for _, s := range c.steps {
				if s.crash != "" {
					b.NoteCrash(s.at, f, mute(s.crash, s.at))
				}
				if s.answer {
					b.NoteAnswer(s.at, f)
				}
				left, held := b.Held(s.at, f)
				must.EqOp(t, s.heldFor, left)
				must.EqOp(t, s.heldFor > 0, held)
				_, other := b.Held(s.at, print(2))
				must.False(t, other)
			}
		})
	}
}

// tellAll gives what one book tells to another, over the wire.
func tellAll(t *testing.T, now time.Duration, from, to *Registry) bool {
	t.Helper()
	told := from.Outgoing(now, All)
	data, err := json.Marshal(told)
	must.NoError(t, err)
	var got Evidence
	must.NoError(t, json.Unmarshal(data, &got))
	must.Eq(t, told, got)
	return to.Merge(now, &got)
}

// TestEvidenceAddsUp checks that three hosts that each saw one crash come to the verdict, each by itself, and that what they told
// each other is not told on for ever.
func TestEvidenceAddsUp(t *testing.T) {
	var books [3]Registry
	f, now := print(1), time.Minute
	for i := range books {
		books[i].Host = fmt.Sprint("host-", i)
		books[i].NoteCrash(now, f, mute(fmt.Sprint("life-", i), now))
	}
	for i := range books {
		for k := range books {
			must.EqOp(t, i != k, i != k && (tellAll(t, now, &books[i], &books[k]) || len(books[k].Incarnations(f)) == 3))
		}
	}
	for i := range books {
		_, held := books[i].Held(now, f)
		must.True(t, held)
		must.False(t, tellAll(t, now+tellFor/2, &books[i], &books[(i+1)%3]))
		told := books[i].Outgoing(now+tellFor, All)
		must.SliceEmpty(t, told.Crashes)
		must.SliceLen(t, 1, told.Holds)
	}
}

// TestStarterLearnsOfHolds checks that a host which starts learns of all requests that are held, also long after the crashes.
func TestStarterLearnsOfHolds(t *testing.T) {
	var old, young Registry
	now := time.Second
	for n := range 7 {
		for i := range muteCrashes {
			old.NoteCrash(now, print(n), mute(fmt.Sprint(n, "-", i), now))
		}
	}
	now += time.Minute
	for range 4 {
		tellAll(t, now, &old, &young)
	}
	must.EqOp(t, 7, young.CountHeld(now))
	left, _ := young.Held(now, print(0))
	must.EqOp(t, firstHold-time.Minute, left)
	// Told to and fro, a hold does not grow by the time that the telling takes.
	for range 1000 {
		tellAll(t, now, &young, &old)
		now += 5 * time.Millisecond
		tellAll(t, now, &old, &young)
	}
	left, _ = young.Held(now, print(0))
	must.EqOp(t, firstHold-time.Minute-5*time.Second, left)
}

// TestClearWins checks that a request that was answered is not held again by a host which did not hear of that.
func TestClearWins(t *testing.T) {
	var deaf, cleared Registry
	f, now := print(1), time.Minute
	for i := range muteCrashes {
		deaf.NoteCrash(now, f, mute(fmt.Sprint(i), now))
	}
	tellAll(t, now, &deaf, &cleared)
	cleared.NoteAnswer(now+firstHold+1, f)
	now += firstHold / 2 // of deaf's clock: it holds the request yet
	cleared.Merge(now+firstHold, &Evidence{Holds: deaf.Outgoing(now, Local).Holds})
	_, held := cleared.Held(now+firstHold, f)
	must.False(t, held)
}

// TestFloodKeepsTheGuilty checks that many requests under which one endpoint crashed wash out none that is held, and none with two crashes.
func TestFloodKeepsTheGuilty(t *testing.T) {
	var b Registry
	for i := range muteCrashes {
		b.NoteCrash(1, print(-1), mute(fmt.Sprint(i), 1))
	}
	b.NoteCrash(1, print(-2), mute("a", 1))
	b.NoteCrash(1, print(-2), mute("b", 1))
	for n := range mostSuspects + 100 {
		b.NoteCrash(time.Duration(n+2), print(n), mute("flood", time.Duration(n+2)))
	}
	must.LessEq(t, mostSuspects, b.Suspects())
	_, held := b.Held(2, print(-1))
	must.True(t, held)
	must.SliceLen(t, 2, b.Incarnations(print(-2)))
}

// TestSweep checks that what is old is forgotten, and what is held is not.
func TestSweep(t *testing.T) {
	var b Registry
	b.NoteCrash(0, print(1), mute("a", 0))
	for i := range 9 { // held for the longest time
		b.NoteCrash(time.Duration(i), print(2), mute(fmt.Sprint(i), time.Duration(i)))
	}
	b.Sweep(forget - 1)
	must.EqOp(t, 2, b.Suspects())
	b.Sweep(forget)
	must.EqOp(t, 1, b.Suspects())
	b.Sweep(firstHold + forget + 10)
	must.True(t, b.Empty())
	must.EqOp(t, 0, b.CountHeld(0))
}

// TestFalseWords checks that what cannot be has a bounded effect.
func TestFalseWords(t *testing.T) {
	var b Registry
	f := print(1)
	long := string(make([]byte, longestName+1))
	b.Merge(0, &Evidence{
		Crashes: []Crash{{f, "a", math.MaxInt64, math.MinInt64, true, "h", false}, {f, "b", math.MinInt64, math.MaxInt64, true, "h", false}, {f, long, 0, 0, true, "h", false}, {f, "c", 0, 0, true, long, false}},
		Clears:  []Clear{{print(3), -1}},
		Holds: []Hold{
			{Fingerprint: print(2), LeftMS: math.MaxInt64, HoldCount: math.MaxInt}, {Fingerprint: print(4), LeftMS: -1, HoldCount: 1},
			{Fingerprint: print(5), LeftMS: 1}, {Fingerprint: print(6), LeftMS: math.MaxInt64 / 2, HoldCount: 1, AgeMS: math.MinInt64, Request: long},
		},
	})
	must.SliceLen(t, 2, b.Incarnations(f))
	for _, n := range []int{2, 6} {
		left, _ := b.Held(0, print(n))
		must.LessEq(t, longestHold, left)
	}
	must.EqOp(t, 3, b.Suspects())
}

// BenchmarkHeld looks a request up among 10,000 suspects.
func BenchmarkHeld(b *testing.B) {
	var book Registry
	for n := range mostSuspects {
		book.NoteCrash(0, print(n), mute("life", 0))
	}
	f := print(1)
	b.ReportAllocs()
	for b.Loop() {
		book.Held(1, f)
	}
}
