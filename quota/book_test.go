// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// fleet is some hosts that tell each other what they used, with losses.
type fleet struct {
	tol   Tolerance
	now   time.Duration
	books []*Book
	lives []uint64
	cut   []bool          // hears and is heard by nobody
	up    []time.Duration // when the host's process has started
	ends  []use
}

// use is an amount that was let through.
type use struct {
	at     time.Duration
	amount float64
}

// step is the time between two looks of the simulation.
const step = 20 * time.Millisecond

func newFleet(n int, tol Tolerance) *fleet {
	f := &fleet{tol: tol, books: make([]*Book, n), lives: make([]uint64, n), cut: make([]bool, n), up: make([]time.Duration, n)}
	for i := range n {
		f.restart(i, n)
		f.books[i].StartFull = true
	}
	return f
}

// restart begins a new life of a host, which knows nothing.
func (f *fleet) restart(i, n int) {
	f.books[i] = NewBook(f.now)
	f.books[i].Tolerance = f.tol
	f.books[i].SetHosts(n, 0)
	f.lives[i]++
}

// startTime is the time from a process's end to the start of the next: 0.52 s where
// it was seen.
const startTime = 500 * time.Millisecond

// kill ends a host's process, which starts again.
func (f *fleet) kill(i, n int) {
	f.up[i] = f.now + startTime
	f.now += startTime
	f.restart(i, n)
	f.now -= startTime
}

// tell lets all hosts tell all others; lost says which words do not arrive.
func (f *fleet) tell(lost func() bool) {
	for i := range f.books {
		told := f.books[i].Report(f.now)
		for j := range f.books {
			if i != j && !f.cut[i] && !f.cut[j] && f.now >= f.up[i] && f.now >= f.up[j] && !lost() {
				f.books[j].ApplyReport(f.now, fmt.Sprint(i), f.lives[i], told)
			}
		}
	}
}

// most is the largest use within any window.
func (f *fleet) most(window time.Duration) float64 {
	most, sum, from := 0.0, 0.0, 0
	for _, u := range f.ends {
		sum += u.amount
		for f.ends[from].at <= u.at-window {
			sum -= f.ends[from].amount
			from++
		}
		most = max(most, sum)
	}
	return most
}

// TestBoundHolds lets several hosts be asked for many times the rate, while words
// are lost, hosts are cut off and restarted, and holds the use of any 8 s against
// the bound: burst and rate of the window, a tenth more, and one second of the rate.
// The slack of the users' sites is of that size.
func TestBoundHolds(t *testing.T) {
	const window = 8 * time.Second
	bound := Limit{Rate: 1000, Burst: 1000}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "hosts")
		load := rapid.Float64Range(0.3, 10).Draw(t, "load")
		loss := rapid.IntRange(0, 50).Draw(t, "loss")
		chance := rapid.Uint64().Draw(t, "seed") | 1
		next := func(m int) int {
			chance ^= chance << 13
			chance ^= chance >> 7
			chance ^= chance << 17
			return int(chance % uint64(m))
		}
		f := newFleet(n, Tolerance{Window: window, Overshoot: 0.1, Slack: bound.Rate})
		for ; f.now < 40*time.Second; f.now += step {
			if f.now%(200*time.Millisecond) == 0 {
				f.tell(func() bool { return next(100) < loss })
			}
			switch next(500) {
			case 0:
				f.cut[next(n)] = true
			case 1, 2:
				f.cut[next(n)] = false
			case 3, 4:
				f.kill(next(n), n)
			}
			asked := load * bound.Rate * step.Seconds()
			for asked > 0 {
				amount := float64(1 + next(20))
				i := next(n)
				if f.now < f.up[i] {
					asked -= amount
					continue
				}
				if ok, _ := f.books[i].Take(f.now, "w", bound, amount); ok {
					f.ends = append(f.ends, use{f.now, amount})
				}
				asked -= amount
			}
		}
		must.LessEq(t, 1.1*(bound.Burst+bound.Rate*window.Seconds())+bound.Rate, f.most(window))
	})
}

