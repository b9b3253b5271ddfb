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

	"github.com/heathkeel/heathkeel/places"
	"github.com/heathkeel/heathkeel/quarantine"
)

// node is a host of a fleet; its loads contain the time at which they were reported.
type node struct {
	mu     sync.Mutex
	agent  *Agent
	conn   *testConn
	info   HostInfo
	now    func() time.Duration
	used   float64
	usage  map[string]Usage
	proofs []Proof // the one with the most recent proof of the settings
	cancel context.CancelFunc
	host   Host // the program that the agent runs in
}

func (n *node) Fill(b *Heartbeat) {
	n.mu.Lock()
	defer n.mu.Unlock()
	b.Info = n.info
	// Prefill holds the time in milliseconds. Every host uses an endpoint of its own and one that all share.
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
	n.usage[u.Source] = u
}

func (n *node) LoadChanges() (map[string]Load, map[string][]int, bool) { return nil, nil, false }

func (n *node) LoadsReceived() {}

func (n *node) Limits() map[string]places.LimitReports { return nil }

func (n *node) LimitsReceived(map[string]places.LimitReports) {}

func (n *node) Crashes(quarantine.Scope) quarantine.Evidence { return quarantine.Evidence{} }

func (n *node) CrashesReceived(*quarantine.Evidence) bool { return false }

func (n *node) ProofReceived(p Proof) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.proofs) == 0 || p.Settings.At > n.proofs[0].Settings.At {
		n.proofs = []Proof{p}
	}
}

// relayStatus reports whether the fleet is so large that it has relays, and whether this host is one.
func (a *Agent) relayStatus() (relays, self bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	relays = a.usesRelays()
	return relays, relays && a.uplink.host == a.Table.Host
}

// fleet starts n hosts in some zones; the first host is the seed of all.
func fleet(ctx context.Context, n, zones int, loss float64) []*node {
	return fleetOf(ctx, n, zones, loss, func(n *node) Host { return n })
}

// fleetOf starts hosts whose programs are made from nodes.
func fleetOf(ctx context.Context, n, zones int, loss float64, host func(*node) Host) []*node {
	start := time.Now()
	network := &network{loss: loss, conns: make(map[string]*testConn), links: make(map[link]*rand.Rand)}
	nodes := make([]*node, n)
	for i := range nodes {
		nodes[i] = &node{now: func() time.Duration { return time.Since(start) }, conn: network.open(i)}
		nodes[i].info = HostInfo{
			Address: nodes[i].conn.address.String(), Front: fmt.Sprintf("10.0.0.%d:80", i), Control: fmt.Sprintf("10.0.0.%d:81", i),
			Zone: fmt.Sprint("z", i%zones), Region: "r", Capacity: []float64{0.2, 0.8}[i%2], Ready: true, Fresh: true,
		}
		nodes[i].host = host(nodes[i])
		nodes[i].start(ctx, i, nodes[0].info.Address)
	}
	return nodes
}

// start starts the host's process.
func (n *node) start(ctx context.Context, i int, seed string) {
	ctx, n.cancel = context.WithCancel(ctx)
	n.usage = make(map[string]Usage)
	n.agent = &Agent{
		Table: &Table{Host: fmt.Sprintf("h%03d", i), Incarnation: uint64(n.now()) + 1}, Conn: n.conn, Seeds: []string{seed}, Host: n.host, Now: n.now,
		Rand: rand.New(rand.NewPCG(7, uint64(i))), Log: logr.Discard(),
	}
	n.agent.Init()
	go n.agent.Run(ctx)
}

// resume runs a stopped agent again, with all that it knew.
func (n *node) resume(ctx context.Context) {
	ctx, n.cancel = context.WithCancel(ctx)
	go n.agent.Run(ctx)
}

// ages returns the sum and the maximum of the ages of what the host knows of others' loads, and the number of
// hosts whose loads it does not know.
func (n *node) ages(of []*node) (sum, oldest time.Duration, unknown int) {
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
		sum, oldest = sum+age, max(oldest, age)
	}
	return sum, oldest, unknown
}

