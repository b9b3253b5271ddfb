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
	const hosts, streams = 6, 30
	limit := Limit{Rate: 1000, Burst: 1000}
	for _, load := range []float64{0.5, 2, 10} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			f := newFleet(hosts, Tolerance{Window: 8 * time.Second, Overshoot: 0.1, Slack: 2 * limit.Rate})
			for i := range hosts {
				f.restart(i, hosts)
			}
			broken := make([]brokenStream, streams)
			begun := 0
			for ; f.now < 5*time.Second; f.now += step {
				if f.now%(200*time.Millisecond) == 0 {
					f.report(func() bool { return false })
				}
				for demand := load * limit.Rate * step.Seconds(); demand > 0; demand -= 5 {
					_, _ = f.books[begun%hosts].Take(f.now, "w", limit, 5)
					begun++
				}
				for i := range broken {
					broken[i].tryAgain(f, i, limit)
				}
			}
			wentOn := 0
			for _, s := range broken {
				if s.goesOn {
					wentOn++
				}
			}
			must.GreaterEq(t, streams/2, wentOn)
		})
	}
}

// brokenStream is a stream that its caller takes up again.
type brokenStream struct {
	tries  int
	goesOn bool
}

// tryAgain asks a host to go on with stream i if that is due. Callers notice the break two seconds after the hosts have started, and try four
// times, 0.6 s apart.
func (s *brokenStream) tryAgain(f *fleet, i int, limit Limit) {
	const (
		noticed  = 2 * time.Second
		interval = 600 * time.Millisecond
		maxTries = 4
		amount   = 100
	)
	due := noticed + time.Duration(i)*step + time.Duration(s.tries)*interval
	if s.goesOn || s.tries == maxTries || f.now < due {
		return
	}
	s.goesOn, _ = f.books[(i+s.tries)%len(f.books)].TakeToContinue(f.now, "w", limit, amount)
	s.tries++
}

// TestRefusedStreamsGoOnLater guards against callers of streams that use up their few tries within a second, while the amount of their
// workspace comes back over the seconds that they have left: half of the streams that are taken up have to go on.
func TestRefusedStreamsGoOnLater(t *testing.T) {
	const hosts, streams = 6, 60
	limit := Limit{Rate: 1000, Burst: 1000}
	for _, load := range []float64{2, 10} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			r := rand.New(rand.NewPCG(31, 32))
			f := newFleet(hosts, Tolerance{Window: 8 * time.Second, Overshoot: 0.1, Slack: limit.Rate})
			for i := range hosts {
				f.restart(i, hosts)
			}
			callers := make([]patientCaller, streams)
			begun := 0
			for ; f.now < 10*time.Second; f.now += step {
				if f.now%(200*time.Millisecond) == 0 {
					f.report(func() bool { return false })
				}
				for demand := load * limit.Rate * step.Seconds(); demand > 0; demand -= 5 {
					_, _ = f.books[begun%hosts].Take(f.now, "w", limit, 5)
					begun++
				}
				for i := range callers {
					callers[i].tryAgain(f, limit, r)
				}
			}
			wentOn := 0
			for _, c := range callers {
				if c.goesOn {
					wentOn++
				}
			}
			must.GreaterEq(t, streams/2, wentOn)
		})
	}
}

// patientCaller takes up a stream and honors the retry times of refusals.
type patientCaller struct {
	tries  int
	dueAt  time.Duration // of its next try; 0 before the first
	goesOn bool
}

// tryAgain asks a host to go on with the stream if that is due.
func (c *patientCaller) tryAgain(f *fleet, limit Limit, r *rand.Rand) {
	const (
		noticed  = 2 * time.Second // when callers notice that their streams have broken off
		spread   = 500 * time.Millisecond
		deadline = 10 * time.Second
		maxTries = 4
		amount   = 100
	)
	if c.dueAt == 0 {
		c.dueAt = noticed + time.Duration(r.Int64N(int64(spread)))
	}
	if c.goesOn || c.tries == maxTries || f.now < c.dueAt {
		return
	}
	c.tries++
	ok, wait := f.books[r.IntN(len(f.books))].TakeToContinue(f.now, "w", limit, amount)
	c.goesOn, c.dueAt = ok, f.now+sched.ContinueRetryAfter(wait, deadline-f.now, r.Float64())
}