// TestShareIsUsed checks that most of what is allowed can be used in calm, also if
// one host gets most of the demand.
func TestShareIsUsed(t *testing.T) {
	bound := Limit{Rate: 1000, Burst: 1000}
	cases := []struct {
		name  string
		load  float64
		to    func(i int) int
		least float64
	}{
		{"even demand under the rate", 0.9, func(i int) int { return i % 6 }, 0.89},
		{"even demand over the rate", 4, func(i int) int { return i % 6 }, 0.95},
		{"one host gets all, under the rate", 0.9, func(int) int { return 0 }, 0.89},
		{"one host gets all, over the rate", 4, func(int) int { return 0 }, 0.9},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(6, Tolerance{Window: 8 * time.Second, Overshoot: 0.1, Slack: bound.Rate})
			used, i := 0.0, 0
			for ; f.now < 30*time.Second; f.now += step {
				if f.now%(200*time.Millisecond) == 0 {
					f.tell(func() bool { return false })
				}
				for asked := tc.load * bound.Rate * step.Seconds(); asked > 0; asked -= 5 {
					if ok, _ := f.books[tc.to(i)].Take(f.now, "w", bound, 5); ok {
						used += 5
					}
					i++
				}
			}
			must.GreaterEq(t, tc.least*bound.Rate*30, used)
		})
	}
}

func TestTakeTellsWhenToComeBack(t *testing.T) {
	bound := Limit{Rate: 100, Burst: 100}
	b := NewBook(0)
	ok, _ := b.Take(2*time.Second, "w", bound, 500) // larger than the burst: it must pass once
	must.True(t, ok)
	ok, wait := b.Take(2*time.Second, "w", bound, 10)
	must.False(t, ok)
	must.Greater(t, 0, wait)
	ok, _ = b.Take(2*time.Second+wait+10*time.Second, "w", bound, 10)
	must.True(t, ok)
	free, _ := b.Take(0, "free", Limit{}, 1e12)
	must.True(t, free)
}

func TestRetries(t *testing.T) {
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

// TestStart holds what passes at once, at the first start of all hosts and at a
// later one, of which nothing is known.
func TestStart(t *testing.T) {
	bound := Limit{Rate: 1000, Burst: 2000}
	cases := []struct {
		name        string
		full        bool
		tolerance   Tolerance
		least, most float64
	}{
		{"first start", true, Tolerance{}, 2000, 2010},
		{"first start with tolerance", true, Tolerance{Slack: 1000}, 2200, 2210},
		{"later start", false, Tolerance{}, 0, 0},
		{"later start with tolerance", false, Tolerance{Slack: 1000}, 300, 310},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := NewBook(0)
			b.StartFull, b.Tolerance = tc.full, tc.tolerance
			must.Between(t, tc.least, passes(b, 0, bound, 10), tc.most)
		})
	}
}

// passes takes amounts until one is refused and returns what passed.
func passes(b *Book, now time.Duration, bound Limit, amount float64) float64 {
	sum := 0.0
	for {
		if ok, _ := b.Take(now, "w", bound, amount); !ok {
			return sum
		}
		sum += amount
	}
}

// TestShareUntilHeard checks that a host uses no more than an equal share of the
// level until it has heard of all others again.
func TestShareUntilHeard(t *testing.T) {
	bound := Limit{Rate: 1000, Burst: 6000}
	b := NewBook(0)
	b.StartFull = true
	b.SetHosts(3, 0)
	hear := func(at time.Duration) {
		for _, p := range []string{"a", "b"} {
			b.ApplyReport(at, p, 1, Report{Used: map[string]float64{"w": 0}})
		}
	}
	hear(0)
	first := passes(b, 0, bound, 10)
	must.Between(t, 2000, first, 2010)
	b.ApplyReport(0, "a", 1, Report{})
	must.EqOp(t, 0, passes(b, 0, bound, 10)) // not all were heard
	b.ApplyReport(0, "b", 1, Report{})
	must.Between(t, 1330, passes(b, 0, bound, 10), 1340)
}

// TestEndedLife checks that what a host was taken to use while it was silent stays
// used when it comes back in a new life: what the ended life did is not known.
func TestEndedLife(t *testing.T) {
	bound := Limit{Rate: 1000, Burst: 4000}
	level := func(life uint64) float64 {
		b := NewBook(0)
		b.StartFull = true
		b.SetHosts(2, 0)
		b.ApplyReport(0, "a", 1, Report{Used: map[string]float64{"w": 0}})
		_, _ = b.Take(0, "w", bound, 1000)
		b.ApplyReport(time.Second, "a", life, Report{Used: map[string]float64{"w": 0}})
		return b.accounts["w"].level
	}
	must.EqOp(t, 4000, level(1)) // it told that it used nothing
	must.EqOp(t, 1250, level(2)) // it had half of the second's rate, and may have used its half of the rest
}

