// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
)

// startingHost is a host that knows no settings until a peer proves some to it.
type startingHost struct {
	*node
	provenAt time.Duration // -1 until then
}

func (s *startingHost) Fill(b *Heartbeat) {
	s.node.Fill(b)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.provenAt < 0 {
		b.Info.Ready = false
	}
}

func (s *startingHost) Stamps() (settings, endpoints Stamp) {
	s.mu.Lock()
	provenAt := s.provenAt
	s.mu.Unlock()
	settings, endpoints = s.node.Stamps()
	if provenAt < 0 {
		settings = Stamp{AgeMS: -1}
	}
	return settings, endpoints
}

func (s *startingHost) ProofReceived(p Proof) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Settings.Known && s.provenAt < 0 {
		s.provenAt = s.now()
	}
}

// run starts the host's process; hasSettings says that it has read the settings.
func (s *startingHost) run(ctx context.Context, i int, seeds []string, hasSettings bool) {
	s.provenAt = -1
	if hasSettings {
		s.provenAt = s.now()
	}
	s.agent = &Agent{
		Table: &Table{Host: fmt.Sprintf("h%03d", i), Incarnation: uint64(s.now()) + 1}, Conn: s.conn, Seeds: seeds, Host: s, Now: s.now,
		Rand: rand.New(rand.NewPCG(7, uint64(i))), Log: logr.Discard(),
	}
	s.agent.Init()
	go s.agent.Run(ctx)
}

// TestStartingHostsGetProofs checks how soon peers prove to hosts that start what they have read, so that these
// need not read it from the store: all hosts of a fleet that starts while only its seeds have read the
// settings, and one host that starts in a running fleet.
func TestStartingHostsGetProofs(t *testing.T) {
	cases := []struct {
		hosts, zones int
		maxFleet     time.Duration // after the start of all, for 90 % of the hosts
		maxSingle    time.Duration // after the start of one host
	}{
		{6, 3, 100 * time.Millisecond, 60 * time.Millisecond},
		{63, 4, 300 * time.Millisecond, 60 * time.Millisecond},
		{300, 6, 400 * time.Millisecond, 60 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprint(tc.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				start := time.Now()
				network := &network{links: make(map[link]*rand.Rand), conns: make(map[string]*testConn)}
				all := make([]*startingHost, tc.hosts+1)
				var seeds []string
				for i := range all {
					s := &startingHost{node: &node{now: func() time.Duration { return time.Since(start) }, conn: network.open(i), usage: make(map[string]Usage)}}
					s.info = HostInfo{Address: s.conn.address.String(), Control: fmt.Sprint("c", i), Zone: fmt.Sprint("z", i%tc.zones), Region: "r", Capacity: 0.5, Ready: true, Fresh: true}
					all[i] = s
					if i < 3 {
						seeds = append(seeds, s.info.Address)
					}
				}
				last := all[tc.hosts]
				for i, s := range all[:tc.hosts] {
					s.run(ctx, i, seeds, i < 3)
				}
				time.Sleep(3 * time.Second)
				var times []time.Duration
				for _, s := range all[:tc.hosts] {
					must.GreaterEq(t, 0, s.provenAt)
					times = append(times, s.provenAt)
				}
				slices.Sort(times)
				t.Logf("proofs received after %v (median), %v (90th percentile), %v (maximum)", times[len(times)/2], times[len(times)*9/10], times[len(times)-1])
				must.LessEq(t, tc.maxFleet, times[len(times)*9/10])
				startedAt := last.now()
				last.run(ctx, tc.hosts, seeds, false)
				time.Sleep(time.Second)
				must.Between(t, startedAt, last.provenAt, startedAt+tc.maxSingle)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestReadRank checks the order in which hosts read the store for each other: one host comes first, which is
// a relay in fleets with relays, and a host that hears from no other does not wait for others.
func TestReadRank(t *testing.T) {
	for _, tc := range []struct{ hosts, zones int }{{6, 3}, {24, 3}, {63, 5}} {
		t.Run(fmt.Sprint(tc.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				nodes := fleet(ctx, tc.hosts, tc.zones, 0)
				time.Sleep(5 * time.Second)
				seen := make(map[int]int)
				for _, n := range nodes {
					rank, viaRelay := n.agent.ReadRank()
					seen[rank]++
					must.EqOp(t, tc.hosts > fanout+1, viaRelay)
					if _, relay := n.agent.relayStatus(); relay {
						must.Less(t, tc.zones, rank)
					}
				}
				must.EqOp(t, 1, seen[0])
				must.EqOp(t, 1, seen[1])
				nodes[0].conn.isolate()
				time.Sleep(30 * time.Second)
				rank, viaRelay := nodes[0].agent.ReadRank()
				must.EqOp(t, 0, rank)
				must.False(t, viaRelay)
				cancel()
				synctest.Wait()
			})
		})
	}
}
