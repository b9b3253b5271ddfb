// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package clock

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// hands are two clocks that a test sets.
type hands struct{ boot, steady time.Duration }

// run lets time pass while the process runs, and stop while it stands still.
func (h *hands) run(d time.Duration) { h.boot, h.steady = h.boot+d, h.steady+d }

// suspend lets time pass while the host is suspended.
func (h *hands) suspend(d time.Duration) { h.boot += d }

// clock returns a clock that reads the hands.
func (h *hands) clock() *Clock {
	return newClock(func() time.Duration { return h.boot }, func() time.Duration { return h.steady }, true)
}

// TestClock checks what counts the time of a suspension.
func TestClock(t *testing.T) {
	h := &hands{boot: time.Hour, steady: 3 * time.Minute}
	c := h.clock()
	h.run(2 * time.Second)
	h.suspend(8 * time.Second)
	h.run(time.Second)
	must.EqOp(t, 11*time.Second, c.Now())
	must.EqOp(t, 8*time.Second, c.Suspended())
	ahead := time.Minute
	s := c.Skewed(func() time.Duration { return ahead })
	ahead += time.Second
	must.EqOp(t, time.Second, s.Now())
	must.EqOp(t, time.Second, s.Suspended())
}

// TestRealClock checks that the clock of this machine goes on with the steady one.
func TestRealClock(t *testing.T) {
	c := New()
	first := c.Now()
	must.GreaterEq(t, 0, first)
	for range 1000 {
		now := c.Now()
		must.GreaterEq(t, first, now)
		must.LessEq(t, time.Minute, c.Suspended())
		first = now
	}
}

// TestWatch checks which gaps are told, and how.
func TestWatch(t *testing.T) {
	cases := []struct {
		name string
		pass func(h *hands, look func())
		want []Gap
	}{
		{"looks as they are due", func(h *hands, look func()) {
			for range 100 {
				h.run(25 * time.Millisecond)
				look()
			}
		}, nil},
		{"a slow host", func(h *hands, look func()) {
			for range 10 {
				h.run(leastStopped - 1)
				look()
			}
		}, nil},
		{"suspended", func(h *hands, look func()) {
			h.suspend(8 * time.Second)
			h.run(time.Millisecond)
			look()
			look()
		}, []Gap{{time.Second, 9*time.Second + time.Millisecond, 8 * time.Second}}},
		{"suspended for a moment", func(h *hands, look func()) {
			h.suspend(leastSuspended - 1)
			look()
		}, nil},
		{"suspended for moments that add up", func(h *hands, look func()) {
			for range 2 {
				h.suspend(leastSuspended / 2)
				h.run(25 * time.Millisecond)
				look()
			}
		}, []Gap{{time.Second + leastSuspended/2 + 25*time.Millisecond, time.Second + leastSuspended + 50*time.Millisecond, leastSuspended}}},
		{"suspended twice in a second", func(h *hands, look func()) {
			for range 2 {
				h.suspend(300 * time.Millisecond)
				look()
				h.run(25 * time.Millisecond)
				look()
			}
		}, []Gap{
			{time.Second, 1300 * time.Millisecond, 300 * time.Millisecond},
			{1325 * time.Millisecond, 1625 * time.Millisecond, 300 * time.Millisecond},
		}},
		{"stood still", func(h *hands, look func()) {
			h.run(4 * time.Second)
			look()
			look()
		}, []Gap{{time.Second, 5 * time.Second, 0}}},
		{"suspended while it stood still", func(h *hands, look func()) {
			h.run(2 * time.Second)
			h.suspend(time.Second)
			look()
			look()
		}, []Gap{{time.Second, 4 * time.Second, time.Second}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := &hands{}
			var got []Gap
			w := &GapDetector{Clock: h.clock(), OnGap: func(g Gap) { got = append(got, g) }}
			h.run(time.Second)
			w.Check()
			must.False(t, w.GapSince(0))
			tc.pass(h, w.Check)
			must.Eq(t, tc.want, got)
			if len(got) > 0 {
				must.True(t, w.GapSince(got[0].Began))
				must.False(t, w.GapSince(got[len(got)-1].Ended))
			}
		})
	}
}

// TestRan checks which time counts as time in which the process ran.
func TestRan(t *testing.T) {
	cases := []struct {
		name  string
		every time.Duration // between two looks
		looks int
		want  time.Duration
	}{
		{"looks as they are due", 25 * time.Millisecond, 40, time.Second},
		{"looks by requests, too", time.Millisecond, 1000, time.Second},
		{"waits for the processor", 60 * time.Millisecond, 40, 0},
		{"stands still", 10 * time.Second, 3, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := &hands{}
			w := &GapDetector{Clock: h.clock(), OnGap: func(Gap) {}}
			h.run(time.Millisecond)
			w.Check()
			before := w.RunTime()
			for range tc.looks {
				h.run(tc.every)
				w.Check()
			}
			must.EqOp(t, tc.want, w.RunTime()-before)
		})
	}
}

// TestLooksWaitForTheWaking checks that of many looks at once after a gap one tells of it, and none returns before that is done.
func TestLooksWaitForTheWaking(t *testing.T) {
	for range 200 {
		var boot, done atomic.Int64
		told := 0
		w := &GapDetector{
			Clock: newClock(func() time.Duration { return time.Duration(boot.Load()) }, func() time.Duration { return 0 }, true),
			OnGap: func(Gap) {
				told++
				done.Store(1)
			},
		}
		boot.Add(int64(time.Second))
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				w.Check()
				must.EqOp(t, 1, done.Load())
			})
		}
		wg.Wait()
		must.EqOp(t, 1, told)
	}
}

// BenchmarkNow reads the clock, and the steady one beside it.
func BenchmarkNow(b *testing.B) {
	c := New()
	b.Run("boot", func(b *testing.B) {
		for b.Loop() {
			c.Now()
		}
	})
	start := time.Now()
	b.Run("steady", func(b *testing.B) {
		for b.Loop() {
			_ = time.Since(start)
		}
	})
	w := &GapDetector{Clock: c, OnGap: func(Gap) {}}
	b.Run("look", func(b *testing.B) {
		for b.Loop() {
			w.Check()
		}
	})
}
