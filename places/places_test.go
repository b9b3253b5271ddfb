// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package places

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const ms = time.Millisecond

// candidates returns n hosts in zones a, b and c.
func candidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{Host: fmt.Sprint("h", i), Zone: string(rune('a' + i%3))}
	}
	return out
}

// TestOwner checks that owners are in the endpoint's zone and own about equal shares, and that the
// loss of a host moves only the endpoints that it owned.
func TestOwner(t *testing.T) {
	hosts := candidates(30)
	owned := make(map[string]int)
	const endpoints = 3000
	for e := range endpoints {
		name, zone := fmt.Sprint("e", e), string(rune('a'+e%3))
		first := Owner(name, zone, hosts)
		owned[first]++
		for i, h := range hosts {
			if h.Host == first {
				must.EqOp(t, zone, h.Zone)
			}
			rest := append(append([]Candidate(nil), hosts[:i]...), hosts[i+1:]...)
			if h.Host != first && e < 30 {
				must.EqOp(t, first, Owner(name, zone, rest))
			}
		}
	}
	for _, n := range owned {
		must.Between(t, 60, n, 140)
	}
	must.EqOp(t, "", Owner("e", "a", nil))
	must.NotEq(t, "", Owner("e", "elsewhere", hosts)) // a zone without hosts
}

// TestAllocator sends messages of hosts to an allocator of two slots, where the top tier may use
// three.
func TestAllocator(t *testing.T) {
	type message struct {
		at          time.Duration
		host        string
		seq         uint32
		request     Request
		want        []string // hosts that then get a slot
		incarnation uint64   // of the host; 0 means the first
	}
	cases := []struct {
		name     string
		messages []message
	}{
		{"free slots", []message{{0, "x", 1, Request{Running: 0, Rank: 1, Returned: false}, []string{"x"}, 0}, {0, "y", 1, Request{Running: 0, Rank: 1, Returned: false}, []string{"y"}, 0}, {0, "z", 1, Request{Running: 0, Rank: 1, Returned: false}, nil, 0}}},
		{"the top tier may use one more", []message{{0, "x", 1, Request{Running: 2, Rank: -1, Returned: false}, nil, 0}, {0, "y", 1, Request{Running: 0, Rank: 1, Returned: false}, nil, 0}, {0, "z", 1, Request{Running: 0, Rank: 0, Returned: false}, []string{"z"}, 0}}},
		{"a granted slot is taken", []message{{0, "x", 1, Request{Running: 1, Rank: -1, Returned: false}, nil, 0}, {0, "y", 1, Request{Running: 0, Rank: 1, Returned: false}, []string{"y"}, 0}, {0, "y", 2, Request{Running: 1, Rank: -1, Returned: false}, nil, 0}, {0, "z", 1, Request{Running: 0, Rank: 1, Returned: false}, nil, 0}}},
		{"a granted slot is returned", []message{{0, "x", 1, Request{Running: 1, Rank: -1, Returned: false}, nil, 0}, {0, "y", 1, Request{Running: 0, Rank: 1, Returned: false}, []string{"y"}, 0}, {0, "z", 1, Request{Running: 0, Rank: 1, Returned: false}, nil, 0}, {0, "y", 2, Request{Running: 0, Rank: -1, Returned: true}, []string{"z"}, 0}}},
		{"a grant expires", []message{{0, "x", 1, Request{Running: 1, Rank: -1, Returned: false}, nil, 0}, {0, "y", 1, Request{Running: 0, Rank: 1, Returned: false}, []string{"y"}, 0}, {requestTTL + 1, "z", 1, Request{Running: 0, Rank: 1, Returned: false}, []string{"z"}, 0}}},
		{"a request ends", []message{{0, "x", 1, Request{Running: 2, Rank: -1, Returned: false}, nil, 0}, {0, "y", 1, Request{Running: 0, Rank: 1, Returned: false}, nil, 0}, {50 * ms, "x", 2, Request{Running: 1, Rank: -1, Returned: false}, []string{"y"}, 0}}},
		{"a higher tier goes first", []message{{0, "x", 1, Request{Running: 3, Rank: -1, Returned: false}, nil, 0}, {0, "y", 1, Request{Running: 0, Rank: 2, Returned: false}, nil, 0}, {0, "z", 1, Request{Running: 0, Rank: 1, Returned: false}, nil, 0}, {0, "x", 2, Request{Running: 1, Rank: -1, Returned: false}, []string{"z"}, 0}}},
		{"a request for a slot expires", []message{{0, "x", 1, Request{Running: 2, Rank: -1, Returned: false}, nil, 0}, {0, "y", 1, Request{Running: 0, Rank: 1, Returned: false}, nil, 0}, {requestTTL + 1, "x", 2, Request{Running: 1, Rank: -1, Returned: false}, nil, 0}}},
		{"messages out of order", []message{{0, "x", 5, Request{Running: 2, Rank: -1, Returned: false}, nil, 0}, {0, "x", 4, Request{Running: 0, Rank: -1, Returned: false}, nil, 0}, {0, "y", 1, Request{Running: 0, Rank: 1, Returned: false}, nil, 0}}},
		{"a message received twice", []message{{0, "x", 5, Request{Running: 1, Rank: 1, Returned: false}, []string{"x"}, 0}, {0, "x", 5, Request{Running: 1, Rank: 1, Returned: false}, nil, 0}}},
		{"a silent host", []message{{0, "x", 1, Request{Running: 2, Rank: -1, Returned: false}, nil, 0}, {hostTTL + 1, "y", 1, Request{Running: 0, Rank: 1, Returned: false}, []string{"y"}, 0}}},
		{"a host that restarts", []message{{0, "x", 900, Request{Running: 2, Rank: -1, Returned: false}, nil, 0}, {ms, "x", 1, Request{Running: 0, Rank: 1, Returned: false}, []string{"x"}, 2}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var a Allocator
			r := rand.New(rand.NewPCG(1, 1))
			limit := func(rank int) int {
				if rank == 0 {
					return 3
				}
				return 2
			}
			for i, m := range tc.messages {
				a.Update(m.at, m.host, cmp.Or(m.incarnation, 1), m.seq, m.request)
				must.Eq(t, m.want, a.Allocate(m.at, limit, r), must.Sprint("message ", i))
			}
		})
	}
}

