// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// newHeartbeat returns a heartbeat as a host would send it.
func newHeartbeat(t *Table, now time.Duration, to []*Member, age int64) *Heartbeat {
	return &Heartbeat{
		Host: t.Host, Incarnation: t.Incarnation, Seq: t.NextSeq(now), Echo: t.Echo(to), Known: t.KnownHosts(now, "", toHosts),
		Info: HostInfo{Address: t.Host, Ready: true}, Words: Words{Settings: Stamp{Revision: 7, AgeMS: age}, Endpoints: Stamp{AgeMS: -1}},
	}
}

// TestProofIsNotTooRecent sends heartbeats that arrive late, twice and out of order, and checks each proof
// against the truth: the peer's settings were proven at 10 s.
func TestProofIsNotTooRecent(t *testing.T) {
	const proven = 10 * time.Second
	r := rand.New(rand.NewPCG(3, 4))
	a, b := &Table{Host: "a", Incarnation: 1}, &Table{Host: "b", Incarnation: 2}
	type delivery struct {
		at time.Duration
		to *Table
		b  *Heartbeat
	}
	var deliveries []delivery
	proofs := 0
	for now := proven; now < 40*time.Second; now += 50 * time.Millisecond {
		if now%(200*time.Millisecond) == 0 {
			for _, from := range []*Table{a, b} {
				to := a
				if from == a {
					to = b
				}
				m := delivery{now + time.Duration(r.IntN(3000))*time.Millisecond, to, newHeartbeat(from, now, from.Unexpired(now), (now - proven).Milliseconds())}
				deliveries = append(deliveries, m, m)
			}
		}
		for i := range deliveries {
			if deliveries[i].b == nil || deliveries[i].at > now {
				continue
			}
			if p, ok := deliveries[i].to.ReceiveHeartbeat(now, deliveries[i].b); ok {
				proofs++
				must.True(t, p.Settings.Known)
				must.LessEq(t, proven, p.Settings.At)
				must.EqOp(t, 7, p.Settings.Revision)
				must.False(t, p.Endpoints.Known)
			}
			deliveries[i].b = nil
		}
	}
	must.Greater(t, 10, proofs)
}

func TestTableCases(t *testing.T) {
	cases := []struct {
		name string
		do   func(tb *Table)
		at   time.Duration
		live []string
	}{
		{"heard", func(tb *Table) { tb.ReceiveHeartbeat(0, &Heartbeat{Host: "b", Incarnation: 1, Seq: 1}) }, time.Second, []string{"b"}},
		{"silent", func(tb *Table) { tb.ReceiveHeartbeat(0, &Heartbeat{Host: "b", Incarnation: 1, Seq: 1}) }, 2 * time.Second, nil},
		{"itself", func(tb *Table) { tb.ReceiveHeartbeat(0, &Heartbeat{Host: "a", Incarnation: 9, Seq: 1}) }, 0, nil},
		{"nameless", func(tb *Table) { tb.ReceiveHeartbeat(0, &Heartbeat{Seq: 1}) }, 0, nil},
		{"a duplicate heartbeat keeps no host alive", func(tb *Table) {
			tb.ReceiveHeartbeat(0, &Heartbeat{Host: "b", Incarnation: 1, Seq: 5})
			tb.ReceiveHeartbeat(time.Second, &Heartbeat{Host: "b", Incarnation: 1, Seq: 5})
		}, 2 * time.Second, nil},
		{"a new incarnation restarts its sequence numbers", func(tb *Table) {
			tb.ReceiveHeartbeat(0, &Heartbeat{Host: "b", Incarnation: 1, Seq: 500})
			tb.ReceiveHeartbeat(time.Second, &Heartbeat{Host: "b", Incarnation: 2, Seq: 1})
		}, 2 * time.Second, []string{"b"}},
		{"known through a peer", func(tb *Table) {
			tb.ReceiveHeartbeat(0, &Heartbeat{Host: "b", Incarnation: 1, Seq: 1, Known: []KnownHost{{Host: "c", Incarnation: 1, Info: HostInfo{Address: "c"}, Age: 300}}})
		}, 500 * time.Millisecond, []string{"b", "c"}},
		{"known through a peer, silent for long", func(tb *Table) {
			tb.ReceiveHeartbeat(0, &Heartbeat{Host: "b", Incarnation: 1, Seq: 1, Known: []KnownHost{{Host: "c", Incarnation: 1, Age: 30000}}})
		}, 0, []string{"b"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tb := &Table{Host: "a", Incarnation: 1}
			tc.do(tb)
			var names []string
			for _, m := range tb.Live(tc.at) {
				names = append(names, m.Host)
			}
			must.Eq(t, tc.live, names)
		})
	}
}

