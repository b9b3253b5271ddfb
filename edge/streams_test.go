// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/simnet"
	"github.com/heathkeel/heathkeel/internal/simsite"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// Streams of the plays in this file.
const (
	playedEvents = 8
	playedPace   = 100 * time.Millisecond
)

// streamPlay plays callers that read streams and resume them at any host when they break.
type streamPlay struct {
	site *simsite.Site
	// leaveShare is the share of the callers that close the connection of their first request in the middle of the stream, and tries
	// the number of requests with which a caller reads one stream, with a pause between two of them.
	leaveShare float64
	tries      int
	pause      time.Duration
	events     int // of a stream; 0 means playedEvents

	mu     sync.Mutex
	rand   *rand.Rand
	counts streamCounts
}

// streamCounts is what the callers of a play got.
type streamCounts struct {
	streams, complete int
	mixed             int // streams with events of two versions
	begins, begun     int // first requests at hosts that were there, and those that brought an event
	resumes, resumed  int // the same of requests to resume a stream, and those that brought an event or the end
	takenUp, wentOn   int // streams that their callers took up at hosts that were there, and those that went on
}

// draw returns a random number below n.
func (p *streamPlay) draw(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rand.IntN(n)
}

// follow plays one caller.
func (p *streamPlay) follow(id string) {
	c := simsite.StreamCall{ID: id + "-0"}
	takenUp, wentOn := false, false
	leaves := float64(p.draw(1000)) < 1000*p.leaveShare
	var versions []string
	for try := range p.tries {
		c.LeaveAfter = 0
		if leaves && try == 0 {
			c.LeaveAfter = 1 + p.draw(cmp.Or(p.events, playedEvents)-1)
		}
		a := p.site.SendStream(p.site.Hosts[p.draw(len(p.site.Hosts))], c)
		p.note(&c, &a)
		if c.Resumes != "" && !a.NoHost {
			takenUp, wentOn = true, wentOn || a.WentOn()
		}
		versions = append(versions, a.Versions...)
		if a.Complete {
			break
		}
		if len(a.Versions) > 0 && c.Resumes == "" {
			c.Resumes = c.ID
		}
		c.LastEvent, c.ID = a.LastEvent, fmt.Sprintf("%s-%d", id, try+1)
		time.Sleep(max(p.pause, min(a.RetryAfter, time.Second)))
	}
	slices.Sort(versions)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.streams++
	if takenUp {
		p.counts.takenUp++
	}
	if wentOn {
		p.counts.wentOn++
	}
	if len(versions) == cmp.Or(p.events, playedEvents) {
		p.counts.complete++
	}
	if len(slices.Compact(versions)) > 1 {
		p.counts.mixed++
	}
}

// note counts one request, unless it came to a host whose process is away.
func (p *streamPlay) note(c *simsite.StreamCall, a *simsite.StreamAnswer) {
	if a.NoHost {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	wentOn := a.WentOn()
	n, ok := &p.counts.begins, &p.counts.begun
	if c.Resumes != "" {
		n, ok = &p.counts.resumes, &p.counts.resumed
	}
	*n++
	if wentOn {
		*ok++
	}
}

// run starts a caller at each interval for d and waits for all of them.
func (p *streamPlay) run(d, interval time.Duration) streamCounts {
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		wg.Go(func() { p.follow(fmt.Sprint("stream-", n)) })
		time.Sleep(interval)
	}
	wg.Wait()
	return p.counts
}

// share returns part/whole, or 1 if whole is 0.
func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// streamCase is a trouble during which callers read streams.
type streamCase struct {
	name       string
	breakShare float64 // share of the runs that break off
	leaveShare float64
	trouble    func(s *simsite.Site) // runs beside the callers; nil means none
	large      bool                  // also played in a fleet of 85 hosts
	oneVersion bool                  // all engines are of one version
	few        int                   // engines of the second version, if they are fewer than the others
	perSecond  float64               // streams that begin; 0 for 20
	pause      time.Duration         // between two requests of a caller
	// minShare is the least share of the requests to resume streams that go on, over that of the first requests that begin.
	minShare float64
}