// TestAllocatorBounds simulates hosts that take and return granted slots at random, some after the
// grant has expired. It checks that their requests exceed the slots by at most half the number of
// hosts, and those that the allocator knows of by at most the number of hosts.
func TestAllocatorBounds(t *testing.T) {
	const hosts, slots = 12, 9
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		var a Allocator
		var running, allowed [hosts]int
		var seq [hosts]uint32
		limit := func(int) int { return slots }
		for now := time.Duration(0); now < 3*time.Second; now += 2 * ms {
			h := r.IntN(hosts)
			switch {
			case allowed[h] > 0 && r.IntN(2) == 0:
				allowed[h]--
				running[h]++
			case running[h] > 0 && r.IntN(4) == 0:
				running[h]--
			}
			seq[h]++
			rank := r.IntN(3) - 1
			returned := rank < 0 && r.IntN(2) == 0
			if returned {
				allowed[h] = 0
			}
			a.Update(now, fmt.Sprint(h), 1, seq[h], Request{Running: running[h], Rank: rank, Returned: returned})
			for _, host := range a.Allocate(now, limit, r) {
				var i int
				_, err := fmt.Sscan(host, &i)
				must.NoError(t, err)
				allowed[i] = 1
			}
			total := 0
			for i := range running {
				total += running[i]
			}
			must.LessEq(t, slots+hosts/2, total, must.Sprint("seed ", seed)) // by slots taken after the grant expired and before the host reports them
			must.LessEq(t, slots+hosts, a.Running(now))
		}
	}
}
