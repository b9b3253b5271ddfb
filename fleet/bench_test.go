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

// benchSizes are the numbers of hosts in the benchmarks.
var benchSizes = []int{7, 90, 930}

// makeHosts returns n hosts in nine zones.
func makeHosts(n int) []Host {
	out := make([]Host, n)
	for i := range out {
		out[i] = Host{
			Name: fmt.Sprintf("host-%04d", i), Incarnation: once.Incarnation(i + 1), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			Zone: fmt.Sprintf("zone-%d", i%9), Seq: 1, Generation: 1,
		}
	}
	return out
}

// noTransport fails to send any heartbeat.
type noTransport struct{}

func (noTransport) Heartbeat(context.Context, string, *Heartbeat) (*Heartbeat, error) {
	return nil, errors.New("no answer")
}

// BenchmarkHeartbeat measures the answer to one heartbeat, with decoding and encoding.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			hosts := makeHosts(n)
			a := &Agent{Self: hosts[0], Transport: noTransport{}, Log: logr.Discard()}
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

// BenchmarkTableMemory measures the bytes that one known host takes.
func BenchmarkTableMemory(b *testing.B) {
	for _, n := range []int{90, 930, 9300} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			hosts := makeHosts(n)
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

// BenchmarkSelectHosts measures the selection of three hosts for an address answer.
func BenchmarkSelectHosts(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			hosts := makeHosts(n)
			b.ReportAllocs()
			for b.Loop() {
				SelectHosts("workspace", "", hosts, 3)
			}
		})
	}
}

// BenchmarkSelectHostsChange reports the share of workspaces whose set changes when one of
// n hosts leaves, and the least possible share 3/n.
func BenchmarkSelectHostsChange(b *testing.B) {
	const workspaces = 8300
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			hosts := makeHosts(n)
			remaining := append(append([]Host(nil), hosts[:n/2]...), hosts[n/2+1:]...)
			moved, members := 0, 0
			for b.Loop() {
				moved, members = 0, 0
				for w := range workspaces {
					name := fmt.Sprint("ws-", w)
					changed := countMissing(SelectHosts(name, "", hosts, 3), SelectHosts(name, "", remaining, 3))
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

// countMissing counts the members of a that are not in b.
func countMissing(a, b []Host) int {
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

// BenchmarkAnswer measures the choice of a witness and the making of a prefix.
func BenchmarkAnswer(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			hosts := makeHosts(n)
			rnd := rand.New(rand.NewPCG(1, 1))
			for b.Loop() {
				w, _ := PickWitness(hosts[0], hosts[0], hosts, rnd)
				_ = Prefix(hosts[0], w).String()
			}
		})
	}
}
