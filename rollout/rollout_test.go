// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// answer is what an endpoint of a version does with a request.
type answer struct {
	failed bool
	took   time.Duration
}

// usualTime is the mean time of an answer in the tests.
const usualTime = 200 * time.Millisecond

// good answers within 0.5 to 1.5 times the usual time; one of 50 fails.
func good(r *rand.Rand) answer {
	return answer{failed: r.IntN(50) == 0, took: time.Duration((0.5 + r.Float64()) * float64(usualTime))}
}

// simulation plays a roll-out by hosts that hear each other's counts some time later.
type simulation struct {
	hosts    int
	rate     float64 // requests per second of all hosts
	duration time.Duration
	// newVersion answers a request at the new version; load is the share of the requests that goes there and past the share of
	// the duration that is over.
	newVersion func(r *rand.Rand, route string, load, past float64) answer
	// restartAt is when half of the hosts start again, or 0.
	restartAt time.Duration

	rand  *rand.Rand
	now   time.Duration
	books []*Book
	lives []uint64
	end   map[time.Duration][]func()
}

// outcome is what the operators see of a simulation.
type outcome struct {
	sent, exposed int           // requests to the service, and those of them to the new version, until the deadline
	fiftiethBad   time.Duration // when the new version answered badly for the 50th time, or 0
	lastExposed   time.Duration
	succeededAt   time.Duration // when the first host saw all requests moved, or 0
	rolledBackAt  time.Duration // when the first host rolled back, or 0
}

// Steps of the simulation, and the delay after which hosts hear counts.
const (
	simStep     = 20 * time.Millisecond
	reportSteps = 10
	reportDelay = 350 * time.Millisecond
)

// run plays the roll-out until some time after its deadline.
func (s *simulation) run(seed uint64) outcome {
	s.rand = rand.New(rand.NewPCG(seed, 1))
	s.end = make(map[time.Duration][]func())
	order := []Order{{Service: "service", Version: "v2", Duration: s.duration, Revision: 7}}
	for i := range s.hosts {
		b := &Book{Limits: Limits{Share: 0.1}}
		s.books, s.lives = append(s.books, b), append(s.lives, 1)
		s.at(time.Duration(i)*time.Second/time.Duration(s.hosts), func() { b.SetOrders(s.now, order, false) })
	}
	var out outcome
	share, badAnswers, final := 0.0, 0, Running
	for ; s.now < s.duration+4*time.Second; s.now += simStep {
		for _, f := range s.end[s.now] {
			f()
		}
		delete(s.end, s.now)
		if s.restartAt > 0 && s.now == s.restartAt {
			for i := 0; i < s.hosts; i += 2 {
				b := &Book{Limits: Limits{Share: 0.1}}
				s.books[i] = b
				s.lives[i]++
				s.at(300*time.Millisecond, func() { b.SetOrders(s.now, order, true) })
			}
		}
		sent, exposed := 0, 0
		for range s.arrivals() {
			i := s.rand.IntN(s.hosts)
			b := s.books[i]
			b.SetSlots(s.now, map[string]Slots{"service": {New: 100, Old: 100}})
			isNew := b.PicksNew(s.now, "service", s.rand.Float64())
			sent++
			route := fmt.Sprint("route-", s.rand.IntN(3))
			version, a := "v1", good(s.rand)
			if isNew {
				exposed++
				out.lastExposed = s.now
				version, a = "v2", s.newVersion(s.rand, route, share, s.now.Seconds()/s.duration.Seconds())
			}
			s.at(a.took, func() {
				b.Note("service", version, route, a.failed, a.took.Seconds())
				if isNew && (a.failed || a.took > 2*usualTime) {
					if badAnswers++; badAnswers == 50 {
						out.fiftiethBad = s.now
					}
				}
			})
		}
		if sent > 0 {
			share += 0.05 * (float64(exposed)/float64(sent) - share)
		}
		if s.now < s.duration {
			out.sent += sent
			out.exposed += exposed
		}
		for i, b := range s.books {
			if int(s.now/simStep)%reportSteps == i%reportSteps {
				s.report(i, b)
			}
			for _, st := range b.Statuses(s.now) {
				switch {
				case st.State == Succeeded && out.succeededAt == 0 && final == Running:
					out.succeededAt, final = s.now, Succeeded
				case st.State == RolledBack && out.rolledBackAt == 0:
					out.rolledBackAt, final = s.now, RolledBack
				}
				b.Adopt("service", 7, final)
			}
		}
	}
	return out
}