// TestSizesPassAlike asks for large and small amounts in turn, beyond the rate, and
// checks that the large ones pass about as often as the small ones.
func TestSizesPassAlike(t *testing.T) {
	bound := Limit{Rate: 1000, Burst: 1000}
	b := NewBook(0)
	passed := [2]int{}
	for i := range 10000 {
		now := time.Duration(i) * 7 * time.Millisecond
		if ok, _ := b.Take(now, "w", bound, []float64{500, 10}[i%2]); ok {
			passed[i%2]++
		}
	}
	must.Greater(t, 40, passed[0])
	must.GreaterEq(t, passed[1]*7/10, passed[0])
}

// TestGoneHost checks that a host that goes for good leaves its share to the others.
func TestGoneHost(t *testing.T) {
	bound := Limit{Rate: 1000, Burst: 1000}
	cases := []struct {
		name  string
		keep  bool
		least float64
	}{
		{"silent", false, 0.45},
		{"surely gone", true, 0.95},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := NewBook(0)
			b.SetHosts(2, 0)
			b.ApplyReport(0, "a", 1, Report{})
			passes(b, 10*time.Second, bound, 10)
			if tc.keep {
				b.RetainPeers(nil)
				b.SetHosts(1, 0)
			}
			used := 0.0
			for now := 10 * time.Second; now < 20*time.Second; now += step {
				used += passes(b, now, bound, 10)
			}
			must.Between(t, tc.least*10000, used, 1.05*10000*(tc.least+0.05))
		})
	}
}

// TestNewHostLearns checks that a host that starts beside others takes their levels.
func TestNewHostLearns(t *testing.T) {
	bound := Limit{Rate: 1000, Burst: 5000}
	b := NewBook(0)
	b.SetHosts(2, 0)
	b.ApplyReport(0, "a", 1, Report{Left: map[string]float64{"w": -900}})
	must.EqOp(t, 0, passes(b, 0, bound, 10))
	b.ApplyReport(3*time.Second, "a", 1, Report{Left: map[string]float64{"w": -4000}}) // no longer young
	must.Greater(t, 0, passes(b, 3*time.Second, bound, 10))
}

// TestYoungTeachNobody checks that hosts that started together do not lower each
// other's levels: none of them knows what was used before.
func TestYoungTeachNobody(t *testing.T) {
	bound := Limit{Rate: 1000, Burst: 5000}
	young := NewBook(0)
	_, _ = young.Take(time.Second, "w", bound, 2000)
	must.MapEmpty(t, young.Report(time.Second).Left)
	must.EqOp(t, 1000, young.Report(3 * time.Second).Left["w"])
	first := NewBook(0)
	first.StartFull = true
	_, _ = first.Take(0, "w", bound, 4000)
	must.EqOp(t, 1000, first.Report(0).Left["w"]) // the first start knows that nothing was used
}

// TestSilenceGrows checks that hosts of a large fleet, which hear of each other seldom,
// do not take each other for silent between two words.
func TestSilenceGrows(t *testing.T) {
	cases := []struct {
		name   string
		every  time.Duration
		at     time.Duration
		silent bool
	}{
		{"small fleet, a word missed", 200 * time.Millisecond, 400 * time.Millisecond, false},
		{"small fleet, silent", 200 * time.Millisecond, 500 * time.Millisecond, true},
		{"large fleet, a word missed", 1600 * time.Millisecond, 3200 * time.Millisecond, false},
		{"large fleet, silent", 1600 * time.Millisecond, 3700 * time.Millisecond, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := NewBook(0)
			b.SetHosts(2, tc.every)
			b.ApplyReport(0, "a", 1, Report{})
			_, _ = b.Take(tc.at, "w", Limit{Rate: 10, Burst: 10}, 1)
			must.EqOp(t, tc.silent, b.peers["a"].silent)
		})
	}
}

// TestStartAmongMany holds that a host which starts among others that start, too, and has
// heard nobody uses one share of what may be left, however often it is asked.
func TestStartAmongMany(t *testing.T) {
	const hosts = 60
	bound := Limit{Rate: 1000, Burst: 2000}
	tol := Tolerance{Slack: 100000}
	b := NewBook(0)
	b.Tolerance = tol
	b.SetHosts(hosts, 0)
	sum := 0.0
	for now := time.Duration(0); now < time.Second; now += 20 * time.Millisecond {
		sum += passes(b, now, bound, 10)
	}
	share := ((1+startShare)*tol.debt(bound) + bound.Rate) / hosts
	must.LessEq(t, share+10, sum)
	must.GreaterEq(t, share/2, sum)
}
