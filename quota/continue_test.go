// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/sched"
)

// TestStreamsThatGoOnComeFirst guards against refusals of streams that callers take up after a kill of all hosts: new requests of up to ten
// times the rate had used the workspace's amount before them.
func TestStreamsThatGoOnComeFirst(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 1000}
	const interval = 600 * time.Millisecond // of the tries of a caller
	for _, load := range []float64{0.5, 2, 10} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			p := takeUpPlay{load: load, limit: limit, slack: 2 * limit.Rate, streams: 30, length: 5 * time.Second}
			p.retryAfter = func(_, _ time.Duration) time.Duration { return interval }
			must.GreaterEq(t, p.streams/2, p.run())
		})
	}
}

// TestRefusedStreamsGoOnLater guards against callers of streams that use up their few tries within a second, while the amount of their
// workspace comes back over the seconds that they have left: half of the streams that are taken up have to go on.
func TestRefusedStreamsGoOnLater(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 1000}
	for _, load := range []float64{2, 10} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			r := rand.New(rand.NewPCG(31, 32))
			p := takeUpPlay{load: load, limit: limit, slack: limit.Rate, streams: 60, length: 10 * time.Second}
			p.retryAfter = func(wait, left time.Duration) time.Duration { return sched.ContinueRetryAfter(wait, left, r.Float64()) }
			must.GreaterEq(t, p.streams/2, p.run())
		})
	}
}

// takeUpPlay plays the seconds after a kill of all hosts, in which callers take up the streams of one workspace.
type takeUpPlay struct {
	load    float64 // new requests, as a multiple of the rate
	limit   Limit
	slack   float64 // of the tolerance
	streams int
	length  time.Duration // after which callers take up nothing
	// retryAfter returns the time after which the caller of a refused stream returns, given the time that the book tells and the time left.
	retryAfter func(wait, left time.Duration) time.Duration
}

// run returns the number of streams that go on.
func (p *takeUpPlay) run() int {
	const hosts = 6
	f := newFleet(hosts, Tolerance{Window: 8 * time.Second, Overshoot: 0.1, Slack: p.slack})
	for i := range hosts {
		f.restart(i, hosts)
	}
	streams := make([]brokenStream, p.streams)
	for i := range streams {
		streams[i] = brokenStream{host: i, dueAt: noticedAfter + time.Duration(i)*step}
	}
	begun := 0
	for ; f.now < p.length; f.now += step {
		if f.now%(200*time.Millisecond) == 0 {
			f.report(func() bool { return false })
		}
		for demand := p.load * p.limit.Rate * step.Seconds(); demand > 0; demand -= 5 {
			_, _ = f.books[begun%hosts].Take(f.now, "w", p.limit, 5)
			begun++
		}
		for i := range streams {
			streams[i].tryAgain(f, p)
		}
	}
	wentOn := 0
	for _, s := range streams {
		if s.goesOn {
			wentOn++
		}
	}
	return wentOn
}

// noticedAfter is the time after which callers notice that their streams have broken off.
const noticedAfter = 2 * time.Second

// brokenStream is a stream that its caller takes up again.
type brokenStream struct {
	host   int // that is asked next
	tries  int
	dueAt  time.Duration // of the next try
	goesOn bool
}

// tryAgain asks a host to go on with the stream if that is due.
func (s *brokenStream) tryAgain(f *fleet, p *takeUpPlay) {
	const (
		maxTries = 4
		amount   = 100
	)
	if s.goesOn || s.tries == maxTries || f.now < s.dueAt {
		return
	}
	ok, wait := f.books[s.host%len(f.books)].TakeToContinue(f.now, "w", p.limit, amount)
	s.goesOn, s.dueAt = ok, f.now+p.retryAfter(wait, p.length-f.now)
	s.tries++
	s.host++
}
