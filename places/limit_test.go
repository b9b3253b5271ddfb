// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package places

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestStatedLimitMerge checks that a lower rate holds at once and that a limit is raised or lifted only by a statement that is
// certainly newer, in whatever order statements arrive.
func TestStatedLimitMerge(t *testing.T) {
	const second = time.Second
	limit := func(value float64, after, before time.Duration) StatedLimit {
		return StatedLimit{Known: true, Limited: true, Value: value, After: after, Before: before}
	}
	none := func(after, before time.Duration) StatedLimit {
		return StatedLimit{Known: true, After: after, Before: before}
	}
	cases := []struct {
		name   string
		stated []StatedLimit
		want   float64 // negative: no limit
	}{
		{"nothing stated", nil, -1},
		{"no limit was ever stated", []StatedLimit{none(0, second)}, -1},
		{"a limit", []StatedLimit{limit(2, 0, second)}, 2},
		{"a lower one of the same time", []StatedLimit{limit(2, 0, second), limit(1, 0, second)}, 1},
		{"a higher one of the same time", []StatedLimit{limit(1, 0, second), limit(2, 0, second)}, 1},
		{"a higher one that may be older", []StatedLimit{limit(1, 0, 3*second), limit(2, 2*second, 4*second)}, 1},
		{"a higher one that is newer", []StatedLimit{limit(1, 0, second), limit(2, second, 2*second)}, 2},
		{"a lower one that is older", []StatedLimit{limit(2, 3*second, 4*second), limit(1, second, 2*second)}, 2},
		{"lifted", []StatedLimit{limit(1, 0, second), none(second, 2*second)}, -1},
		{"perhaps lifted before it was stated", []StatedLimit{limit(1, 0, 3*second), none(2*second, 4*second)}, 1},
		{"lifted, and an older limit arrives", []StatedLimit{limit(1, 0, second), none(3*second, 4*second), limit(1, second, 2*second)}, -1},
		{"a repeated limit is not lifted by what was sent before it", []StatedLimit{limit(1, 0, second), limit(1, 2*second, 4*second), none(3*second, 5*second)}, 1},
		{"nobody repeated it", []StatedLimit{limit(1, -statedTTL, -statedTTL)}, -1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var s StatedLimit
			for _, o := range tc.stated {
				s.Merge(o)
			}
			rate, limited := s.InForce(5 * second)
			if !limited {
				rate = -1
			}
			must.Eq(t, tc.want, rate)
		})
	}
}

// TestStatedLimitOrder checks with random statements that the rate in force is never above one that is certainly the newest, and that it
// becomes that one with the next statement.
func TestStatedLimitOrder(t *testing.T) {
	const span = 10 * time.Second
	r := rand.New(rand.NewPCG(65, 1))
	for range 2000 {
		rates := []float64{1, 2, 3}
		changes := []time.Duration{0, time.Duration(r.Int64N(int64(span))), time.Duration(r.Int64N(int64(span)))}
		rateAt := func(at time.Duration) float64 {
			rate := 0.0
			for i, from := range changes {
				if from <= at {
					rate = rates[i]
				}
			}
			return rate
		}
		var s StatedLimit
		for range 20 {
			after := time.Duration(r.Int64N(int64(span)))
			at := after + time.Duration(r.Int64N(int64(time.Second)))
			before := at + time.Duration(r.Int64N(int64(time.Second)))
			s.Merge(StatedLimit{Known: true, Limited: true, Value: rateAt(at), After: after, Before: before})
		}
		s.Merge(StatedLimit{Known: true, Limited: true, Value: rateAt(2 * span), After: 2 * span, Before: 2*span + 1})
		rate, limited := s.InForce(2*span + 1)
		must.True(t, limited)
		must.Eq(t, rateAt(2*span), rate)
	}
}

// TestGrantsKeepRate checks that all hosts together are granted no more requests in any four seconds than the rate allows, its burst
// and the grants that were returned, whatever hosts ask for, and nearly as many while one always asks.
func TestGrantsKeepRate(t *testing.T) {
	for _, rate := range []float64{0, 0.5, 1.6, 10, 200} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			r := rand.New(rand.NewPCG(65, uint64(10*rate)))
			var a Allocator
			a.SetRate(rate)
			limit := func(int) int { return 1000 }
			var granted, returned []time.Duration
			running, seq := make([]int, 12), uint32(0)
			const end = 30 * time.Second
			for now := time.Duration(0); now < end; now += time.Duration(1 + r.Int64N(int64(4*time.Millisecond))) {
				host := r.IntN(len(running))
				seq++
				req := Request{Running: running[host], Rank: r.IntN(3), Returned: r.IntN(50) == 0}
				if h := a.hosts[fmt.Sprint(host)]; req.Returned && h != nil && now < h.grantExpiry {
					for range h.granted {
						returned = append(returned, now)
					}
				}
				a.Update(now, fmt.Sprint(host), 1, seq, req)
				for range a.Allocate(now, limit, r) {
					granted = append(granted, now)
				}
				running[host] = max(0, running[host]+r.IntN(3)-1)
			}
			burst := max(1, rate*pacerBurst.Seconds())
			const window = 4 * time.Second
			within := func(times []time.Duration, end time.Duration) float64 {
				n := 0.0
				for _, at := range times {
					if at <= end && end-at < window {
						n++
					}
				}
				return n
			}
			for _, at := range granted {
				must.LessEq(t, rate*window.Seconds()+burst+within(returned, at), within(granted, at))
			}
			must.GreaterEq(t, 0.9*rate*end.Seconds()-1, float64(len(granted)))
		})
	}
}
