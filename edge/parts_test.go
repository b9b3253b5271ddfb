// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
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

// What the platform promises of requests with a part that crashes endpoints: after boundedCrashes crashes and the contact time,
// maxLateSends more of them reach endpoints.
const (
	boundedCrashes = 5
	maxLateSends   = 3
)

// crashingPart is the ID of the part that crashes endpoints.
const crashingPart = "badbad"

// partCase is a play of requests whose prompts share a part that crashes endpoints, beside sound ones that share all their other parts.
type partCase struct {
	name       string
	parts      string // of the requests that crash endpoints; the last part, which is each request's own, is added
	soundParts string
	path       string // empty for a route whose streams callers may resume
	crashAfter int    // events
	unframed   bool
	perSecond  float64
	otherCrash time.Duration // an endpoint crashes each such time by itself; 0 for none
	trouble    func(s *simsite.Site)
}

// partResult is what a play shows.
type partResult struct {
	crashes, lateSends        int
	beginsBefore, begunBefore int // sound requests before the first crash
	beginsLate, begunLate     int // from twice the contact time after the fifth crash on
	cutShort                  int // streams that ended as whole ones before their last event
}

// partTime is the time for which requests that crash endpoints come; sound ones begin partQuiet earlier.
const (
	partTime  = 20 * time.Second
	partQuiet = 4 * time.Second
)

// sendStreams sends the requests that call returns, to hosts in turn, for d, and calls done with each answer.
func sendStreams(s *simsite.Site, d time.Duration, perSecond float64, call func(n int) simsite.StreamCall, done func(sent time.Time, a *simsite.StreamAnswer)) {
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		wg.Go(func() {
			sent := time.Now()
			a := s.SendStream(s.Hosts[n%len(s.Hosts)], call(n))
			done(sent, &a)
		})
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
	wg.Wait()
}

// soundRequest is a request without the part that crashes endpoints.
type soundRequest struct {
	sent  time.Time
	begun bool
}

// partPlay is a play of a case, with what its callers saw so far.
type partPlay struct {
	site *simsite.Site
	tc   *partCase

	mu       sync.Mutex
	sounds   []soundRequest
	cutShort int
}

// noteEnd counts a stream that ended as a whole one before its last event; mu must be held.
func (p *partPlay) noteEnd(a *simsite.StreamAnswer) {
	if a.Complete && a.LastEvent < playedEvents {
		p.cutShort++
	}
}

// sendSound sends the sound requests.
func (p *partPlay) sendSound() {
	call := func(n int) simsite.StreamCall {
		return simsite.StreamCall{ID: fmt.Sprint("sound-", n), Path: p.tc.path, Parts: fmt.Sprintf("%s,%x:20", p.tc.soundParts, 1<<20+n)}
	}
	sendStreams(p.site, partQuiet+partTime, 25, call, func(sent time.Time, a *simsite.StreamAnswer) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.sounds = append(p.sounds, soundRequest{sent, len(a.Versions) > 0})
		p.noteEnd(a)
	})
}

// sendGuilty sends the requests that crash endpoints.
func (p *partPlay) sendGuilty() {
	call := func(n int) simsite.StreamCall {
		return simsite.StreamCall{ID: fmt.Sprint("guilty-", n), Path: p.tc.path, Parts: fmt.Sprintf("%s,%x:20", p.tc.parts, 1<<24+n)}
	}
	sendStreams(p.site, partTime, p.tc.perSecond, call, func(_ time.Time, a *simsite.StreamAnswer) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.noteEnd(a)
	})
}

// crashOthers crashes endpoints that no request crashes.
func (p *partPlay) crashOthers() {
	r := rand.New(rand.NewPCG(5, 6))
	for range int((partQuiet + partTime) / p.tc.otherCrash) {
		time.Sleep(p.tc.otherCrash)
		all := p.site.AllEndpoints()
		all[len(all)-1-r.IntN(6)].Crash()
	}
}

// playParts plays a case.
func playParts(s *simsite.Site, tc *partCase, contactTime time.Duration) partResult {
	p := &partPlay{site: s, tc: tc}
	var wg sync.WaitGroup
	wg.Go(p.sendSound)
	if tc.otherCrash > 0 {
		wg.Go(p.crashOthers)
	}
	time.Sleep(partQuiet)
	if tc.trouble != nil {
		go tc.trouble(s)
	}
	first := time.Now()
	p.sendGuilty()
	wg.Wait()
	return p.result(first, contactTime)
}

