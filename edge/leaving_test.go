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

	"github.com/heathkeel/heathkeel/internal/simnet"
	"github.com/heathkeel/heathkeel/internal/simsite"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// sentAfterLeaving returns the number of requests that reached an endpoint from a host later than drainTime after the host passed on an
// answer of that endpoint which said that it leaves, and the number of such answers. A host that relays a request and the one that
// took it from the caller both pass its answer on; answers holds those of callers by host.
func sentAfterLeaving(s *simsite.Site, drainTime time.Duration, answers answersByHost) (late, said int) {
	takenBy := make(map[string]string) // the IP address of the host that took a request from its caller, by the request's ID
	for i, list := range answers {
		for _, a := range list {
			takenBy[a.ID] = s.Hosts[i].Boot.IP
		}
	}
	for _, e := range s.Endpoints {
		arrivals := e.Arrivals()
		toldAt := make(map[string]time.Time)
		for _, a := range arrivals {
			if !a.SaidLeaving {
				continue
			}
			said++
			for _, host := range []string{a.From, takenBy[a.ID]} {
				if at := toldAt[host]; at.IsZero() || a.AnsweredAt.Before(at) {
					toldAt[host] = a.AnsweredAt
				}
			}
		}
		for _, a := range arrivals {
			if at := toldAt[a.From]; !at.IsZero() && a.ReceivedAt.Sub(at) > drainTime {
				late++
			}
		}
	}
	return late, said
}

// leavingPlay is a play in which endpoints say in their answers that they leave.
type leavingPlay struct {
	name               string
	boot               platform.Boot
	hosts              int
	endpoints, leaving int
	perSecond          float64
	before             func(s *simsite.Site) // runs when the endpoints begin to say so
	during             func(s *simsite.Site) // runs 4 s later, beside the requests
	fails              bool                  // such answers are errors
	minServed          float64               // least share of the requests served
}

// TestNothingIsSentToEndpointsThatSaidTheyLeave checks that a host sends nothing to an endpoint once its answers have said that it
// leaves, although the store lists it as ready, and that callers are served by the others.
func TestNothingIsSentToEndpointsThatSaidTheyLeave(t *testing.T) {
	storeAway := func(b simsite.Behavior) func(*simsite.Site) {
		return func(s *simsite.Site) { s.SetStoreBehavior(b) }
	}
	plays := []leavingPlay{
		{name: "3 of 12 endpoints", boot: smallBoot, hosts: 6, endpoints: 12, leaving: 3, perSecond: 60, minServed: 1},
		{name: "the store refuses", boot: smallBoot, hosts: 6, endpoints: 12, leaving: 3, perSecond: 60, before: storeAway(simsite.Refuse), minServed: 0.95},
		{name: "the store hangs and hosts hear no other", boot: smallBoot, hosts: 6, endpoints: 12, leaving: 3, perSecond: 60, before: func(s *simsite.Site) {
			s.SetStoreBehavior(simsite.Hang)
			for _, h := range s.Hosts {
				h.DropDatagrams(true)
			}
		}, minServed: 0.8},
		{name: "the answers are errors", boot: smallBoot, hosts: 6, endpoints: 12, leaving: 3, perSecond: 60, fails: true, minServed: 0.95},
		{name: "the entries go and come back", boot: smallBoot, hosts: 6, endpoints: 12, leaving: 3, perSecond: 60, during: func(s *simsite.Site) {
			for _, e := range s.Endpoints[:3] {
				e.Lapse()
			}
			time.Sleep(2 * time.Second)
			for _, e := range s.Endpoints[:3] {
				e.Renew()
			}
		}, minServed: 1},
		{name: "a host relays", boot: smallBoot, hosts: 6, endpoints: 6, leaving: 2, perSecond: 60, before: func(s *simsite.Site) {
			s.Hosts[0].CutOffEndpoints(simnet.Silent)
		}, during: func(s *simsite.Site) { s.Hosts[0].Heal() }, minServed: 0.9},
		{name: "6 of 24 endpoints, 85 hosts", boot: largeBoot, hosts: 85, endpoints: 24, leaving: 6, perSecond: 170, minServed: 0.99},
	}
	for _, p := range plays {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := startWorking(t, site.Example(), p.boot, p.hosts, p.endpoints, 30*time.Millisecond)
				defer s.Stop()
				sendToEach(s, 2*time.Second, p.perSecond, "/open/x")
				if p.before != nil {
					p.before(s)
				}
				for _, e := range s.Endpoints[:p.leaving] {
					if p.fails {
						e.Fails = func() bool { return true }
					}
					e.SayLeaving()
				}
				if p.during != nil {
					go func() {
						time.Sleep(4 * time.Second)
						p.during(s)
					}()
				}
				answers := sendToEach(s, 12*time.Second, p.perSecond, "/open/x")
				late, said := sentAfterLeaving(s, p.boot.DrainTime, answers)
				must.Positive(t, said)
				must.Zero(t, late, must.Sprint("answers that said so: ", said))
				sent, served := answers.served(0, p.hosts)
				must.GreaterEq(t, p.minServed, float64(served)/float64(sent), must.Sprint(fmt.Sprint(served, " of ", sent)))
			})
		})
	}
}
