// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/places"
	"github.com/heathkeel/heathkeel/settings"
)

// sharingHost returns a host of 64 that share engines of 4 slots whose owners answer, with a request of each workspace waiting.
func sharingHost(engines, workspaces int) (*Scheduler, []*Request) {
	s := newFleet(64, engines, 450*time.Millisecond, Rules{}).hosts[0]
	s.SlotOwners = true
	for _, e := range s.endpoints {
		s.ApplyReport(0, e.Name, Report{Slots: 4, Running: 4, Step: 5 * time.Millisecond, Model: "m", AcceptsPrompts: true, Estimated: true})
	}
	s.SetPeerState(PeerState{Age: 450 * time.Millisecond})
	for _, e := range s.endpoints {
		s.ApplyGrant(0, e.Name, places.Grant{Running: 4})
	}
	var waiting []*Request
	for i := range workspaces {
		r := &Request{
			Settings: &settings.Effective{Workspace: fmt.Sprint("w", i), Service: "s", Weight: 1, MaxQueued: 100, Rank: i % 3}, Model: "m", PromptTokens: 50,
			MaxTokens: 50, ExpectedTokens: 50, Deadline: time.Hour, Objective: Objective{FirstToken: time.Second},
		}
		waiting = append(waiting, r)
		s.Submit(0, r)
	}
	return s, waiting
}

// TestGrantOfWorkspace checks that a grant is used for a request of its workspace even if others are more urgent, and returned without one.
func TestGrantOfWorkspace(t *testing.T) {
	s, waiting := sharingHost(8, 3)
	must.EqOp(t, 3, s.Waiting())
	asked := s.SlotRequests(0, false)
	must.MapNotEmpty(t, asked)
	for name, rank := range asked {
		must.EqOp(t, 0, rank)
		wants := s.Wants(name)
		must.Eq(t, []places.Want{{Workspace: "w0", N: 1}, {Workspace: "w1", Rank: 1, N: 1}, {Workspace: "w2", Rank: 2, N: 1}}, wants.All())
	}
	must.False(t, s.ApplyGrant(1, "e0", places.Grant{Slots: 1, Running: 3, Workspace: "other"}))
	must.SliceEmpty(t, s.Poll(1))
	must.True(t, s.ApplyGrant(2, "e0", places.Grant{Slots: 1, Running: 3, Workspace: "w1"}))
	got := s.Poll(2)
	must.SliceLen(t, 1, got)
	must.True(t, got[0].Request == waiting[1])
	must.EqOp(t, "e0", got[0].Endpoint)
	must.True(t, s.ApplyGrant(3, "e1", places.Grant{Slots: 1, Running: 3})) // of an owner of an earlier version
	got = s.Poll(3)
	must.SliceLen(t, 1, got)
	must.True(t, got[0].Request == waiting[0])
}

// BenchmarkGrant measures a round of slot requests while requests of 16 workspaces wait for 140 engines, and the use of a grant.
func BenchmarkGrant(b *testing.B) {
	b.Run("requests", func(b *testing.B) {
		s, _ := sharingHost(140, 16)
		b.ReportAllocs()
		for b.Loop() {
			s.SlotRequests(time.Millisecond, false)
		}
	})
	b.Run("grant", func(b *testing.B) {
		s, waiting := sharingHost(140, 16)
		b.ReportAllocs()
		for b.Loop() {
			s.ApplyGrant(1, "e7", places.Grant{Slots: 1, Running: 3, Workspace: "w7"})
			if len(s.pending) != 1 {
				b.Fatal(s.pending)
			}
			s.pending = s.pending[:0]
			s.Done(1, waiting[7], Canceled, 0)
			s.enqueue(waiting[7])
		}
	})
}