// killEach kills and restarts hosts, n of them at each interval, until the play is over.
func killEach(interval time.Duration, n int) func(s *simsite.Site) {
	return func(s *simsite.Site) {
		for k := range int(playedTime / interval) {
			time.Sleep(interval)
			for i := range n {
				s.Hosts[(k+i)%len(s.Hosts)].Kill()
			}
			time.Sleep(300 * time.Millisecond)
			for i := range n {
				s.StartHost(s.Hosts[(k+i)%len(s.Hosts)])
			}
		}
	}
}

// restartAll kills all hosts and starts them again.
func restartAll(s *simsite.Site) {
	for _, h := range s.Hosts {
		h.Kill()
	}
	time.Sleep(300 * time.Millisecond)
	for _, h := range s.Hosts {
		s.StartHost(h)
	}
}

// endVersion ends all endpoints of a version after d.
func endVersion(version string, d time.Duration) func(s *simsite.Site) {
	return func(s *simsite.Site) {
		time.Sleep(d)
		for _, e := range s.Endpoints {
			if e.Version == version {
				e.End()
			}
		}
	}
}

// playedTime is the time for which callers begin streams.
const playedTime = 20 * time.Second

// minResumedShare is the share of the requests to resume streams that have to go on where one version serves all the time and no
// more than one host is killed at a time: the platform asks for half, and this is the aim.
const minResumedShare = 0.95

// TestStreamsStayAtOneVersion checks that no stream has events of two versions of the endpoints' software, whatever breaks it, and
// that streams are resumed as often as new ones begin.
func TestStreamsStayAtOneVersion(t *testing.T) {
	cases := []streamCase{
		{name: "runs break", breakShare: 0.3, minShare: minResumedShare},
		{name: "callers leave", breakShare: 0.3, leaveShare: 0.5, minShare: minResumedShare, large: true},
		{name: "hosts are killed", breakShare: 0.3, leaveShare: 0.3, trouble: killEach(2*time.Second, 1), minShare: minResumedShare, large: true},
		{name: "all hosts are killed", breakShare: 0.3, leaveShare: 0.3, trouble: func(s *simsite.Site) { killEach(5*time.Second, len(s.Hosts))(s) }},
		{name: "two hosts hear no other", breakShare: 0.3, leaveShare: 0.5, trouble: func(s *simsite.Site) {
			s.Hosts[0].DropDatagrams(true)
			s.Hosts[1].DropDatagrams(true)
		}, minShare: 0.5, large: true},
		{name: "two hosts reach no endpoint", breakShare: 0.3, leaveShare: 0.3, trouble: func(s *simsite.Site) {
			time.Sleep(3 * time.Second)
			for _, h := range s.Hosts[:2] {
				h.CutOffEndpoints(simnet.Silent)
				time.AfterFunc(playedTime, h.Heal)
			}
		}, minShare: 0.5},
		{name: "hosts are suspended", breakShare: 0.3, leaveShare: 0.3, trouble: func(s *simsite.Site) {
			for n := range int(playedTime / time.Second) {
				time.Sleep(time.Second)
				s.Hosts[n%len(s.Hosts)].Suspend(4 * time.Second)
			}
		}, minShare: 0.5},
		{name: "a version ends", breakShare: 0.3, leaveShare: 0.5, trouble: endVersion("v2", playedTime/2)},
		{name: "the store is away", breakShare: 0.3, leaveShare: 0.3, trouble: func(s *simsite.Site) {
			s.SetStoreBehavior(simsite.Refuse)
			killEach(4*time.Second, 1)(s)
			s.SetStoreBehavior(simsite.Normal)
		}, minShare: 0.5},
	}
	for _, tc := range cases {
		t.Run(tc.name+", 6 hosts", func(t *testing.T) {
			t.Parallel()
			playStreams(t, &tc, smallBoot, 6, 6, 4)
		})
		if tc.large {
			t.Run(tc.name+", 85 hosts", func(t *testing.T) {
				t.Parallel()
				playStreams(t, &tc, largeBoot, 85, 16, 4)
			})
		}
	}
}

