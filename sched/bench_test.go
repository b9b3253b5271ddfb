// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/heathkeel/heathkeel/settings"
)

// benchScheduler returns a scheduler with n engines that have reported.
func benchScheduler(n int) *Scheduler {
	s := &Scheduler{Rand: rand.New(rand.NewPCG(1, 1)), SharingHosts: 7}
	s.Init()
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Name: fmt.Sprintf("e%04d", i), Engine: true, Slots: 16})
	}
	s.SetEndpoints(list)
	for i, e := range list {
		s.ApplyReport(time.Second, e.Name, Report{
			At: time.Second, Running: i % 10, Slots: 16, Step: time.Duration(4+i%9) * time.Millisecond,
			PrefillPerStep: 512, Model: "m", AcceptsPrompts: true,
		})
	}
	return s
}

func benchSettings(ws string) *settings.Effective {
	return &settings.Effective{
		Workspace: ws, Service: "s", Tier: "normal", Rank: 1, Deadline: time.Hour, Weight: 1, MaxQueued: 1 << 30, Affinity: true, MaxTokens: 256,
	}
}

// BenchmarkDecide measures the decision on one request and its end.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{22, 100, 500, 2800} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			s := benchScheduler(n)
			eff := benchSettings("w")
			blocks := make([]uint64, 32)
			for i := range blocks {
				blocks[i] = uint64(i) + 1
			}
			r := &Request{}
			now := 2 * time.Second
			b.ReportAllocs()
			for b.Loop() {
				*r = Request{Settings: eff, Model: "m", Blocks: blocks, PromptTokens: 2100, MaxTokens: 100, Arrived: now, Deadline: now + time.Hour}
				if d := s.Submit(now, r); d.Verdict != Run {
					b.Fatal(d)
				}
				s.FirstToken(now, r)
				s.Done(now, r, Completed, 100)
			}
		})
	}
}

// BenchmarkWaiting measures the arrival of one request and the end of another while n wait.
func BenchmarkWaiting(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000, 100000} {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			s := benchScheduler(22)
			s.cfg.MaxWaiting = 1 << 30
			s.cfg.Disabled.EarlyRefusal = true
			effs := make([]*settings.Effective, 50)
			for i := range effs {
				effs[i] = benchSettings(fmt.Sprint("w", i))
			}
			now := 2 * time.Second
			var running []*Request
			next := 0
			submit := func() {
				next++
				r := &Request{Settings: effs[next%len(effs)], Model: "m", PromptTokens: 100, MaxTokens: 10, Arrived: now, Deadline: now + time.Hour}
				if d := s.Submit(now, r); d.Verdict == Run {
					running = append(running, r)
				}
			}
			for s.Waiting() < n {
				submit()
			}
			b.ReportAllocs()
			for b.Loop() {
				submit()
				r := running[0]
				running = running[1:]
				s.FirstToken(now, r)
				s.Done(now, r, Completed, 10)
				for _, d := range s.Poll(now) {
					if d.Verdict == Run {
						running = append(running, d.Request)
					}
				}
			}
			b.ReportMetric(float64(s.Waiting()), "waiting")
		})
	}
}

// BenchmarkRefuse measures the refusal of a request in a large fleet at 140 engines and 16
// workspaces.
func BenchmarkRefuse(b *testing.B) {
	s := benchScheduler(140)
	s.SharingHosts = 76
	s.SetPeerState(PeerState{Age: 450 * time.Millisecond, Waiting: map[string][]int{"m": {0, 100}}})
	var effs [16]*settings.Effective
	for i := range effs {
		effs[i] = benchSettings(fmt.Sprint("w", i))
		effs[i].MaxQueued = 0
	}
	now := 2 * time.Second
	r := &Request{}
	refused := func(i int) {
		*r = Request{Settings: effs[i%len(effs)], Model: "m", PromptTokens: 100, MaxTokens: 100, Arrived: now, Deadline: now + 8*time.Second, DispatchBy: now + 100*time.Millisecond}
		if d := s.Submit(now, r); d.Verdict != Refuse {
			b.Fatal(d)
		}
	}
	for _, e := range s.endpoints {
		e.own = 100
	}
	for i := range effs {
		refused(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		refused(i)
	}
}
