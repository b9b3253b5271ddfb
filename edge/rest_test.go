// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/simsite"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// Figures of the rule on rest.
const (
	// restGrace is the time after an endpoint asked a host for rest in which what is under way may still arrive.
	restGrace = 500 * time.Millisecond
	// restSlack is the number of requests that may reach the endpoint from the host between the grace and the end of the rest.
	restSlack = 2
)

// disturbed returns the number of requests beyond restSlack that reached an endpoint from a host that it had asked for rest, summed over
// all hosts and endpoints in their worst rest, and how often rest was asked for.
func disturbed(s *simsite.Site) (beyond, asked int) {
	for _, e := range s.Endpoints {
		byHost := make(map[string][]simsite.Arrival)
		for _, a := range e.Arrivals() {
			byHost[a.From] = append(byHost[a.From], a)
		}
		for _, arrivals := range byHost {
			worst := 0
			for _, a := range arrivals {
				if a.Rest == 0 {
					continue
				}
				asked++
				n := 0
				for _, b := range arrivals {
					if after := b.ReceivedAt.Sub(a.AnsweredAt); after >= restGrace && after < a.Rest {
						n++
					}
				}
				worst = max(worst, n)
			}
			beyond += max(0, worst-restSlack)
		}
	}
	return beyond, asked
}

// TestEndpointsThatAskForRestGetIt checks that a host leaves an endpoint alone that turned a request away and asked for rest, and that
// the other endpoints serve 0.9 of what they could.
func TestEndpointsThatAskForRestGetIt(t *testing.T) {
	cases := []struct {
		name                string
		boot                platform.Boot
		hosts               int
		endpoints, busy     int
		busyFor, rest       time.Duration
		perSecond           float64
		path                string
		minServed           float64 // least share of the requests served
		minServedAfterwards float64 // of those sent once the endpoints are no longer busy and had their rest
	}{
		{name: "3 of 12 endpoints", boot: smallBoot, hosts: 6, endpoints: 12, busy: 3, busyFor: 6 * time.Second, rest: 3 * time.Second, perSecond: 60, minServed: 0.98, minServedAfterwards: 1},
		{name: "sticky requests", boot: smallBoot, hosts: 6, endpoints: 12, busy: 3, busyFor: 10 * time.Second, rest: 8 * time.Second, perSecond: 60, path: "/ask/x", minServed: 0.98, minServedAfterwards: 1},
		{name: "fractions of a second", boot: smallBoot, hosts: 6, endpoints: 12, busy: 3, busyFor: 6 * time.Second, rest: 1500 * time.Millisecond, perSecond: 60, minServed: 0.95, minServedAfterwards: 1},
		{name: "8 of 12 endpoints", boot: smallBoot, hosts: 6, endpoints: 12, busy: 8, busyFor: 8 * time.Second, rest: 5 * time.Second, perSecond: 60, minServed: 0.9, minServedAfterwards: 1},
		{name: "all endpoints", boot: smallBoot, hosts: 6, endpoints: 6, busy: 6, busyFor: 4 * time.Second, rest: 3 * time.Second, perSecond: 60, minServedAfterwards: 1},
		{name: "6 of 24 endpoints, 85 hosts", boot: largeBoot, hosts: 85, endpoints: 24, busy: 6, busyFor: 6 * time.Second, rest: 3 * time.Second, perSecond: 170, minServed: 0.95, minServedAfterwards: 0.99},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := startWorking(t, site.Example(), tc.boot, tc.hosts, tc.endpoints, 30*time.Millisecond)
				defer s.Stop()
				path := "/open/x"
				if tc.path != "" {
					path = tc.path
				}
				sendToEach(s, 2*time.Second, tc.perSecond, path)
				for _, e := range s.Endpoints[:tc.busy] {
					e.AskRest(tc.busyFor, tc.rest)
				}
				answers := sendToEach(s, 12*time.Second, tc.perSecond, path)
				beyond, asked := disturbed(s)
				must.Positive(t, asked)
				sent, served := answers.served(0, tc.hosts)
				t.Logf("rest was asked for %d times, %d of %d requests served", asked, served, sent)
				must.Zero(t, beyond, must.Sprint("times that rest was asked: ", asked))
				must.GreaterEq(t, tc.minServed, float64(served)/float64(sent), must.Sprint(fmt.Sprint(served, " of ", sent)))
				time.Sleep(tc.rest)
				sent, served = sendToEach(s, 2*time.Second, tc.perSecond, path).served(0, tc.hosts)
				must.GreaterEq(t, tc.minServedAfterwards, float64(served)/float64(sent), must.Sprint(fmt.Sprint(served, " of ", sent)))
			})
		})
	}
}

// TestEndpointsThatAskForRestWhenFullServe checks that endpoints that ask for rest when they have no room serve nine tenths of what they
// can serve, and get it.
func TestEndpointsThatAskForRestWhenFullServe(t *testing.T) {
	const (
		work = 500 * time.Millisecond
		room = 2
	)
	cases := []struct {
		name      string
		boot      platform.Boot
		hosts     int
		endpoints int
		perSecond float64 // nine tenths of what the endpoints serve in a second
	}{
		{"6 hosts", smallBoot, 6, 6, 86},
		{"85 hosts", largeBoot, 85, 12, 172},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := startWorking(t, site.Example(), tc.boot, tc.hosts, tc.endpoints, work)
				defer s.Stop()
				for _, e := range s.Endpoints {
					e.AskRestWhenFull(room, time.Second)
				}
				sent, served := sendToEach(s, 12*time.Second, tc.perSecond, "/open/x").served(0, tc.hosts)
				beyond, asked := disturbed(s)
				t.Logf("rest was asked for %d times, %d of %d requests served", asked, served, sent)
				must.Zero(t, beyond)
				must.GreaterEq(t, 0.9, float64(served)/float64(sent))
			})
		})
	}
}
