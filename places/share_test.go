// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package places

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// shareSim plays hosts that take each slot at once and hold it for the time of their workspace. It returns the slot time of each workspace
// over that of all slots.
func shareSim(hosts, slots int, wants []Want, times []time.Duration, returnedEvery int) []float64 {
	r := rand.New(rand.NewPCG(7, 7))
	var a Allocator
	seq, running := make([]uint32, hosts), make([]int, hosts)
	ends := make(map[time.Duration][]int)
	got := make([]float64, len(wants))
	const end = 60 * time.Second
	grants := 0
	for now := time.Duration(0); now < end; now += ms {
		message := func(h int, req Request) {
			seq[h]++
			req.Running = running[h]
			a.Update(now, fmt.Sprint(h), 1, seq[h], req)
		}
		for _, h := range ends[now] {
			running[h]--
		}
		for h := range hosts {
			message(h, Request{Rank: wants[h%len(wants)].Rank, Wants: NewWants(wants[h%len(wants)])})
		}
		for _, x := range a.AllocateShares(now, func(int) int { return slots }, r) {
			var h int
			_, _ = fmt.Sscan(x.Host, &h)
			if grants++; returnedEvery > 0 && h%len(wants) == 0 && grants%returnedEvery == 0 {
				message(h, Request{Rank: -1, Returned: true})
				continue
			}
			running[h]++
			message(h, Request{Rank: -1})
			i := h % len(wants)
			ends[now+times[i]] = append(ends[now+times[i]], h)
			got[i] += times[i].Seconds() / (end.Seconds() * float64(slots))
		}
	}
	return got
}

// TestShares checks that workspaces get equal times, or times by their weights, however long their requests are, that higher tiers go
// first, and that returned grants are not charged.
func TestShares(t *testing.T) {
	short := []time.Duration{100 * ms, 100 * ms, 100 * ms}
	cases := []struct {
		name          string
		wants         []Want
		times         []time.Duration
		returnedEvery int
		want          []float64
	}{
		{"equal", []Want{{"a", 1, 1, 0}, {"b", 1, 1, 0}, {"c", 1, 1, 0}}, short, 0, []float64{1. / 3, 1. / 3, 1. / 3}},
		{"weights", []Want{{"a", 1, 1, 2}, {"b", 1, 1, 1}, {"c", 1, 1, 1}}, short, 0, []float64{0.5, 0.25, 0.25}},
		{"long and short requests", []Want{{"a", 1, 1, 0}, {"b", 1, 1, 0}, {"c", 1, 1, 0}}, []time.Duration{1000 * ms, 100 * ms, 300 * ms}, 0, []float64{1. / 3, 1. / 3, 1. / 3}},
		{"a higher tier", []Want{{"a", 0, 1, 0}, {"b", 1, 1, 0}, {"c", 1, 1, 0}}, short, 0, []float64{1, 0, 0}},
		{"returned grants", []Want{{"a", 1, 1, 0}, {"b", 1, 1, 0}, {"c", 1, 1, 0}}, short, 3, []float64{1. / 3, 1. / 3, 1. / 3}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for _, hosts := range []int{12, 63} {
				got := shareSim(hosts, 4, tc.wants, tc.times, tc.returnedEvery)
				for i := range got {
					must.InDelta(t, tc.want[i], got[i], 0.05*max(tc.want[i], 0.2), must.Sprint(hosts, got))
				}
			}
		})
	}
}

// TestWantsWire checks the wire format of wants, and that hosts of versions with and without them understand each other.
func TestWantsWire(t *testing.T) {
	r := Request{Running: 1, Rank: 0, Wants: NewWants(Want{Workspace: "a", N: 2}, Want{Workspace: "b", Rank: 1, N: 1, Weight: 2})}
	data, err := json.Marshal(r)
	must.NoError(t, err)
	must.EqOp(t, `{"r":1,"k":0,"w":[{"w":"a","k":0,"n":2},{"w":"b","k":1,"n":1,"g":2}]}`, string(data))
	var back Request
	must.NoError(t, json.Unmarshal(data, &back))
	must.True(t, back == r)
	data, err = json.Marshal(Request{Rank: -1})
	must.NoError(t, err)
	must.EqOp(t, `{"r":0,"k":-1}`, string(data))
	var five Request
	must.NoError(t, json.Unmarshal([]byte(`{"k":1,"w":[{"w":"a"},{"w":"b"},{"w":"c"},{"w":"d"},{"w":"e","k":-7}]}`), &five))
	must.SliceLen(t, MaxWants, five.Wants.All())
	var a Allocator
	a.Update(0, "old", 1, 1, Request{Rank: 1})
	got := a.AllocateShares(0, func(int) int { return 1 }, rand.New(rand.NewPCG(1, 1)))
	must.Eq(t, []Allocation{{Host: "old", Rank: 1}}, got)
}