// TestForgetTimeout checks that a silent host is counted until the forget timeout and then dropped.
func TestForgetTimeout(t *testing.T) {
	tb := &Table{Host: "a"}
	tb.ReceiveHeartbeat(0, &Heartbeat{Host: "b", Incarnation: 1, Seq: 1})
	must.Len(t, 1, tb.Unexpired(DefaultForgetTimeout))
	must.Len(t, 0, tb.Unexpired(DefaultForgetTimeout+1))
	must.MapEmpty(t, tb.members)
}

// TestMembershipSpreads starts fleets of several sizes with one known address, and checks that within 60 rounds
// every host considers 95 % of the others live.
func TestMembershipSpreads(t *testing.T) {
	for _, n := range []int{2, 6, 60, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := rand.New(rand.NewPCG(5, uint64(n)))
			tables := make(map[string]*Table, n)
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("h%03d", i)
				tables[names[i]] = &Table{Host: names[i], Incarnation: 1}
			}
			rounds, full := 0, false
			for ; rounds < 60 && !full; rounds++ {
				now := time.Duration(rounds) * DefaultInterval
				full = true
				for _, name := range names {
					tb := tables[name]
					to := tb.Targets(now, fanout, r)
					b := newHeartbeat(tb, now, to, -1)
					if rounds%heartbeatsPerSeed == 0 && name != names[0] {
						tables[names[0]].ReceiveHeartbeat(now, b)
					}
					for _, m := range to {
						tables[m.Info.Address].ReceiveHeartbeat(now, b)
					}
					full = full && len(tb.Live(now)) >= (n-1)*95/100
				}
			}
			must.True(t, full)
		})
	}
}

func BenchmarkReceiveHeartbeat(b *testing.B) {
	for _, n := range []int{6, 60, 930} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tb := &Table{Host: "a", Incarnation: 1}
			for i := range n {
				tb.ReceiveHeartbeat(0, &Heartbeat{Host: fmt.Sprint(i), Incarnation: 1, Seq: 1})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				tb.ReceiveHeartbeat(time.Duration(i), &Heartbeat{Host: "0", Incarnation: 1, Seq: uint32(i + 2)})
				tb.Live(time.Duration(i))
			}
		})
	}
}

func TestReportInterval(t *testing.T) {
	cases := []struct {
		hosts int
		want  time.Duration
	}{{1, DefaultInterval}, {7, DefaultInterval}, {9, DefaultInterval}, {10, 3 * DefaultInterval}, {63, 3 * DefaultInterval}, {930, 3 * DefaultInterval}}
	for _, tc := range cases {
		must.EqOp(t, tc.want, ReportInterval(tc.hosts))
	}
}

// TestAllHostsAreNamed checks that each audience is told of all hosts within a bounded number of messages, however many messages go
// to the others meanwhile.
func TestAllHostsAreNamed(t *testing.T) {
	const now = time.Hour
	for hosts := 20; hosts < 1100; hosts += 37 {
		for _, perHeartbeat := range []int{1, 2, 5, 7} { // digests for one message to hosts
			table := Table{Host: "self", Incarnation: 1}
			for i := range hosts {
				m := table.member(fmt.Sprintf("host-%04d", i))
				m.Info, m.LastHeard = HostInfo{Address: "10.0.0.1:1", Zone: fmt.Sprint("z", i%6), Ready: true}, now
			}
			// Six of the rows of a message are relays.
			rows := min(max(minKnownHosts, hosts/knownHostsRounds), maxKnownHosts) - 6
			named := make(map[string]bool)
			for n := range hosts/rows + 2 {
				for _, k := range table.KnownHosts(now, "", toMembers) {
					named[k.Host] = true
				}
				if n%perHeartbeat == 0 {
					table.KnownHosts(now, "", toHosts)
				}
			}
			must.MapLen(t, hosts, named, must.Sprintf("%d hosts, a message to hosts after %d digests", hosts, perHeartbeat))
		}
	}
}
