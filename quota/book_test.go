// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// takes are the two ways of taking an amount: to begin something, and to go on with a stream.
var takes = []func(b *Book, now time.Duration, name string, limit Limit, amount float64) (bool, time.Duration){(*Book).Take, (*Book).TakeToContinue}

// TestUseWithinLimit requests up to ten times the rate from several hosts, while reports are lost and hosts are
// isolated and restarted. It checks that the use in any 8 s stays within the limit plus tolerance: burst and
// rate of the window, 10 % more, and a slack of one second of the rate, which is about the slack of the users'
// sites.
func TestUseWithinLimit(t *testing.T) {
	const window = 8 * time.Second
	limit := Limit{Rate: 1000, Burst: 1000}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "hosts")
		load := rapid.Float64Range(0.3, 10).Draw(t, "load")
		loss := rapid.IntRange(0, 50).Draw(t, "loss")
		state := rapid.Uint64().Draw(t, "seed") | 1
		randN := func(m int) int {
			state ^= state << 13
			state ^= state >> 7
			state ^= state << 17
			return int(state % uint64(m))
		}
		f := newFleet(n, Tolerance{Window: window, Overshoot: 0.1, Slack: limit.Rate})
		for ; f.now < 40*time.Second; f.now += step {
			if f.now%(200*time.Millisecond) == 0 {
				f.report(func() bool { return randN(100) < loss })
			}
			switch randN(500) {
			case 0:
				f.isolated[randN(n)] = true
			case 1, 2:
				f.isolated[randN(n)] = false
			case 3, 4:
				f.kill(randN(n), n)
			}
			demand := load * limit.Rate * step.Seconds()
			for demand > 0 {
				amount := float64(1 + randN(20))
				i := randN(n)
				if f.now < f.upAt[i] {
					demand -= amount
					continue
				}
				if ok, _ := takes[randN(2)](f.books[i], f.now, "w", limit, amount); ok {
					f.uses = append(f.uses, use{f.now, amount})
				}
				demand -= amount
			}
		}
		must.LessEq(t, 1.1*(limit.Burst+limit.Rate*window.Seconds())+limit.Rate, f.maxUse(window))
	})
}

// TestMostOfLimitIsUsable checks that most of the limit can be used without faults, even if one host gets most
// of the demand.
func TestMostOfLimitIsUsable(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 1000}
	cases := []struct {
		name         string
		load         float64
		to           func(i int) int
		minUsedRatio float64
	}{
		{"even demand under the rate", 0.9, func(i int) int { return i % 6 }, 0.89},
		{"even demand over the rate", 4, func(i int) int { return i % 6 }, 0.95},
		{"one host gets all, under the rate", 0.9, func(int) int { return 0 }, 0.89},
		{"one host gets all, over the rate", 4, func(int) int { return 0 }, 0.9},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(6, Tolerance{Window: 8 * time.Second, Overshoot: 0.1, Slack: limit.Rate})
			used, i := 0.0, 0
			for ; f.now < 30*time.Second; f.now += step {
				if f.now%(200*time.Millisecond) == 0 {
					f.report(func() bool { return false })
				}
				for demand := tc.load * limit.Rate * step.Seconds(); demand > 0; demand -= 5 {
					if ok, _ := f.books[tc.to(i)].Take(f.now, "w", limit, 5); ok {
						used += 5
					}
					i++
				}
			}
			must.GreaterEq(t, tc.minUsedRatio*limit.Rate*30, used)
		})
	}
}

func TestTakeReturnsRetryDelay(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 100}
	b := NewBook(0)
	ok, _ := b.Take(2*time.Second, "w", limit, 500) // larger than the burst: it must pass once
	must.True(t, ok)
	ok, wait := b.Take(2*time.Second, "w", limit, 10)
	must.False(t, ok)
	must.Greater(t, 0, wait)
	ok, _ = b.Take(2*time.Second+wait+10*time.Second, "w", limit, 10)
	must.True(t, ok)
	unlimited, _ := b.Take(0, "free", Limit{}, 1e12)
	must.True(t, unlimited)
}

func TestRetryBudget(t *testing.T) {
	r := RetryBudget{Ratio: 0.1, MaxCredit: 3}
	taken := 0
	for range 1000 {
		r.NoteFirstAttempt()
		if r.Take() {
			taken++
		}
	}
	must.Between(t, 100, taken, 104)
}

// takeUntilRefused takes amounts for streams that go on, which may use all that is left, until one is refused, and returns their sum.
func takeUntilRefused(b *Book, now time.Duration, limit Limit, amount float64) float64 {
	return repeatUntilRefused(b.TakeToContinue, now, limit, amount)
}

