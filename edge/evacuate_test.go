// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/simsite"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// evacuatedZone is the zone that is evacuated in the tests.
const evacuatedZone = "zone-1"

// arrivalsBetween counts the requests that reached the endpoints of a zone from one moment to another.
func arrivalsBetween(s *simsite.Site, zone string, from, to time.Time) int {
	n := 0
	for _, e := range s.Endpoints {
		if e.Zone() != zone {
			continue
		}
		for _, a := range e.Arrivals() {
			if a.ReceivedAt.After(from) && a.ReceivedAt.Before(to) {
				n++
			}
		}
	}
	return n
}

// TestEvacuatedZoneGetsNoRequests checks that no request reaches an endpoint of an evacuated zone later
// than the evacuation time after the store has recorded the order, whatever happens to hosts and their
// calls meanwhile; that no request is lost by it, since other zones have room; and that the zone gets
// requests again once the order is canceled.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	const endpoints = 12
	small, large := smallBoot, largeBoot
	small.EvacuationTime, large.EvacuationTime = 4*time.Second, 5*time.Second
	refused := func(n int) []simsite.Behavior { return slices.Repeat([]simsite.Behavior{simsite.Refuse}, n) }
	cases := []struct {
		name string
		// trouble is done right after the order. It returns the hosts to which callers send.
		trouble func(s *simsite.Site) []*simsite.Host
		// alone says that only the last reader is left; its zone is evacuated.
		alone bool
		// settle is the time after the order from which hosts have been in touch again for the contact time.
		settle time.Duration
		// unseen says that hosts miss the cancellation, and that the store has dropped it from its history.
		unseen bool
	}{
		{name: "no trouble", trouble: func(s *simsite.Site) []*simsite.Host { return s.Hosts[:4] }},
		{name: "alone, three reads are refused", alone: true, trouble: func(s *simsite.Site) []*simsite.Host {
			h := lastReader(s.Hosts)
			s.KillOthers(h)
			s.Store.SetNextBehaviors(h.Boot.IP, platform.PrefixConfig, refused(3)...)
			return []*simsite.Host{h}
		}},
		{name: "alone, three reads hang", alone: true, trouble: func(s *simsite.Site) []*simsite.Host {
			h := lastReader(s.Hosts)
			s.KillOthers(h)
			s.Store.SetNextBehaviors(h.Boot.IP, platform.PrefixConfig, slices.Repeat([]simsite.Behavior{simsite.Hang}, 3)...)
			return []*simsite.Host{h}
		}},
		{name: "half of the hosts start again", trouble: func(s *simsite.Site) []*simsite.Host {
			half := s.Hosts[:len(s.Hosts)/2]
			for _, h := range half {
				h.Kill()
			}
			for _, h := range half {
				s.StartHost(h)
			}
			return half[:2]
		}},
		{name: "two hosts are suspended", trouble: func(s *simsite.Site) []*simsite.Host {
			for _, h := range s.Hosts[:2] {
				h.Suspend(8 * time.Second)
			}
			return s.Hosts[:2]
		}},
		{name: "the store is away for 3 s", settle: 3 * time.Second, trouble: func(s *simsite.Site) []*simsite.Host {
			s.SetStoreBehavior(simsite.Refuse)
			go func() {
				time.Sleep(3 * time.Second)
				s.SetStoreBehavior(simsite.Normal)
			}()
			return s.Hosts[:2]
		}},
		{name: "the cancellation is missing in the history", unseen: true, trouble: func(s *simsite.Site) []*simsite.Host { return s.Hosts[:2] }},
	}
	for _, boot := range []struct {
		platform.Boot
		hosts int
	}{{small, 6}, {large, 85}} {
		for _, tc := range cases {
			t.Run(fmt.Sprint(tc.name, ", ", boot.hosts, " hosts"), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					s := &simsite.Site{Boot: boot.Boot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
					defer s.Stop()
					must.NoError(t, s.Start(site.Example(), endpoints, boot.hosts))
					time.Sleep(6 * time.Second)
					zone := evacuatedZone
					if tc.alone {
						zone = lastReader(s.Hosts).Boot.Zone
					}
					s.Store.Put(platform.PrefixEvacuations+zone, struct{}{})
					ordered := time.Now()
					hosts := tc.trouble(s)
					boundFrom := ordered.Add(tc.settle + boot.EvacuationTime)
					sendRequests(s, time.Until(boundFrom), hosts)
					sent, served := sendRequests(s, 3*time.Second, hosts)
					must.EqOp(t, sent, served)
					must.Zero(t, arrivalsBetween(s, zone, boundFrom, time.Now()))

					if tc.unseen {
						s.SetStoreBehavior(simsite.Refuse)
						time.Sleep(2 * time.Second)
					}
					s.Store.Remove(platform.PrefixEvacuations + zone)
					if tc.unseen {
						s.Store.DropHistory()
						s.SetStoreBehavior(simsite.Normal)
					}
					sendRequests(s, boot.EvacuationTime, hosts)
					resumed := time.Now()
					sendRequests(s, 2*time.Second, hosts)
					must.Positive(t, arrivalsBetween(s, zone, resumed, time.Now()))
				})
			})
		}
	}
}

// TestInvalidEvacuationsAreRefused checks that an order that is none changes nothing, and that a zone
// without endpoints can be evacuated.
func TestInvalidEvacuationsAreRefused(t *testing.T) {
	cases := []struct {
		name, zone string
		value      any
	}{
		{"a number", evacuatedZone, 3},
		{"a list", evacuatedZone, []int{1}},
		{"null", evacuatedZone, nil},
		{"no zone", "", struct{}{}},
		{"a name with spaces", "zone 1", struct{}{}},
		{"an unknown zone", "elsewhere", struct{}{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &simsite.Site{Boot: smallBoot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
				defer s.Stop()
				must.NoError(t, s.Start(site.Example(), 6, 6))
				time.Sleep(3 * time.Second)
				s.Store.Put(platform.PrefixEvacuations+tc.zone, tc.value)
				time.Sleep(2 * time.Second)
				from := time.Now()
				sent, served := sendRequests(s, 2*time.Second, s.Hosts[:2])
				must.EqOp(t, sent, served)
				must.Positive(t, arrivalsBetween(s, evacuatedZone, from, time.Now()))
			})
		})
	}
}
