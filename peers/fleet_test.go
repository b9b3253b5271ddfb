// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/quarantine"
)

// node is a host of a fleet: its loads tell the time at which they were told.
type node struct {
	mu     sync.Mutex
	agent  *Agent
	conn   *endConn
	row    HostInfo
	now    func() time.Duration
	used   float64
	heard  map[string]Usage
	proofs []Proof // the one with the youngest proof of the settings
	cancel context.CancelFunc
	host   Host // what the agent runs in
}

func (n *node) Fill(b *Heartbeat) {
	n.mu.Lock()
	defer n.mu.Unlock()
	b.Info = n.row
	// Prefill holds the time in milliseconds; every host uses an endpoint of its own and
	// one that all share.
	b.Load = map[string]Load{n.agent.Table.Host: {Running: 1, Prefill: int(n.now().Milliseconds())}, "shared": {Running: 1}}
	b.Waiting = map[string][]int{"s": {1}}
	b.Used = map[string]float64{"w": n.used}
}

func (n *node) Stamps() (settings, endpoints Stamp) {
	return Stamp{Revision: 3, AgeMS: 0}, Stamp{AgeMS: -1}
}

func (n *node) UsageReceived(u Usage) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heard[u.Source] = u
}

func (n *node) LoadChanges() (map[string]Load, map[string][]int, bool) { return nil, nil, false }

func (n *node) LoadsReceived() {}

func (n *node) Crashes(quarantine.Scope) quarantine.Evidence { return quarantine.Evidence{} }

func (n *node) CrashesReceived(*quarantine.Evidence) bool { return false }

func (n *node) ProofReceived(p Proof) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.proofs) == 0 || p.Settings.At > n.proofs[0].Settings.At {
		n.proofs = []Proof{p}
	}
}

// Relaying tells whether the fleet is so large that there are relays, and whether this host
// is one.
func (a *Agent) Relaying() (relays, self bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	relays = a.relayed()
	return relays, relays && a.uplink.host == a.Table.Host
}

// fleet starts n hosts in some zones, each of which knows the first.
func fleet(ctx context.Context, n, zones int, loss float64) []*node {
	return fleetOf(ctx, n, zones, loss, func(n *node) Host { return n })
}

// fleetOf starts hosts that are made of nodes.
func fleetOf(ctx context.Context, n, zones int, loss float64, host func(*node) Host) []*node {
	start := time.Now()
	network := &network{loss: loss, conns: make(map[string]*endConn), ways: make(map[way]*rand.Rand)}
	nodes := make([]*node, n)
	for i := range nodes {
		nodes[i] = &node{now: func() time.Duration { return time.Since(start) }, conn: network.open(i)}
		nodes[i].row = HostInfo{
			Address: nodes[i].conn.address.String(), Front: fmt.Sprintf("10.0.0.%d:80", i), Control: fmt.Sprintf("10.0.0.%d:81", i),
			Zone: fmt.Sprint("z", i%zones), Region: "r", Capacity: []float64{0.2, 0.8}[i%2], Ready: true, Fresh: true,
		}
		nodes[i].host = host(nodes[i])
		nodes[i].start(ctx, i, nodes[0].row.Address)
	}
	return nodes
}

// start begins a life of a host.
func (n *node) start(ctx context.Context, i int, seed string) {
	ctx, n.cancel = context.WithCancel(ctx)
	n.heard = make(map[string]Usage)
	n.agent = &Agent{
		Table: &Table{Host: fmt.Sprintf("h%03d", i), Incarnation: uint64(n.now()) + 1}, Conn: n.conn, Seeds: []string{seed}, Host: n.host, Now: n.now,
		Rand: rand.New(rand.NewPCG(7, uint64(i))), Log: logr.Discard(),
	}
	n.agent.Init()
	go n.agent.Run(ctx)
}