// TestFleetLoadAges runs fleets of several sizes and checks how old the loads are that hosts know of each
// other, what they add up to, and the traffic per host. HEATHKEEL_TEST_BIG adds sizes that take long.
func TestFleetLoadAges(t *testing.T) {
	cases := []struct {
		hosts, zones int
		big          bool
		mean, oldest time.Duration
		bytes        int // mean per second and host, sent and received
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
				var sum, oldest time.Duration
				known := 0
				observed := nodes[:min(len(nodes), 60)]
				for range rounds {
					time.Sleep(310 * time.Millisecond)
					for _, n := range observed {
						s, maxAge, unknown := n.ages(observed)
						must.Zero(t, unknown)
						sum, oldest, known = sum+s, max(oldest, maxAge), known+len(observed)-1
					}
				}
				bytes, maxBytes, packets, relaying := 0, 0, 0, 0
				for _, n := range nodes {
					if _, self := n.agent.relayStatus(); self {
						relaying++
					}
					o := n.agent.PeerLoads()
					load, waiting := o.Load, o.Waiting
					must.Zero(t, o.Unreported)
					must.EqOp(t, tc.hosts-1, load["shared"].Running)
					must.EqOp(t, tc.hosts-1, waiting["s"][0])
					must.Len(t, tc.hosts-1, n.agent.Live())
					bytes, maxBytes, packets = bytes+n.conn.bytes, max(maxBytes, n.conn.bytes), packets+n.conn.packets
				}
				if tc.hosts > fanout+1 {
					must.EqOp(t, tc.zones, relaying)
				} else {
					must.Zero(t, relaying)
				}
				span := rounds * 0.31
				mean := sum / time.Duration(known)
				t.Logf("hosts %d: load age %v mean, %v maximum; a host sends and receives %.0f datagrams and %.1f KB per second, the busiest %.1f KB",
					tc.hosts, mean, oldest, float64(packets)/float64(tc.hosts)/span, float64(bytes)/float64(tc.hosts)/span/1024, float64(maxBytes)/span/1024)
				must.LessEq(t, tc.mean, mean)
				must.LessEq(t, tc.oldest, oldest)
				must.LessEq(t, tc.bytes, int(float64(bytes)/float64(tc.hosts)/span))
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestFleetFaults injects faults into a fleet and checks what its hosts know 3.5 s later.
func TestFleetFaults(t *testing.T) {
	const hosts, zones = 30, 3
	// relays returns the hosts that other hosts use as relays.
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
		inject func(nodes []*node) (isolated int)
	}{
		{"calm", 0, func([]*node) int { return 0 }},
		{"a tenth of the datagrams is lost", 0.1, func([]*node) int { return 0 }},
		{"all relays become silent", 0, func(nodes []*node) int {
			isolated, isRelay := 0, relays(nodes)
			for _, n := range nodes {
				if isRelay[n.agent.Table.Host] {
					n.conn.isolate()
					isolated++
				}
			}
			return isolated
		}},
		{"a zone is isolated", 0, func(nodes []*node) int {
			for i := 0; i < hosts; i += zones {
				nodes[i].conn.isolate()
			}
			return hosts / zones
		}},
		{"two thirds of the hosts are isolated", 0, func(nodes []*node) int {
			for i := range hosts * 2 / 3 {
				nodes[i].conn.isolate()
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
				isolated := tc.inject(nodes)
				time.Sleep(3500 * time.Millisecond)
				for _, n := range nodes {
					if n.conn.isolated {
						continue
					}
					load := n.agent.PeerLoads().Load
					// The sums must not include the host's own loads and those of isolated hosts. With lost
					// datagrams, one host of ten may be missing temporarily.
					got := load["shared"].Running
					must.LessEq(t, hosts-1-isolated+int(tc.loss*hosts), got)
					must.GreaterEq(t, hosts-1-isolated-int(tc.loss*hosts), got)
					must.LessEq(t, hosts-1-isolated, len(n.agent.Live()))
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestRelayedUsage lets hosts use a shared amount, and checks that a host is told through its relay exactly
// what the others used.
func TestRelayedUsage(t *testing.T) {
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
			return n.usage[n.agent.uplink.host]
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

// TestRelayedProofs checks that a proof through a relay is never more recent than the truth: every host reports
// that its settings were the newest when it sent, so a proof must be earlier than its receipt.
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