// TestSharesBounds checks that messages with absurd numbers do not make an owner keep much state.
func TestSharesBounds(t *testing.T) {
	var a Allocator
	for i := range 1000 {
		a.Update(0, "x", 1, uint32(i+1), Request{Running: 1 << 40, Rank: 1, Wants: NewWants(Want{Workspace: fmt.Sprint(i), Rank: 1 << 40, Weight: -1})})
	}
	must.LessEq(t, maxUses, len(a.hosts["x"].uses))
	must.LessEq(t, maxFlows, len(a.shares.flows))
}

// BenchmarkAllocate measures a message of a host and the grant that follows, while all hosts want a slot of an endpoint for four of 16
// workspaces.
func BenchmarkAllocate(b *testing.B) {
	for _, hosts := range []int{6, 64, 300, 985} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			var a Allocator
			r := rand.New(rand.NewPCG(1, 1))
			names, seq, running := make([]string, hosts), make([]uint32, hosts), make([]int, hosts)
			requests := make([]Request, hosts)
			index := make(map[string]int)
			for i := range hosts {
				names[i] = fmt.Sprint("host-", i)
				index[names[i]] = i
				var list []Want
				for k := range MaxWants {
					list = append(list, Want{Workspace: fmt.Sprint("w", (i+4*k)%16), Rank: k / 2, N: 1})
				}
				requests[i] = Request{Wants: NewWants(list...)}
			}
			update := func(now time.Duration, i int) {
				seq[i]++
				requests[i].Running = running[i]
				a.Update(now, names[i], 1, seq[i], requests[i])
			}
			now := time.Duration(0)
			for i := range hosts {
				update(now, i)
			}
			limit := func(int) int { return 4 }
			var holders []int
			b.ReportAllocs()
			for b.Loop() {
				now += 100 * time.Microsecond
				if len(holders) == 4 {
					running[holders[0]]--
					update(now, holders[0])
					holders = holders[1:]
				} else {
					update(now, r.IntN(hosts))
				}
				for _, x := range a.AllocateShares(now, limit, r) {
					i := index[x.Host]
					running[i]++
					update(now, i)
					holders = append(holders, i)
				}
			}
		})
	}
}

// TestUnusedOwnGrants checks that grants of the owner itself that expire are neither kept nor charged.
func TestUnusedOwnGrants(t *testing.T) {
	var a Allocator
	r := rand.New(rand.NewPCG(1, 1))
	now := time.Second
	for seq := uint32(1); seq <= 100; seq++ {
		a.Update(now, "self", 1, seq, Request{Rank: 0, Wants: NewWants(Want{Workspace: "w", N: 1})})
		must.SliceLen(t, 1, a.AllocateShares(now, func(int) int { return 4 }, r))
		now += 2 * grantTTL
		a.NoteOwn(now, "self", 0, 0)
	}
	must.SliceEmpty(t, a.hosts["self"].grants)
	must.Less(t, 1.0, a.shares.flow(Want{Workspace: "w"}).tag)
}

// TestWeightsAreLimited checks that an absurd weight in a message does not make all start tags infinite.
func TestWeightsAreLimited(t *testing.T) {
	for _, weight := range []float64{1e-310, 1e300} {
		var s shares
		f := s.flow(Want{Workspace: "w", Weight: weight})
		s.charge(f)
		must.False(t, math.IsInf(s.start(f), 0))
		must.Between(t, minWeight, f.weight, maxWeight)
	}
}