// at runs f after d.
func (s *simulation) at(d time.Duration, f func()) {
	when := (s.now + max(d, simStep)).Truncate(simStep)
	s.end[when] = append(s.end[when], f)
}

// arrivals returns the number of requests in a step.
func (s *simulation) arrivals() int {
	mean := s.rate * simStep.Seconds()
	n := int(mean)
	if s.rand.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// report sends the counts of a host to all others.
func (s *simulation) report(i int, b *Book) {
	counts, life := b.Counts(), s.lives[i]
	s.at(reportDelay, func() {
		for j, other := range s.books {
			if j != i {
				other.ApplyCounts(s.now, fmt.Sprint("host-", i), life, counts)
			}
		}
	})
}

// TestRollout checks that a good version gets all requests before the deadline, and that a bad one gets no more than its share of
// them and nothing for long after its 50th bad answer, whenever and wherever it turns out bad, also if hosts learn of the order at
// different times or start again.
func TestRollout(t *testing.T) {
	const (
		seeds                    = 2
		exposeShare, exposeSlack = 0.1, 50
		maxRollBackTime          = 5 * time.Second
	)
	failing := func(share float64, a answer, r *rand.Rand) answer {
		a.failed = a.failed || r.Float64() < share
		return a
	}
	cases := []struct {
		name       string
		newVersion func(r *rand.Rand, route string, load, past float64) answer
		bad        bool
	}{
		{"good", func(r *rand.Rand, _ string, _, _ float64) answer { return good(r) }, false},
		{"somewhat slower under load", func(r *rand.Rand, _ string, load, _ float64) answer {
			a := good(r)
			a.took = time.Duration((1 + load/2) * float64(a.took))
			return a
		}, false},
		{"fails at once", func(r *rand.Rand, _ string, _, _ float64) answer { return failing(0.4, good(r), r) }, true},
		{"fails always", func(r *rand.Rand, _ string, _, _ float64) answer { return failing(1, good(r), r) }, true},
		{"fails later", func(r *rand.Rand, _ string, _, past float64) answer {
			if past < 0.4 {
				return good(r)
			}
			return failing(0.4, good(r), r)
		}, true},
		{"fails under load", func(r *rand.Rand, _ string, load, _ float64) answer {
			if load < 0.2 {
				return good(r)
			}
			return failing(0.5, good(r), r)
		}, true},
		{"fails on one route", func(r *rand.Rand, route string, _, _ float64) answer {
			if route != "route-1" {
				return good(r)
			}
			return failing(0.5, good(r), r)
		}, true},
		{"slow", func(r *rand.Rand, _ string, _, _ float64) answer {
			a := good(r)
			if r.Float64() < 0.4 {
				a.took *= 6
			}
			return a
		}, true},
	}
	for _, tc := range cases {
		for _, size := range []struct {
			hosts    int
			rate     float64
			duration time.Duration
		}{{1, 60, 30 * time.Second}, {6, 100, 30 * time.Second}, {85, 600, 12 * time.Second}} {
			for _, restart := range []bool{false, true} {
				for seed := range uint64(seeds) {
					t.Run(fmt.Sprintf("%s, %d hosts, restart %v, seed %d", tc.name, size.hosts, restart, seed), func(t *testing.T) {
						t.Parallel()
						d := size.duration
						s := simulation{hosts: size.hosts, rate: size.rate, duration: d, newVersion: tc.newVersion}
						if restart && size.hosts > 1 {
							s.restartAt = (d / 2).Truncate(simStep)
						}
						out := s.run(seed)
						if !tc.bad {
							must.Zero(t, out.rolledBackAt)
							must.Positive(t, out.succeededAt)
							must.Less(t, d, out.succeededAt)
							return
						}
						must.Zero(t, out.succeededAt, must.Sprintf("%+v", out))
						must.Positive(t, out.rolledBackAt, must.Sprintf("%+v", out))
						must.LessEq(t, exposeShare*float64(out.sent)+exposeSlack, float64(out.exposed), must.Sprintf("%+v", out))
						if out.fiftiethBad > 0 {
							must.LessEq(t, out.fiftiethBad+maxRollBackTime, out.lastExposed, must.Sprintf("%+v", out))
						}
					})
				}
			}
		}
	}
}
