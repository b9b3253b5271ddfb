// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/places"
)

// placeNode is a host that asks for places, and owns some: it has more requests than there are places.
type placeNode struct {
	mu      sync.Mutex
	node    *node
	rand    *rand.Rand
	zones   map[string]string // of endpoints
	slots   int
	takes   time.Duration
	running map[string]int
	told    map[string]places.Request
	books   map[string]*places.Allocator
	back    map[string]bool // places that were granted and are of no use
	dead    bool
	fresh   time.Duration // when all was told
	waiting int
}

func (p *placeNode) ZoneOf(endpoint string) string { return p.zones[endpoint] }

func (p *placeNode) SlotRequests() (map[string]places.Request, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]places.Request)
	want := make(map[string]bool)
	if p.waiting > 0 {
		for range 3 {
			want[fmt.Sprint("e", p.rand.IntN(len(p.zones)))] = true
		}
	}
	again := p.node.now()-p.fresh >= time.Second
	if again {
		p.fresh = p.node.now()
	}
	for e := range p.zones {
		a := places.Request{Running: p.running[e], Rank: -1}
		if want[e] {
			a.Rank = 1
		}
		if a != p.told[e] || want[e] || p.back[e] || (again && a.Running > 0) {
			p.told[e] = a
			a.Returned = p.back[e]
			out[e] = a
		}
	}
	clear(p.back)
	return out, p.waiting > 0
}

func (p *placeNode) HandleSlotRequests(host string, life uint64, seq uint32, asks map[string]places.Request) map[string]map[string]places.Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.node.now()
	out := make(map[string]map[string]places.Grant)
	for e, a := range asks {
		if p.books[e] == nil {
			p.books[e] = &places.Allocator{}
		}
		p.books[e].Update(now, host, life, seq, a)
		for _, to := range p.books[e].Allocate(now, func(int) int { return p.slots }, p.rand) {
			if out[to] == nil {
				out[to] = make(map[string]places.Grant)
			}
			out[to][e] = places.Grant{Slots: 1, Running: p.books[e].OthersRunning(now, to)}
		}
		if _, granted := out[host][e]; !granted && a.Rank >= 0 { // as a host answers who asks
			if out[host] == nil {
				out[host] = make(map[string]places.Grant)
			}
			out[host][e] = places.Grant{Running: p.books[e].OthersRunning(now, host)}
		}
	}
	return out
}

func (p *placeNode) HandleGrants(grants map[string]places.Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e, g := range grants {
		if g.Slots == 0 || p.waiting == 0 || p.dead {
			p.back[e] = g.Slots > 0
			continue
		}
		p.waiting--
		p.running[e]++
		time.AfterFunc(p.takes, func() {
			p.mu.Lock()
			p.running[e]--
			p.waiting++
			p.mu.Unlock()
			p.node.agent.TriggerSlotRequests()
		})
	}
	p.node.agent.TriggerSlotRequests()
}

// TestPlacesAreGiven lets fleets that have 1.5 times as many requests as there are places ask owners for them: how many of the
// places are taken, and that none has more requests than places for long, in calm, with losses, and after a
// third of the hosts has died.
func TestPlacesAreGiven(t *testing.T) {
	const slots, takes = 8, 400 * time.Millisecond
	cases := []struct {
		hosts, zones, endpoints int
		loss                    float64
		dies                    int // one of so many hosts, 0 for none
		least                   float64
		over                    int // requests beyond the places
	}{
		{24, 3, 12, 0, 0, 0.93, 0},
		{24, 3, 12, 0.1, 0, 0.85, 3},
		{85, 4, 60, 0, 0, 0.93, 0},
		{24, 3, 12, 0, 3, 0.93, 2},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprint(tc.hosts, " hosts, loss ", tc.loss, ", dies ", tc.dies), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				zones := make(map[string]string)
				for e := range tc.endpoints {
					zones[fmt.Sprint("e", e)] = fmt.Sprint("z", e%tc.zones)
				}
				nodes := fleet(ctx, tc.hosts, tc.zones, tc.loss)
				all := make([]*placeNode, tc.hosts)
				for i, n := range nodes {
					all[i] = &placeNode{
						node: n, rand: rand.New(rand.NewPCG(uint64(i), 5)), zones: zones, slots: slots, takes: takes, running: make(map[string]int),
						told: make(map[string]places.Request), books: make(map[string]*places.Allocator), back: make(map[string]bool),
					}
					n.agent.Slots = all[i]
					go n.agent.ask(ctx)
				}
				time.Sleep(4 * time.Second)
				for i := range tc.endpoints * slots * 3 / 2 {
					p := all[i%tc.hosts]
					p.mu.Lock()
					p.waiting++
					p.mu.Unlock()
					p.node.agent.TriggerSlotRequests()
				}
				if tc.dies > 0 {
					time.Sleep(time.Second)
					for i := 0; i < tc.hosts; i += tc.dies {
						nodes[i].conn.silence()
						all[i].mu.Lock()
						all[i].dead, all[i].waiting = true, 0
						all[i].mu.Unlock()
					}
					time.Sleep(3500 * time.Millisecond)
				}
				time.Sleep(time.Second)
				taken, rounds, most := 0, 0, 0
				for range 100 {
					time.Sleep(17 * time.Millisecond)
					synctest.Wait()
					rounds++
					for e := range zones {
						n := 0
						for _, p := range all {
							p.mu.Lock()
							n += p.running[e]
							p.mu.Unlock()
						}
						taken, most = taken+min(n, slots), max(most, n-slots)
					}
				}
				share := float64(taken) / float64(rounds*tc.endpoints*slots)
				t.Logf("%.3f of the places are taken, at most %d requests beyond them", share, most)
				must.GreaterEq(t, tc.least, share)
				must.LessEq(t, tc.over, most)
				cancel()
				time.Sleep(time.Second) // what waits for a time sees the end
			})
		})
	}
}
