// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/simsite"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// eraPlay is a play in which the store is away for a moment and comes back from a copy some seconds old.
type eraPlay struct {
	name    string
	boot    platform.Boot
	hosts   int
	lost    int  // changes of other keys that the store loses
	restart bool // half of the hosts start again while the store is away
	again   bool // it goes back a second time
}

// withoutRoute returns the example's configuration in a version, without a route.
func withoutRoute(version int, name string) site.Config {
	c := site.Example()
	c.Version = version
	c.Routes = slices.DeleteFunc(c.Routes, func(r site.Route) bool { return r.Name == name })
	return c
}

// Times of the plays.
const (
	// copyAge is the age of the copy from which the store comes back, and storeAway the time for which it is away.
	copyAge   = 4 * time.Second
	storeAway = 500 * time.Millisecond
	// rewriteDelay is the time after its return at which operators and endpoints write again what it lost.
	rewriteDelay = time.Second
)

// goBack makes the store go back: version 2 of the configuration, which drops the route "brief", and an endpoint's leaving are lost and
// written again.
func (p *eraPlay) goBack(s *simsite.Site, leaver *simsite.Endpoint, version int) {
	old := s.Store.Copy()
	for i := range p.lost {
		s.Store.Put(fmt.Sprint("other/", i), i)
	}
	s.Store.Put(platform.KeyConfig, withoutRoute(version, "brief"))
	leaver.Leave(true)
	time.Sleep(copyAge)
	s.Store.SetFault(site.StoreFault{Reset: true})
	if p.restart {
		for _, h := range s.Hosts[:len(s.Hosts)/2] {
			h.Kill()
			s.StartHost(h)
		}
	}
	time.Sleep(storeAway)
	s.Store.GoBack(old)
	s.Store.SetFault(site.StoreFault{})
	time.Sleep(rewriteDelay)
	s.Store.Put(platform.KeyConfig, withoutRoute(version, "brief"))
	leaver.AnnounceAgain()
}

// statuses sends requests to all hosts and returns the statuses of the answers.
func statuses(s *simsite.Site, path string) []int {
	var out []int
	for _, h := range s.Hosts {
		out = append(out, s.Send(h, path, site.Key).Status)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// TestStoreComesBackOlder checks that hosts go on when the store comes back from an older copy: requests are served, nothing that was
// known goes back, and changes after its return are seen in time.
func TestStoreComesBackOlder(t *testing.T) {
	plays := []eraPlay{
		{name: "few changes are lost", boot: smallBoot, hosts: 6, lost: 3},
		{name: "many changes are lost", boot: smallBoot, hosts: 6, lost: 5000},
		{name: "twice", boot: smallBoot, hosts: 6, lost: 40, again: true},
		{name: "half of the hosts start again", boot: smallBoot, hosts: 6, lost: 200, restart: true},
		{name: "few changes are lost, 85 hosts", boot: largeBoot, hosts: 85, lost: 3},
		{name: "half of 85 hosts start again", boot: largeBoot, hosts: 85, lost: 3000, restart: true},
	}
	for _, p := range plays {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := startWorking(t, site.Example(), p.boot, p.hosts, 14, 30*time.Millisecond)
				defer s.Stop()
				before := s.Endpoints[:14]
				p.goBack(s, before[0], 2)
				if p.again {
					p.goBack(s, before[1], 3)
				}
				must.Eq(t, []int{http.StatusNotFound}, statuses(s, "/brief/x"))
				answers := sendToEach(s, 3500*time.Millisecond, 60, "/open/x")
				for _, e := range before[2:6] {
					e.Leave(true)
				}
				must.NoError(t, s.AddEndpoint())
				added := s.Endpoints[14]
				later := sendToEach(s, 5*time.Second, 60, "/open/x")
				s.Store.Put(platform.KeyConfig, withoutRoute(4, "ask"))
				time.Sleep(p.boot.ConfigTime)
				must.Eq(t, []int{http.StatusNotFound}, statuses(s, "/ask/x"))
				must.LessEq(t, p.boot.DrainTime, s.MaxArrivalAfterLeaving())
				must.Positive(t, len(added.Arrivals()))
				for _, a := range []answersByHost{answers, later} {
					sent, served := a.served(0, p.hosts)
					must.GreaterEq(t, 0.95, float64(served)/float64(sent), must.Sprint(served, " of ", sent))
				}
			})
		})
	}
}

// TestOlderCopyKeepsWhoCameAndWhoLeft checks that, when the store comes back from an older copy, endpoints that came since serve until they
// have written their entries again, and that those which left since, without a word, get nothing although the copy has their entries.
func TestOlderCopyKeepsWhoCameAndWhoLeft(t *testing.T) {
	const oldEndpoints, newEndpoints = 6, 4
	for _, p := range []eraPlay{
		{name: "6 hosts", boot: smallBoot, hosts: 6, lost: 30},
		{name: "85 hosts", boot: largeBoot, hosts: 85, lost: 30},
	} {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := startWorking(t, site.Example(), p.boot, p.hosts, oldEndpoints, 30*time.Millisecond)
				defer s.Stop()
				old := s.Store.Copy()
				for i := range p.lost {
					s.Store.Put(fmt.Sprint("other/", i), i)
				}
				for range newEndpoints {
					must.NoError(t, s.AddEndpoint())
				}
				time.Sleep(time.Second)
				for _, e := range s.Endpoints[:oldEndpoints] {
					e.Leave(false)
				}
				time.Sleep(copyAge - time.Second)
				s.Store.SetFault(site.StoreFault{Reset: true})
				time.Sleep(storeAway)
				s.Store.GoBack(old)
				s.Store.SetFault(site.StoreFault{})
				time.AfterFunc(rewriteDelay, func() {
					for _, e := range s.Endpoints[oldEndpoints:] {
						e.Renew()
					}
				})
				time.AfterFunc(3*time.Second, func() {
					for _, e := range s.Endpoints[:oldEndpoints] {
						e.Lapse()
					}
				})
				sent, served := sendToEach(s, 6*time.Second, 60, "/open/x").served(0, p.hosts)
				must.GreaterEq(t, 0.95, float64(served)/float64(sent), must.Sprint(served, " of ", sent))
				must.LessEq(t, p.boot.DrainTime, s.MaxArrivalAfterLeaving())
			})
		})
	}
}
