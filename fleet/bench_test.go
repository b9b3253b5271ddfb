// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/once"
)

// benchSizes are the numbers of hosts tried.
var benchSizes = []int{7, 90, 930}

// hostsOf returns n hosts in nine zones.
func hostsOf(n int) []Host {
	out := make([]Host, n)
	for i := range out {
		out[i] = Host{
			Name: fmt.Sprintf("host-%04d", i), Incarnation: once.Incarnation(i + 1), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			Zone: fmt.Sprintf("zone-%d", i%9), Seq: 1, Generation: 1,
		}
	}
	return out
}

// nobody answers no heartbeat.
type nobody struct{}

func (nobody) Heartbeat(context.Context, string, *Heartbeat) (*Heartbeat, error) {
	return nil, errors.New("nobody")
}

// BenchmarkHeartbeat gives the cost of answering one heartbeat, coding included.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			hosts := hostsOf(n)
			a := &Agent{Self: hosts[0], Transport: nobody{}, Log: logr.Discard()}
			a.View(func(t *Table) { t.Merge(1, hosts[1:]); t.TakeChanged() })
			hb := Heartbeat{From: hosts[1]}
			a.View(func(t *Table) { hb.Digest = t.Digest() })
			raw, _ := json.Marshal(hb)
			b.ReportAllocs()
			for b.Loop() {
				var in Heartbeat
				if err := json.Unmarshal(raw, &in); err != nil {
					b.Fatal(err)
				}
				out, err := json.Marshal(a.Receive(&in))
				if err != nil || len(out) == 0 {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "B/message")
		})
	}
}

// BenchmarkTableMemory gives the bytes that one known host takes.
func BenchmarkTableMemory(b *testing.B) {
	for _, n := range []int{90, 930, 9300} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			hosts := hostsOf(n)
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				t := NewTable(hosts[0])
				t.Merge(1, hosts[1:])
				t.TakeChanged()
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/host")
				runtime.KeepAlive(t)
			}
		})
	}
}

// BenchmarkSet gives the cost of an address answer's set of three hosts.
func BenchmarkSet(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			hosts := hostsOf(n)
			b.ReportAllocs()
			for b.Loop() {
				SelectHosts("workspace", "", hosts, 3)
			}
		})
	}
}

// BenchmarkMoved gives the share of workspaces whose set changes when one of n
// hosts leaves, beside the least possible share 3/n.
func BenchmarkMoved(b *testing.B) {
	const workspaces = 8300
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			hosts := hostsOf(n)
			less := append(append([]Host(nil), hosts[:n/2]...), hosts[n/2+1:]...)
			moved, members := 0, 0
			for b.Loop() {
				moved, members = 0, 0
				for w := range workspaces {
					name := fmt.Sprint("ws-", w)
					changed := differ(SelectHosts(name, "", hosts, 3), SelectHosts(name, "", less, 3))
					members += changed
					if changed > 0 {
						moved++
					}
				}
			}
			b.ReportMetric(100*float64(moved)/workspaces, "%moved")
			b.ReportMetric(100*3/float64(n), "%least")
			b.ReportMetric(float64(members)/float64(max(1, moved)), "members/moved")
		})
	}
}

// differ counts the members of a that are not in b.
func differ(a, b []Host) int {
	n := len(a)
	for _, x := range a {
		for _, y := range b {
			if x.Name == y.Name {
				n--
			}
		}
	}
	return n
}

// BenchmarkAnswer gives the cost of picking a witness and making a prefix.
func BenchmarkAnswer(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			hosts := hostsOf(n)
			rnd := rand.New(rand.NewPCG(1, 1))
			for b.Loop() {
				w, _ := PickWitness(hosts[0], hosts[0], hosts, rnd)
				_ = Prefix(hosts[0], w).String()
			}
		})
	}
}
