// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/simsite"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// Streams of the plays in this file: some seconds long, so that most of those under way at a kill began well before it.
const (
	rejoinedEvents    = 8
	rejoinedPace      = 250 * time.Millisecond
	rejoinedPerSecond = 30
	rejoinedBegin     = 3 * time.Second // when the second version appears
	rejoinedTime      = 9 * time.Second // for which callers begin streams
	rejoinedTries     = 24
)

// rejoinedCase is a change of the engines' version, and kills of all hosts, at times after the second version has appeared.
type rejoinedCase struct {
	name      string
	announced time.Duration // when the engines of the first version say that they leave; 0 means that they do not
	leave     time.Duration // when their entries go; 0 means that they serve on
	kills     []time.Duration
	down      time.Duration // for which the hosts are away
	stagger   time.Duration // between the starts of two hosts
	// storeAway and storeBack are when the store begins to refuse all calls and when it answers again; storeBack 0 means never refused.
	storeAway, storeBack time.Duration
	// minShare is the least share of the streams that are taken up again which go on.
	minShare float64
}

// goingOn is the share of the streams taken up again that have to go on while their version serves. The platform asks for half of the share
// of new streams that begin; those that began just before a kill, at most some hundred ms, are lost.
const goingOn = 0.85

// TestStreamsAfterKillsAndRollouts checks that no stream has events of two versions when all hosts are killed at once while the version of
// the engines changes, and that streams go on whose version still serves.
func TestStreamsAfterKillsAndRollouts(t *testing.T) {
	const ms = time.Millisecond
	cases := []rejoinedCase{
		{name: "before any record", leave: 400 * ms, kills: []time.Duration{500 * ms}, down: 50 * ms},
		{name: "soon after", leave: 700 * ms, kills: []time.Duration{300 * ms}, down: 2600 * ms},
		{name: "later", leave: 1500 * ms, kills: []time.Duration{900 * ms}, down: 2600 * ms},
		{name: "at once", leave: 10 * ms, kills: []time.Duration{30 * ms}, down: 500 * ms},
		{name: "the second version unseen", leave: 200 * ms, kills: []time.Duration{5 * ms}, down: 2600 * ms},
		{name: "several kills", announced: 100 * ms, leave: 2200 * ms, kills: []time.Duration{700 * ms, 2400 * ms, 4500 * ms}, down: 300 * ms, stagger: 150 * ms},
		{name: "store away before", leave: 2200 * ms, kills: []time.Duration{2300 * ms}, down: time.Second, storeAway: -100 * ms, storeBack: 2300 * ms},
		{name: "store away meanwhile", leave: 2600 * ms, kills: []time.Duration{1800 * ms}, down: 2200 * ms, storeAway: 60 * ms, storeBack: 4 * time.Second},
		{name: "the first version ends", announced: 100 * ms, leave: 2200 * ms, kills: []time.Duration{2300 * ms}, down: 300 * ms},
		{name: "both serve on", kills: []time.Duration{1500 * ms}, down: 300 * ms, minShare: goingOn},
		{name: "both serve on, two kills", kills: []time.Duration{1500 * ms, 5 * time.Second}, down: 300 * ms, minShare: goingOn},
	}
	for _, fleet := range []struct {
		boot           platform.Boot
		hosts, engines int
	}{{smallBoot, 6, 6}, {largeBoot, 85, 10}} {
		for _, tc := range cases {
			t.Run(fmt.Sprintf("%s, %d hosts", tc.name, fleet.hosts), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { tc.play(t, fleet.boot, fleet.hosts, fleet.engines) })
			})
		}
	}
}

// play plays callers while the case runs.
func (tc *rejoinedCase) play(t *testing.T, boot platform.Boot, hosts, engines int) {
	s := &simsite.Site{Boot: boot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
	defer s.Stop()
	must.NoError(t, s.Start(site.Example(), 0, hosts))
	streams := simsite.Streams{Events: rejoinedEvents, Pace: rejoinedPace}
	for range engines {
		must.NoError(t, s.AddEngine("v1", streams))
	}
	time.Sleep(4 * time.Second)
	go func() {
		time.Sleep(rejoinedBegin)
		tc.run(s, engines, streams)
	}()
	p := &streamPlay{site: s, events: rejoinedEvents, tries: rejoinedTries, pause: 400 * time.Millisecond, rand: rand.New(rand.NewPCG(21, 22))}
	got := p.run(rejoinedTime, time.Second/rejoinedPerSecond)
	t.Logf("%+v", got)
	time.Sleep(rejoinedTime) // until the case is over
	must.EqOp(t, 0, got.mixed)
	must.GreaterEq(t, tc.minShare, share(got.wentOn, got.takenUp))
}

// run adds the engines of the second version and lets the rest of the case happen.
func (tc *rejoinedCase) run(s *simsite.Site, engines int, streams simsite.Streams) {
	first := s.AllEndpoints()
	at := func(d time.Duration, f func()) { time.AfterFunc(max(0, d), f) }
	if tc.storeAway < 0 {
		s.SetStoreBehavior(simsite.Refuse)
		time.Sleep(-tc.storeAway)
	} else if tc.storeBack > 0 {
		at(tc.storeAway, func() { s.SetStoreBehavior(simsite.Refuse) })
	}
	for range engines {
		if err := s.AddEngine("v2", streams); err != nil {
			panic(err)
		}
	}
	if tc.announced > 0 {
		at(tc.announced, func() { leaveAll(first, true) })
	}
	if tc.leave > 0 {
		at(tc.leave, func() { leaveAll(first, false) })
	}
	if tc.storeBack > 0 {
		at(tc.storeBack, func() { s.SetStoreBehavior(simsite.Normal) })
	}
	for _, kill := range tc.kills {
		at(kill, func() { tc.killAll(s) })
	}
}

// leaveAll lets endpoints say that they leave, or lets their entries go.
func leaveAll(list []*simsite.Endpoint, announced bool) {
	for _, e := range list {
		e.Leave(announced)
	}
}

// killAll kills all hosts and starts them again.
func (tc *rejoinedCase) killAll(s *simsite.Site) {
	for _, h := range s.Hosts {
		h.Kill()
	}
	time.Sleep(tc.down)
	for _, h := range s.Hosts {
		s.StartHost(h)
		time.Sleep(min(tc.stagger, time.Second/time.Duration(len(s.Hosts))))
	}
}