// repeatUntilRefused takes amounts until one is refused and returns their sum.
func repeatUntilRefused(take func(time.Duration, string, Limit, float64) (bool, time.Duration), now time.Duration, limit Limit, amount float64) float64 {
	total := 0.0
	for {
		if ok, _ := take(now, "w", limit, amount); !ok {
			return total
		}
		total += amount
	}
}

// TestEqualShareUntilAllReport checks that a host uses no more than an equal share of the level until all
// others have reported again.
func TestEqualShareUntilAllReport(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 6000}
	b := NewBook(0)
	b.StartFull = true
	b.SetHosts(3, 0)
	reportAll := func(at time.Duration) {
		for _, p := range []string{"a", "b"} {
			b.ApplyReport(at, p, 1, Report{Used: map[string]float64{"w": 0}})
		}
	}
	reportAll(0)
	first := takeUntilRefused(b, 0, limit, 10)
	must.Between(t, 2000, first, 2010)
	b.ApplyReport(0, "a", 1, Report{})
	must.EqOp(t, 0, takeUntilRefused(b, 0, limit, 10)) // not all have reported
	b.ApplyReport(0, "b", 1, Report{})
	must.Between(t, 1330, takeUntilRefused(b, 0, limit, 10), 1340)
}

// TestSilentPeerRestarts checks that the use assumed for a silent host remains counted if the host returns with
// a new incarnation: what the ended incarnation used is not known.
func TestSilentPeerRestarts(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 4000}
	level := func(incarnation uint64) float64 {
		b := NewBook(0)
		b.StartFull = true
		b.SetHosts(2, 0)
		b.ApplyReport(0, "a", 1, Report{Used: map[string]float64{"w": 0}})
		_, _ = b.Take(0, "w", limit, 1000)
		b.ApplyReport(time.Second, "a", incarnation, Report{Used: map[string]float64{"w": 0}})
		return b.accounts["w"].level
	}
	must.EqOp(t, 4000, level(1)) // it reported that it used nothing
	must.EqOp(t, 1250, level(2)) // it had half of the second's rate, and may have used its half of the rest
}

// TestLargeAmountsAreNotStarved requests large and small amounts alternately, beyond the rate, and checks that
// the large ones pass about as often as the small ones.
func TestLargeAmountsAreNotStarved(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 1000}
	b := NewBook(0)
	passed := [2]int{}
	for i := range 10000 {
		now := time.Duration(i) * 7 * time.Millisecond
		if ok, _ := b.Take(now, "w", limit, []float64{500, 10}[i%2]); ok {
			passed[i%2]++
		}
	}
	must.Greater(t, 40, passed[0])
	must.GreaterEq(t, passed[1]*7/10, passed[0])
}

// TestDepartedHost checks that a host that leaves for good leaves its share to the others.
func TestDepartedHost(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 1000}
	cases := []struct {
		name         string
		drop         bool
		minUsedRatio float64
	}{
		{"silent", false, 0.45},
		{"certainly gone", true, 0.95},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := NewBook(0)
			b.SetHosts(2, 0)
			b.ApplyReport(0, "a", 1, Report{})
			takeUntilRefused(b, 10*time.Second, limit, 10)
			if tc.drop {
				b.RetainPeers(nil)
				b.SetHosts(1, 0)
			}
			used := 0.0
			for now := 10 * time.Second; now < 20*time.Second; now += step {
				used += takeUntilRefused(b, now, limit, 10)
			}
			must.Between(t, tc.minUsedRatio*10000, used, 1.05*10000*(tc.minUsedRatio+0.05))
		})
	}
}

// TestSilenceTimeoutGrows checks that hosts of a large fleet, which receive each other's reports seldom, do not
// consider each other silent between two reports.
func TestSilenceTimeoutGrows(t *testing.T) {
	cases := []struct {
		name     string
		interval time.Duration
		at       time.Duration
		silent   bool
	}{
		{"small fleet, one report missed", 200 * time.Millisecond, 400 * time.Millisecond, false},
		{"small fleet, silent", 200 * time.Millisecond, 500 * time.Millisecond, true},
		{"large fleet, one report missed", 1600 * time.Millisecond, 3200 * time.Millisecond, false},
		{"large fleet, silent", 1600 * time.Millisecond, 3700 * time.Millisecond, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := NewBook(0)
			b.SetHosts(2, tc.interval)
			b.ApplyReport(0, "a", 1, Report{})
			_, _ = b.Take(tc.at, "w", Limit{Rate: 10, Burst: 10}, 1)
			must.EqOp(t, tc.silent, b.peers["a"].silent)
		})
	}
}