// TestStreamsGoOnAfterRestartOfAllHosts checks that streams whose origin nobody remembers, because all hosts were killed, go on if only
// one version has served for long, and not if endpoints of another one served until just before, which are no longer listed.
func TestStreamsGoOnAfterRestartOfAllHosts(t *testing.T) {
	const pause = 250 * time.Millisecond // so that callers still try when the hosts are back
	t.Run("one version", func(t *testing.T) {
		playStreams(t, &streamCase{oneVersion: true, pause: pause, trouble: func(s *simsite.Site) { killEach(5*time.Second, len(s.Hosts))(s) }, minShare: 0.5}, smallBoot, 6, 12, 4)
	})
	t.Run("a version that has just left", func(t *testing.T) {
		playStreams(t, &streamCase{pause: pause, trouble: func(s *simsite.Site) {
			time.Sleep(8 * time.Second)
			for _, e := range s.Endpoints {
				if e.Version == "v1" {
					e.Leave(false)
				}
			}
			time.Sleep(100 * time.Millisecond)
			restartAll(s)
		}}, smallBoot, 6, 6, 4)
	})
}

// TestStreamsOfFewEndpointsGoOn checks that streams of a version with few endpoints are resumed while all endpoints are busy.
func TestStreamsOfFewEndpointsGoOn(t *testing.T) {
	for _, perSecond := range []float64{140, 240} {
		t.Run(fmt.Sprint(perSecond, " a second"), func(t *testing.T) {
			playStreams(t, &streamCase{few: 2, perSecond: perSecond, breakShare: 0.1, leaveShare: 0.2, minShare: 0.5}, smallBoot, 6, 10, 3)
		})
	}
}

// TestResponseStaysAtOneVersion checks that a host continues a stream that breaks off, within the same response, at the version that
// began it.
func TestResponseStaysAtOneVersion(t *testing.T) {
	playStreams(t, &streamCase{breakShare: 0.5}, smallBoot, 6, 6, 1)
}

// playStreams plays callers before a fleet whose engines are of two versions.
func playStreams(t *testing.T, tc *streamCase, boot platform.Boot, hosts, engines, tries int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &simsite.Site{Boot: boot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
		defer s.Stop()
		p := &streamPlay{site: s, leaveShare: tc.leaveShare, tries: tries, pause: max(tc.pause, 20*time.Millisecond), rand: rand.New(rand.NewPCG(11, 12))}
		must.NoError(t, s.Start(site.Example(), 0, hosts))
		streams := simsite.Streams{Events: playedEvents, Pace: playedPace, BreakAfter: func() int {
			if float64(p.draw(1000)) < 1000*tc.breakShare {
				return 3
			}
			return 0
		}}
		for i := range engines {
			must.NoError(t, s.AddEngine("v1", streams))
			if !tc.oneVersion && (tc.few == 0 || i < tc.few) {
				must.NoError(t, s.AddEngine("v2", streams))
			}
		}
		time.Sleep(4 * time.Second)
		if tc.trouble != nil {
			go tc.trouble(s)
		}
		got := p.run(playedTime, time.Duration(float64(time.Second)/cmp.Or(tc.perSecond, 20)))
		t.Logf("%+v", got)
		time.Sleep(playedTime) // until the trouble is over
		must.Greater(t, 300, got.streams)
		must.EqOp(t, 0, got.mixed)
		must.GreaterEq(t, tc.minShare*share(got.begun, got.begins), share(got.resumed, got.resumes))
	})
}
