// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/settings"
)

// contender makes a host with one engine of 10 places, of which others fill some, and
// with requests waiting for it.
func contender(seed uint64, off bool, waiting int) *Scheduler {
	s := &Scheduler{Config: Config{Off: Rules{Share: true, Claims: off}}, Rand: rand.New(rand.NewPCG(seed, 7)), Peers: 6}
	s.Init()
	s.SetEndpoints([]Endpoint{{Name: "e", Engine: true, Slots: 10}})
	s.TakeReport(0, "e", Report{Running: 20, Slots: 10, Step: 3 * time.Millisecond, PrefillPerStep: 200, Model: "m", Fresh: true})
	for i := range waiting {
		s.Submit(0, &Request{
			ID: fmt.Sprint(i), Settings: &settings.Effective{Workspace: "w", Service: "s", Weight: 1, Queue: 100}, Model: "m", PromptTokens: 100,
			MaxTokens: 100, LikelyTokens: 100, Deadline: 15 * time.Second, Start: 10 * time.Second, Aim: Aim{First: 5 * time.Second},
		})
	}
	return s
}

// TestFreePlaceIsTakenOnce frees one place at an engine that six hosts share, all with
// requests waiting, and counts over many rounds how many requests go there before the
// hosts hear of each other again.
func TestFreePlaceIsTakenOnce(t *testing.T) {
	const hosts, rounds, waiting = 6, 400, 5
	cases := []struct {
		name      string
		off       bool
		low, high float64
	}{
		{"with claims about one", false, 0.8, 1.2},
		{"without them one from every host", true, hosts, hosts * 5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			sent := 0
			for round := range rounds {
				for h := range hosts {
					s := contender(uint64(round*hosts+h), tc.off, waiting)
					s.TakeReport(time.Second, "e", Report{At: time.Second, Running: 9, Slots: 10, Step: 3 * time.Millisecond, PrefillPerStep: 200, Model: "m", Fresh: true})
					s.SetOthersWaiting(time.Second, map[string][]int{"m": {(hosts - 1) * waiting}})
					for _, d := range s.Poll(time.Second) {
						if d.Verdict == Run {
							sent++
						}
					}
				}
			}
			must.Between(t, tc.low, float64(sent)/rounds, tc.high)
		})
	}
}

// TestClaimRules holds when a request may take a free place beside those that wait elsewhere.
func TestClaimRules(t *testing.T) {
	cases := []struct {
		name    string
		others  []int // that wait at other hosts, by tier
		rank    int
		vacated int
		claims  int
		last    bool
		want    bool
	}{
		{"nobody waits elsewhere", nil, 1, 0, 0, false, true},
		{"only lower tiers wait elsewhere", []int{0, 0, 4}, 1, 0, 0, false, true},
		{"the same tier waits elsewhere", []int{0, 4}, 1, 0, 0, false, false},
		{"a higher tier waits elsewhere", []int{4, 0}, 1, 0, 0, false, false},
		{"an own request has just ended there", []int{4}, 1, 1, 0, false, true},
		{"a claim was drawn", []int{4}, 1, 0, 1, false, true},
		{"it has waited as long as it may", []int{4}, 1, 0, 0, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := contender(1, false, 0)
			s.SetOthersWaiting(0, map[string][]int{"m": tc.others})
			r := &Request{Settings: &settings.Effective{Rank: tc.rank}, Model: "m", last: tc.last}
			r.pool = s.poolOf(r)
			e := s.byName["e"]
			e.vacated, e.claims = tc.vacated, tc.claims
			must.EqOp(t, tc.want, s.mayFill(r, e))
		})
	}
}

// TestOwnWaiting checks what a host tells of its waiting requests.
func TestOwnWaiting(t *testing.T) {
	s := contender(1, false, 3)
	must.EqOp(t, 3, s.OwnWaiting()["m"][0])
	must.MapEmpty(t, contender(1, false, 0).OwnWaiting())
}
