// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/heathkeel/heathkeel/settings"
)

// Guards against requests that leave their zone without a share, use zones beyond their shares, or
// cross zones twice.
func TestZoneShares(t *testing.T) {
	for _, c := range []struct {
		name     string
		shares   *ZoneShares
		homeFull bool
		noHome   bool
		homeOnly bool
		want     map[string][2]int // least and most of 100 requests that run, by zone
	}{
		{"constant cost", nil, true, false, false, map[string][2]int{"b": {30, 70}, "c": {30, 70}}},
		{"no shares", &ZoneShares{}, true, false, false, map[string][2]int{}},
		{"room at home", &ZoneShares{Shares: map[string]float64{"b": 0.5}}, false, false, false, map[string][2]int{"home": {100, 100}}},
		{"shares", &ZoneShares{Shares: map[string]float64{"b": 0.3}}, true, false, false, map[string][2]int{"b": {29, 31}}},
		{"request that crossed before", &ZoneShares{Shares: map[string]float64{"b": 0.3}}, true, false, true, map[string][2]int{}},
		{"no endpoint at home", &ZoneShares{}, false, true, false, map[string][2]int{"b": {30, 70}, "c": {30, 70}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, running := newZoneScheduler(c.homeFull, c.noHome)
			s.SetZoneShares([]string{"m", "m+new"}, c.shares)
			got := make(map[string]int)
			for range 100 {
				r := &Request{Settings: running, Model: "m", MaxTokens: 10, Deadline: time.Minute, HomeOnly: c.homeOnly, Objective: Objective{FirstToken: time.Second}}
				if d := s.Submit(0, r); d.Verdict == Run {
					got[d.Endpoint]++
					s.Done(0, r, Canceled, 0)
				} else {
					s.Withdraw(r)
				}
			}
			for _, zone := range []string{"home", "b", "c"} {
				if limits := c.want[zone]; got[zone] < limits[0] || got[zone] > limits[1] {
					t.Errorf("%d requests to zone %s, want %d to %d", got[zone], zone, limits[0], limits[1])
				}
			}
		})
	}
	s, e := newZoneScheduler(true, false)
	s.SetZoneShares([]string{"m"}, &ZoneShares{Shares: map[string]float64{"b": 1, "c": 1}})
	r := &Request{Settings: e, Model: "m", MaxTokens: 10, Deadline: time.Minute}
	first := s.Submit(0, r)
	if first.Verdict != Run || r.CrossReason() != CrossShare {
		t.Fatalf("%+v, reason %q", first, r.CrossReason())
	}
	if d := s.Redispatch(0, r); d.Verdict == Run {
		t.Errorf("sent to %s and then to %s", first.Endpoint, d.Endpoint)
	}
}

// newZoneScheduler returns a scheduler with an endpoint in its own zone and one in each of zones b and
// c, each named like its zone, and settings for requests.
func newZoneScheduler(homeFull, noHome bool) (*Scheduler, *settings.Effective) {
	s := &Scheduler{Config: Config{CrossZoneCost: 0.6, Disabled: Rules{Share: true, Claims: true, EarlyRefusal: true, Rationing: true, Floor: true}}, Rand: rand.New(rand.NewPCG(1, 2)), SharingHosts: 1}
	s.Init()
	var list []Endpoint
	for _, zone := range []string{"home", "b", "c"} {
		if zone != "home" || !noHome {
			list = append(list, Endpoint{Name: zone, Zone: zone, Engine: true, Slots: 10, CrossZone: zone != "home"})
		}
	}
	s.SetEndpoints(list)
	for _, e := range list {
		rep := Report{Slots: 10, Step: 3 * time.Millisecond, Model: "m", AcceptsPrompts: true}
		if homeFull && e.Name == "home" {
			rep.Running = 30
		}
		s.ApplyReport(0, e.Name, rep)
	}
	return s, &settings.Effective{Workspace: "w", Service: "s", Weight: 1, MaxQueued: 10}
}

// TestGrantKeepsZoneRule guards against requests that may not leave their zone and use a grant of an endpoint in another one.
func TestGrantKeepsZoneRule(t *testing.T) {
	for _, homeOnly := range []bool{true, false} {
		s, e := newZoneScheduler(true, false)
		s.SlotOwners = true
		s.SetZoneShares([]string{"m"}, &ZoneShares{Shares: map[string]float64{"b": 1}})
		r := &Request{Settings: e, Model: "m", MaxTokens: 10, Deadline: time.Minute, HomeOnly: homeOnly}
		r.pool = s.poolOf(r)
		s.accrueCredits(r)
		if got := s.chooseGranted(0, r, s.byName["b"]) != nil; got == homeOnly {
			t.Errorf("home only %v: grant of another zone is used: %v", homeOnly, got)
		}
	}
}
