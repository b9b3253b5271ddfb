// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/simsite"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// outOfStep is a way in which one host does not follow the others for a time in which endpoints of another version join.
type outOfStep struct {
	name string
	lose func(s *simsite.Site, h *simsite.Host, d time.Duration)
	// large says that it is also played in a fleet of 85 hosts.
	large bool
}

// outOfSteps are the ways.
var outOfSteps = []outOfStep{
	{name: "it stands still", lose: func(_ *simsite.Site, h *simsite.Host, d time.Duration) { h.Stall(d) }},
	{name: "it is suspended", lose: func(_ *simsite.Site, h *simsite.Host, d time.Duration) { h.Suspend(d) }},
	{name: "it reaches neither the store nor other hosts by datagram", large: true, lose: func(s *simsite.Site, h *simsite.Host, d time.Duration) {
		h.DropDatagrams(true)
		s.Store.SetBehavior(h.Boot.IP, simsite.Hang)
		time.AfterFunc(d, func() {
			h.DropDatagrams(false)
			s.Store.SetBehavior(h.Boot.IP, simsite.Normal)
		})
	}},
}

// TestHostOutOfStepMixesNoVersions guards against streams that go on at another version at a host which has missed that endpoints of a new
// version joined and began them, whether or not callers name the request that they resume.
func TestHostOutOfStepMixesNoVersions(t *testing.T) {
	const (
		smallFleet = 6
		lost       = 1500 * time.Millisecond // shorter than the time for which a list of endpoints counts as young
		begin      = 3 * time.Second
		end        = 8 * time.Second
	)
	fleets := []struct {
		boot           platform.Boot
		hosts, engines int
	}{{smallBoot, smallFleet, 6}, {largeBoot, 85, 16}}
	for _, way := range outOfSteps {
		for _, f := range fleets {
			if f.hosts > smallFleet && !way.large {
				continue
			}
			for _, named := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %d hosts, request named: %t", way.name, f.hosts, named), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						s := &simsite.Site{Boot: f.boot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
						defer s.Stop()
						must.NoError(t, s.Start(site.Example(), 0, f.hosts))
						streams := simsite.Streams{Events: playedEvents, Pace: playedPace / 2, BreakAfter: func() int { return 3 }}
						for range f.engines {
							must.NoError(t, s.AddEngine("v1", streams))
						}
						time.Sleep(4 * time.Second)
						time.AfterFunc(begin, func() {
							way.lose(s, s.Hosts[0], lost)
							for range f.engines {
								must.NoError(t, s.AddEngine("v2", streams))
							}
						})
						p := &takeUps{site: s, named: named, rand: rand.New(rand.NewPCG(21, 22))}
						p.run(end)
						t.Logf("%+v", p.counts)
						must.Greater(t, 200, p.counts.takenUp)
						must.EqOp(t, 0, p.counts.mixed)
					})
				})
			}
		}
	}
}

// takeUps plays callers whose streams begin at any host but the first, break, and are taken up at the first.
type takeUps struct {
	site  *simsite.Site
	named bool // callers name the request that they resume

	mu     sync.Mutex
	rand   *rand.Rand
	counts streamCounts
}

// run starts a caller at each interval for d and waits for all of them.
func (p *takeUps) run(d time.Duration) {
	var wg sync.WaitGroup
	begun := time.Now()
	for n := 0; time.Since(begun) < d; n++ {
		wg.Go(func() { p.follow(fmt.Sprint("stream-", n)) })
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
}

// follow plays one caller.
func (p *takeUps) follow(id string) {
	p.mu.Lock()
	h := p.site.Hosts[1+p.rand.IntN(len(p.site.Hosts)-1)]
	p.mu.Unlock()
	first := p.site.SendStream(h, simsite.StreamCall{ID: id, LeaveAfter: 2})
	if len(first.Versions) == 0 {
		return
	}
	c := simsite.StreamCall{ID: id + "-1", LastEvent: first.LastEvent}
	if p.named {
		c.Resumes = id
	}
	rest := p.site.SendStream(p.site.Hosts[0], c)
	versions := append(first.Versions, rest.Versions...)
	slices.Sort(versions)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.takenUp++
	if rest.WentOn() {
		p.counts.wentOn++
	}
	if len(slices.Compact(versions)) > 1 {
		p.counts.mixed++
	}
}
