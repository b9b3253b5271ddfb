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

// starter is a host that knows no settings until a peer proves some to it.
type starter struct {
	*node
	told time.Duration // when it was told, or -1
}

func (s *starter) Fill(b *Heartbeat) {
	s.node.Fill(b)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.told < 0 {
		b.Info.Ready = false
	}
}

func (s *starter) Stamps() (settings, endpoints Stamp) {
	s.mu.Lock()
	told := s.told
	s.mu.Unlock()
	settings, endpoints = s.node.Stamps()
	if told < 0 {
		settings = Stamp{AgeMS: -1}
	}
	return settings, endpoints
}

func (s *starter) ProofReceived(p Proof) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Settings.Known && s.told < 0 {
		s.told = s.now()
	}
}

// begin starts it, with the first hosts as seeds; knows says that it has read the settings.
func (s *starter) begin(ctx context.Context, i int, seeds []string, knows bool) {
	s.told = -1
	if knows {
		s.told = s.now()
	}
	s.agent = &Agent{
		Table: &Table{Host: fmt.Sprintf("h%03d", i), Incarnation: uint64(s.now()) + 1}, Conn: s.conn, Seeds: seeds, Host: s, Now: s.now,
		Rand: rand.New(rand.NewPCG(7, uint64(i))), Log: logr.Discard(),
	}
	s.agent.Init()
	go s.agent.Run(ctx)
}

// TestStartersAreTold holds how soon hosts that start are told by peers what these read, so that
// they need not read it themselves: all of a fleet at once while only its seeds have read, and one
// host in a fleet that runs.
func TestStartersAreTold(t *testing.T) {
	cases := []struct {
		hosts, zones int
		all          time.Duration // after a start of all nine in ten are told
		one          time.Duration // after its start one is
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
				network := &network{ways: make(map[way]*rand.Rand), conns: make(map[string]*endConn)}
				all := make([]*starter, tc.hosts+1)
				var seeds []string
				for i := range all {
					s := &starter{node: &node{now: func() time.Duration { return time.Since(start) }, conn: network.open(i), heard: make(map[string]Usage)}}
					s.row = HostInfo{Address: s.conn.address.String(), Control: fmt.Sprint("c", i), Zone: fmt.Sprint("z", i%tc.zones), Region: "r", Capacity: 0.5, Ready: true, Fresh: true}
					all[i] = s
					if i < 3 {
						seeds = append(seeds, s.row.Address)
					}
				}
				last := all[tc.hosts]
				for i, s := range all[:tc.hosts] {
					s.begin(ctx, i, seeds, i < 3)
				}
				time.Sleep(3 * time.Second)
				var told []time.Duration
				for _, s := range all[:tc.hosts] {
					must.GreaterEq(t, 0, s.told)
					told = append(told, s.told)
				}
				slices.Sort(told)
				t.Logf("told after %v in the median, %v for nine in ten, %v at last", told[len(told)/2], told[len(told)*9/10], told[len(told)-1])
				must.LessEq(t, tc.all, told[len(told)*9/10])
				began := last.now()
				last.begin(ctx, tc.hosts, seeds, false)
				time.Sleep(time.Second)
				must.Between(t, began, last.told, began+tc.one)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestTurns holds the order in which hosts read the store for each other: one comes first, with
// relays one of these, and a host that hears nobody does not wait for others.
func TestTurns(t *testing.T) {
	for _, tc := range []struct{ hosts, zones int }{{6, 3}, {24, 3}, {63, 5}} {
		t.Run(fmt.Sprint(tc.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				nodes := fleet(ctx, tc.hosts, tc.zones, 0)
				time.Sleep(5 * time.Second)
				seen := make(map[int]int)
				for _, n := range nodes {
					turn, far := n.agent.ReadRank()
					seen[turn]++
					must.EqOp(t, tc.hosts > fanout+1, far)
					if _, relay := n.agent.Relaying(); relay {
						must.Less(t, tc.zones, turn)
					}
				}
				must.EqOp(t, 1, seen[0])
				must.EqOp(t, 1, seen[1])
				nodes[0].conn.silence()
				time.Sleep(30 * time.Second)
				turn, far := nodes[0].agent.ReadRank()
				must.EqOp(t, 0, turn)
				must.False(t, far)
				cancel()
				synctest.Wait()
			})
		})
	}
}