// result sums a play up; first is when the first request came that crashes endpoints.
func (p *partPlay) result(first time.Time, contactTime time.Duration) partResult {
	crashes := p.site.CrashTimes()
	r := partResult{cutShort: p.cutShort, crashes: len(crashes)}
	fifth := crashes[min(boundedCrashes, len(crashes))-1]
	for _, e := range p.site.AllEndpoints() {
		for _, a := range e.Arrivals() {
			if strings.HasPrefix(a.ID, "guilty-") && a.ReceivedAt.Sub(fifth) > contactTime {
				r.lateSends++
			}
		}
	}
	count := func(begun bool, n, ok *int) {
		*n++
		if begun {
			*ok++
		}
	}
	for _, x := range p.sounds {
		switch {
		case x.sent.Before(first):
			count(x.begun, &r.beginsBefore, &r.begunBefore)
		case x.sent.Sub(fifth) > 2*contactTime:
			count(x.begun, &r.beginsLate, &r.begunLate)
		}
	}
	return r
}

// minBegunShare is the share of the sound requests that have to begin at the first try, over that before the first crash: the platform
// asks for half, and this is the aim.
const minBegunShare = 0.95

// TestCrashingPartIsHeld checks that requests which share no more than a part of their prompts that crashes endpoints stop reaching
// endpoints, and that sound requests with the same key and the same other parts go on.
func TestCrashingPartIsHeld(t *testing.T) {
	bad := crashingPart + ":30"
	cases := []partCase{
		{name: "the second of three", parts: "a0:60," + bad, soundParts: "a0:60", perSecond: 6},
		{name: "the third of four, streams may go on", parts: "a0:60,b0:20," + bad, soundParts: "a0:60,b0:20", perSecond: 6},
		{name: "the first of two", parts: bad, soundParts: "a0:60", path: "/draft/x", perSecond: 6},
		{name: "after some events", parts: "a0:60," + bad, soundParts: "a0:60", crashAfter: 2, perSecond: 6},
		{name: "after some events, streams may not go on, others crash", parts: "a0:60," + bad, soundParts: "a0:60", path: "/draft/x", crashAfter: 2, perSecond: 6, otherCrash: 1500 * time.Millisecond},
		{name: "few requests", parts: "a0:60," + bad, soundParts: "a0:60", path: "/draft/x", perSecond: 2},
		{name: "all hosts start again", parts: "a0:60," + bad, soundParts: "a0:60", path: "/draft/x", perSecond: 6, trouble: func(s *simsite.Site) {
			time.Sleep(partTime / 2)
			restartAll(s)
		}},
	}
	playPartCases(t, cases, func(t *testing.T, tc *partCase, got partResult) {
		must.LessEq(t, maxLateSends, got.lateSends)
		if tc.trouble == nil {
			must.GreaterEq(t, minBegunShare*share(got.begunBefore, got.beginsBefore), share(got.begunLate, got.beginsLate))
		}
	})
}

// TestUnframedAnswersOfCrashedEndpoints checks that an answer which ends with its connection, without a length or chunks, because the
// endpoint crashed, is not taken for a whole one: its caller sees it break off, and it clears no part.
func TestUnframedAnswersOfCrashedEndpoints(t *testing.T) {
	bad := crashingPart + ":30"
	cases := []partCase{
		{name: "before an event", parts: "a0:60," + bad, soundParts: "a0:60", path: "/draft/x", unframed: true, perSecond: 6},
		{name: "after some events", parts: "a0:60," + bad, soundParts: "a0:60", path: "/draft/x", crashAfter: 2, unframed: true, perSecond: 6},
		{name: "after some events, streams may go on", parts: "a0:60," + bad, soundParts: "a0:60", crashAfter: 2, unframed: true, perSecond: 6},
	}
	playPartCases(t, cases, func(t *testing.T, _ *partCase, got partResult) {
		must.EqOp(t, 0, got.cutShort)
		must.LessEq(t, maxLateSends, got.lateSends)
		must.GreaterEq(t, minBegunShare*share(got.begunBefore, got.beginsBefore), share(got.begunLate, got.beginsLate))
	})
}

// playPartCases plays cases in fleets of 6 and 24 hosts and checks what they show.
func playPartCases(t *testing.T, cases []partCase, check func(t *testing.T, tc *partCase, got partResult)) {
	for _, fleet := range []struct {
		boot  platform.Boot
		hosts int
	}{{smallBoot, 6}, {largeBoot, 24}} {
		for _, tc := range cases {
			t.Run(fmt.Sprint(tc.name, ", ", fleet.hosts, " hosts"), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					s := &simsite.Site{Boot: fleet.boot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
					defer s.Stop()
					must.NoError(t, s.Start(site.Example(), 0, fleet.hosts))
					for range 12 {
						must.NoError(t, s.AddEngine("v1", simsite.Streams{
							Events: playedEvents, Pace: 50 * time.Millisecond, Unframed: tc.unframed, CrashPart: crashingPart, CrashAfter: tc.crashAfter, Downtime: time.Second,
						}))
					}
					time.Sleep(4 * time.Second)
					got := playParts(s, &tc, fleet.boot.ContactTime)
					t.Logf("%+v", got)
					must.Positive(t, got.beginsLate)
					check(t, &tc, got)
				})
			})
		}
	}
}
