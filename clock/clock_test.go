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

// testClocks are two clocks that a test sets.
type testClocks struct{ boot, steady time.Duration }

// run advances both clocks, as they do while the process runs or is stopped.
func (h *testClocks) run(d time.Duration) { h.boot, h.steady = h.boot+d, h.steady+d }

// suspend advances the clocks as a suspension of the host does.
func (h *testClocks) suspend(d time.Duration) { h.boot += d }

// clock returns a Clock that reads the two clocks.
func (h *testClocks) clock() *Clock {
	return newClock(func() time.Duration { return h.boot }, func() time.Duration { return h.steady }, true)
}

// TestClock checks that Now and Suspended count a suspension.
func TestClock(t *testing.T) {
	h := &testClocks{boot: time.Hour, steady: 3 * time.Minute}
	c := h.clock()
	h.run(2 * time.Second)
	h.suspend(8 * time.Second)
	h.run(time.Second)
	must.EqOp(t, 11*time.Second, c.Now())
	must.EqOp(t, 8*time.Second, c.Suspended())
	ahead := time.Minute
	s := c.WithOffset(func() time.Duration { return ahead })
	ahead += time.Second
	must.EqOp(t, time.Second, s.Now())
	must.EqOp(t, time.Second, s.Suspended())
}

// TestRealClock checks that the clock of this machine advances with the steady one.
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

// TestGapDetector checks which gaps are reported, and with which times.
func TestGapDetector(t *testing.T) {
	cases := []struct {
		name    string
		advance func(h *testClocks, check func())
		want    []Gap
	}{
		{"regular checks", func(h *testClocks, check func()) {
			for range 100 {
				h.run(25 * time.Millisecond)
				check()
			}
		}, nil},
		{"a slow host", func(h *testClocks, check func()) {
			for range 10 {
				h.run(minStop - 1)
				check()
			}
		}, nil},
		{"suspended", func(h *testClocks, check func()) {
			h.suspend(8 * time.Second)
			h.run(time.Millisecond)
			check()
			check()
		}, []Gap{{time.Second, 9*time.Second + time.Millisecond, 8 * time.Second}}},
		{"suspended too briefly to report", func(h *testClocks, check func()) {
			h.suspend(minSuspension - 1)
			check()
		}, nil},
		{"short suspensions that add up", func(h *testClocks, check func()) {
			for range 2 {
				h.suspend(minSuspension / 2)
				h.run(25 * time.Millisecond)
				check()
			}
		}, []Gap{{time.Second + minSuspension/2 + 25*time.Millisecond, time.Second + minSuspension + 50*time.Millisecond, minSuspension}}},
		{"suspended twice in a second", func(h *testClocks, check func()) {
			for range 2 {
				h.suspend(300 * time.Millisecond)
				check()
				h.run(25 * time.Millisecond)
				check()
			}
		}, []Gap{
			{time.Second, 1300 * time.Millisecond, 300 * time.Millisecond},
			{1325 * time.Millisecond, 1625 * time.Millisecond, 300 * time.Millisecond},
		}},
		{"stopped", func(h *testClocks, check func()) {
			h.run(4 * time.Second)
			check()
			check()
		}, []Gap{{time.Second, 5 * time.Second, 0}}},
		{"suspended while the process was stopped", func(h *testClocks, check func()) {
			h.run(2 * time.Second)
			h.suspend(time.Second)
			check()
			check()
		}, []Gap{{time.Second, 4 * time.Second, time.Second}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := &testClocks{}
			var got []Gap
			d := &GapDetector{Clock: h.clock(), OnGap: func(g Gap) { got = append(got, g) }}
			h.run(time.Second)
			d.Check()
			must.False(t, d.GapSince(0))
			tc.advance(h, d.Check)
			must.Eq(t, tc.want, got)
			if len(got) > 0 {
				must.True(t, d.GapSince(got[0].Began))
				must.False(t, d.GapSince(got[len(got)-1].Ended))
			}
		})
	}
}

// TestRunTime checks which time counts as time in which the process ran.
func TestRunTime(t *testing.T) {
	cases := []struct {
		name     string
		interval time.Duration // between two checks
		checks   int
		want     time.Duration
	}{
		{"regular checks", 25 * time.Millisecond, 40, time.Second},
		{"checks by requests, too", time.Millisecond, 1000, time.Second},
		{"the process waits for the CPU", 60 * time.Millisecond, 40, 0},
		{"the process is stopped", 10 * time.Second, 3, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := &testClocks{}
			d := &GapDetector{Clock: h.clock(), OnGap: func(Gap) {}}
			h.run(time.Millisecond)
			d.Check()
			before := d.RunTime()
			for range tc.checks {
				h.run(tc.interval)
				d.Check()
			}
			must.EqOp(t, tc.want, d.RunTime()-before)
		})
	}
}

// TestChecksWaitForOnGap checks that one of many concurrent checks after a gap calls OnGap, and that
// none of them returns before OnGap does.
func TestChecksWaitForOnGap(t *testing.T) {
	for range 200 {
		var boot, done atomic.Int64
		calls := 0
		d := &GapDetector{
			Clock: newClock(func() time.Duration { return time.Duration(boot.Load()) }, func() time.Duration { return 0 }, true),
			OnGap: func(Gap) {
				calls++
				done.Store(1)
			},
		}
		boot.Add(int64(time.Second))
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				d.Check()
				must.EqOp(t, 1, done.Load())
			})
		}
		wg.Wait()
		must.EqOp(t, 1, calls)
	}
}

// BenchmarkNow measures a reading of the clock, a reading of the steady clock and a check for gaps.
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
	d := &GapDetector{Clock: c, OnGap: func(Gap) {}}
	b.Run("check", func(b *testing.B) {
		for b.Loop() {
			d.Check()
		}
	})
}