// resume lets a host go on whose agent was stopped: with all that it knew.
func (n *node) resume(ctx context.Context) {
	ctx, n.cancel = context.WithCancel(ctx)
	go n.agent.Run(ctx)
}

// ages gives the ages of what a host knows of the loads of some others, and how many of
// these it knows nothing of.
func (n *node) ages(of []*node) (sum, worst time.Duration, unknown int) {
	load := n.agent.PeerLoads().Load
	for _, o := range of {
		if o == n {
			continue
		}
		l, ok := load[o.agent.Table.Host]
		if !ok || l.Prefill == 0 {
			unknown++
			continue
		}
		age := n.now() - time.Duration(l.Prefill)*time.Millisecond
		sum, worst = sum+age, max(worst, age)
	}
	return sum, worst, unknown
}

// TestFleetHearsOfEachOther lets fleets of several sizes run and holds how old the loads
// are that hosts know of each other, what they add up to, and what that costs in datagrams
// and bytes. HEATHKEEL_TEST_BIG adds the sizes that take long.
func TestFleetHearsOfEachOther(t *testing.T) {
	cases := []struct {
		hosts, zones int
		big          bool
		mean, worst  time.Duration
		bytes        int // a second and host, sent and heard, in the mean
	}{
		{6, 3, false, 150 * time.Millisecond, 400 * time.Millisecond, 18 << 10},
		{9, 3, false, 150 * time.Millisecond, 400 * time.Millisecond, 24 << 10},
		{24, 3, false, 500 * time.Millisecond, 1000 * time.Millisecond, 18 << 10},
		{63, 4, false, 500 * time.Millisecond, 1000 * time.Millisecond, 18 << 10},
		{87, 5, true, 500 * time.Millisecond, 1000 * time.Millisecond, 18 << 10},
		{295, 6, true, 500 * time.Millisecond, 1200 * time.Millisecond, 24 << 10},
		{930, 9, true, 500 * time.Millisecond, 1500 * time.Millisecond, 48 << 10},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprint(tc.hosts), func(t *testing.T) {
			if tc.big && os.Getenv("HEATHKEEL_TEST_BIG") == "" {
				t.Skip("set HEATHKEEL_TEST_BIG for fleets of this size")
			}
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				nodes := fleet(ctx, tc.hosts, tc.zones, 0)
				time.Sleep(8 * time.Second)
				for _, n := range nodes {
					n.conn.packets, n.conn.bytes = 0, 0
				}
				const rounds = 10
				var sum, worst time.Duration
				known := 0
				watched := nodes[:min(len(nodes), 60)]
				for range rounds {
					time.Sleep(310 * time.Millisecond)
					for _, n := range watched {
						s, w, unknown := n.ages(watched)
						must.Zero(t, unknown)
						sum, worst, known = sum+s, max(worst, w), known+len(watched)-1
					}
				}
				bytes, most, packets, relaying := 0, 0, 0, 0
				for _, n := range nodes {
					if _, self := n.agent.Relaying(); self {
						relaying++
					}
					o := n.agent.PeerLoads()
					load, waiting := o.Load, o.Waiting
					must.Zero(t, o.Unreported)
					must.EqOp(t, tc.hosts-1, load["shared"].Running)
					must.EqOp(t, tc.hosts-1, waiting["s"][0])
					must.Len(t, tc.hosts-1, n.agent.Live())
					bytes, most, packets = bytes+n.conn.bytes, max(most, n.conn.bytes), packets+n.conn.packets
				}
				if tc.hosts > fanout+1 {
					must.EqOp(t, tc.zones, relaying)
				} else {
					must.Zero(t, relaying)
				}
				span := rounds * 0.31
				mean := sum / time.Duration(known)
				t.Logf("hosts %d: loads known after %v in the mean, %v at most; a host sends and hears %.0f datagrams and %.1f KB a second, the busiest %.1f KB",
					tc.hosts, mean, worst, float64(packets)/float64(tc.hosts)/span, float64(bytes)/float64(tc.hosts)/span/1024, float64(most)/span/1024)
				must.LessEq(t, tc.mean, mean)
				must.LessEq(t, tc.worst, worst)
				must.LessEq(t, tc.bytes, int(float64(bytes)/float64(tc.hosts)/span))
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestFleetFaults strikes a fleet and holds what its hosts know a while later.
func TestFleetFaults(t *testing.T) {
	const hosts, zones = 30, 3
	// relays are the hosts that most hosts use.
	relays := func(nodes []*node) map[string]bool {
		out := make(map[string]bool)
		for _, n := range nodes {
			out[n.agent.uplink.host] = true
		}
		return out
	}
	cases := []struct {
		name   string
		loss   float64
		strike func(nodes []*node) (off int)
	}{
		{"calm", 0, func([]*node) int { return 0 }},
		{"a tenth of the datagrams is lost", 0.1, func([]*node) int { return 0 }},
		{"all relays fall silent", 0, func(nodes []*node) int {
			off, which := 0, relays(nodes)
			for _, n := range nodes {
				if which[n.agent.Table.Host] {
					n.conn.silence()
					off++
				}
			}
			return off
		}},
		{"a zone is dark", 0, func(nodes []*node) int {
			for i := 0; i < hosts; i += zones {
				nodes[i].conn.silence()
			}
			return hosts / zones
		}},
		{"two thirds are dark", 0, func(nodes []*node) int {
			for i := range hosts * 2 / 3 {
				nodes[i].conn.silence()
			}
			return hosts * 2 / 3
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				nodes := fleet(ctx, hosts, zones, tc.loss)
				time.Sleep(4 * time.Second)
				off := tc.strike(nodes)
				time.Sleep(3500 * time.Millisecond)
				for _, n := range nodes {
					if n.conn.off {
						continue
					}
					load := n.agent.PeerLoads().Load
					// The own loads and those of what is dark must be out of the sums; with
					// losses, one host of ten may be missing for a moment.
					got := load["shared"].Running
					must.LessEq(t, hosts-1-off+int(tc.loss*hosts), got)
					must.GreaterEq(t, hosts-1-off-int(tc.loss*hosts), got)
					must.LessEq(t, hosts-1-off, len(n.agent.Live()))
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestRelayedUse lets hosts use a shared amount while relays come and go, and holds what
// others were told against what was used: never more, and all of it in calm times.
func TestRelayedUse(t *testing.T) {
	const hosts, zones = 24, 3
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		nodes := fleet(ctx, hosts, zones, 0)
		time.Sleep(3 * time.Second)
		n := nodes[5]
		last := func() Usage {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.heard[n.agent.uplink.host]
		}
		before := last()
		must.EqOp(t, hosts-1, before.Hosts)
		for range 20 {
			for _, o := range nodes {
				o.mu.Lock()
				o.used += 10
				o.mu.Unlock()
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		after := last()
		must.EqOp(t, before.Source, after.Source)
		must.EqOp(t, 20*10*(hosts-1), after.Used["w"]-before.Used["w"])
		cancel()
		synctest.Wait()
	})
}

// TestRelayedProofs checks that a proof by way of a relay is never younger than the truth:
// every host tells that its settings were newest when it sent, and a proof must lie before
// the moment at which it is heard.
func TestRelayedProofs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		nodes := fleet(ctx, 24, 3, 0.05)
		time.Sleep(3 * time.Second)
		for range 20 {
			time.Sleep(130 * time.Millisecond)
			for _, n := range nodes {
				n.mu.Lock()
				must.SliceNotEmpty(t, n.proofs)
				p := n.proofs[0]
				must.True(t, p.Settings.Known)
				must.Less(t, n.now(), p.Settings.At)
				must.Less(t, 2*time.Second, n.now()-p.Settings.At)
				must.False(t, p.Endpoints.Known)
				n.mu.Unlock()
			}
		}
		cancel()
		synctest.Wait()
	})
}
