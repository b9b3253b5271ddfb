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

// slotNode is a host that asks for slots and owns some; it has more requests than there are slots.
type slotNode struct {
	mu          sync.Mutex
	node        *node
	rand        *rand.Rand
	zones       map[string]string // by endpoint
	slots       int
	requestTime time.Duration
	running     map[string]int
	sent        map[string]places.Request
	allocators  map[string]*places.Allocator
	returned    map[string]bool // endpoints with granted slots that are not needed
	dead        bool
	lastFull    time.Duration // when all requests were sent
	waiting     int
}

func (p *slotNode) ZoneOf(endpoint string) string { return p.zones[endpoint] }

func (p *slotNode) SlotRequests(bool) (map[string]places.Request, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]places.Request)
	want := make(map[string]bool)
	if p.waiting > 0 {
		for range 3 {
			want[fmt.Sprint("e", p.rand.IntN(len(p.zones)))] = true
		}
	}
	full := p.node.now()-p.lastFull >= time.Second
	if full {
		p.lastFull = p.node.now()
	}
	for e := range p.zones {
		request := places.Request{Running: p.running[e], Rank: -1}
		if want[e] {
			request.Rank = 1
		}
		if request != p.sent[e] || want[e] || p.returned[e] || (full && request.Running > 0) {
			p.sent[e] = request
			request.Returned = p.returned[e]
			out[e] = request
		}
	}
	clear(p.returned)
	return out, p.waiting > 0
}

func (p *slotNode) HandleSlotRequests(host string, incarnation uint64, seq uint32, requests map[string]places.Request) map[string]map[string]places.Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.node.now()
	out := make(map[string]map[string]places.Grant)
	for e, request := range requests {
		if p.allocators[e] == nil {
			p.allocators[e] = &places.Allocator{}
		}
		p.allocators[e].Update(now, host, incarnation, seq, request)
		for _, to := range p.allocators[e].Allocate(now, func(int) int { return p.slots }, p.rand) {
			if out[to] == nil {
				out[to] = make(map[string]places.Grant)
			}
			out[to][e] = places.Grant{Slots: 1, Running: p.allocators[e].OthersRunning(now, to)}
		}
		if _, granted := out[host][e]; !granted && request.Rank >= 0 { // a host that asks is always answered
			if out[host] == nil {
				out[host] = make(map[string]places.Grant)
			}
			out[host][e] = places.Grant{Running: p.allocators[e].OthersRunning(now, host)}
		}
	}
	return out
}

func (p *slotNode) HandleGrants(grants map[string]places.Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e, g := range grants {
		if g.Slots == 0 || p.waiting == 0 || p.dead {
			p.returned[e] = g.Slots > 0
			continue
		}
		p.waiting--
		p.running[e]++
		time.AfterFunc(p.requestTime, func() {
			p.mu.Lock()
			p.running[e]--
			p.waiting++
			p.mu.Unlock()
			p.node.agent.TriggerSlotRequests()
		})
	}
	p.node.agent.TriggerSlotRequests()
}

// TestSlotUse runs fleets that have 1.5 times as many requests as slots and ask the owners for slots. It checks
// how many slots are used, and that no endpoint has more requests than slots for long, without faults, with
// losses, and after a third of the hosts has died.
func TestSlotUse(t *testing.T) {
	const slots, requestTime = 8, 400 * time.Millisecond
	cases := []struct {
		hosts, zones, endpoints int
		loss                    float64
		dies                    int // one of so many hosts, 0 for none
		minUsed                 float64
		maxExcess               int // requests beyond the slots of an endpoint
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
				all := make([]*slotNode, tc.hosts)
				for i, n := range nodes {
					all[i] = &slotNode{
						node: n, rand: rand.New(rand.NewPCG(uint64(i), 5)), zones: zones, slots: slots, requestTime: requestTime, running: make(map[string]int),
						sent: make(map[string]places.Request), allocators: make(map[string]*places.Allocator), returned: make(map[string]bool),
					}
					n.agent.Slots = all[i]
					go n.agent.slotRequestLoop(ctx)
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
						nodes[i].conn.isolate()
						all[i].mu.Lock()
						all[i].dead, all[i].waiting = true, 0
						all[i].mu.Unlock()
					}
					time.Sleep(3500 * time.Millisecond)
				}
				time.Sleep(time.Second)
				used, rounds, peak := 0, 0, 0
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
						used, peak = used+min(n, slots), max(peak, n-slots)
					}
				}
				share := float64(used) / float64(rounds*tc.endpoints*slots)
				t.Logf("%.3f of the slots are used, at most %d requests beyond them", share, peak)
				must.GreaterEq(t, tc.minUsed, share)
				must.LessEq(t, tc.maxExcess, peak)
				cancel()
				time.Sleep(time.Second) // lets sleeping goroutines see the end of ctx
			})
		})
	}
}
