// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package outlier

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fleet simulates hosts that send requests to endpoints that fail as given, and that report outcomes to each
// other with a delay. A request goes to the endpoint with the fewest requests in flight among the candidates
// drawn: an endpoint that fails at once looks idle.
type fleet struct {
	rand     *rand.Rand
	now      time.Duration
	hosts    [][]Record // by host and endpoint
	inFlight []int      // requests by endpoint
	shared   [][]Evidence
	delay    time.Duration
	pending  []pendingRequest
	// fails reports whether a request sent to an endpoint now fails.
	fails             func(endpoint int, now time.Duration) bool
	lostNonRepeatable []int // by endpoint, failed requests that are not repeatable
	sent              []int
}

// pendingRequest is a request in flight.
type pendingRequest struct {
	endsAt, sentAt        time.Duration
	host, endpoint        int
	failed, nonRepeatable bool
}

const (
	tick = 10 * ms
	// requestTime is the duration of a request; failures come at once.
	requestTime = 400 * ms
	// requestRate is the number of requests per second for each endpoint.
	requestRate = 8
)

func newFleet(hosts, endpoints int, seed uint64, delay time.Duration, fails func(int, time.Duration) bool) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 0)), inFlight: make([]int, endpoints), lostNonRepeatable: make([]int, endpoints), sent: make([]int, endpoints), delay: delay, fails: fails}
	for range hosts {
		f.hosts = append(f.hosts, make([]Record, endpoints))
	}
	return f
}

// step advances the simulation by one tick.
func (f *fleet) step() {
	f.now += tick
	remaining := f.pending[:0]
	for _, e := range f.pending {
		if e.endsAt > f.now {
			remaining = append(remaining, e)
			continue
		}
		f.inFlight[e.endpoint]--
		r := &f.hosts[e.host][e.endpoint]
		r.Inconclusive()
		switch {
		case !e.failed:
			r.Succeed(f.now)
		default:
			r.Fail(f.now, e.sentAt, Unanswered, f.rand.Float64())
			if e.nonRepeatable {
				f.lostNonRepeatable[e.endpoint]++
			}
		}
	}
	f.pending = remaining
	f.share()
	expected := requestRate * float64(len(f.inFlight)) * tick.Seconds()
	n := int(expected)
	if f.rand.Float64() < expected-float64(n) {
		n++
	}
	for range n {
		f.send(f.rand.IntN(len(f.hosts)), f.rand.IntN(2) == 0)
	}
}

// share gives all hosts the sum of what the others reported one delay ago.
func (f *fleet) share() {
	if f.now%(200*ms) != 0 || len(f.hosts) == 1 {
		return
	}
	sum := make([]Evidence, len(f.inFlight))
	for h := range f.hosts {
		for e := range sum {
			local := f.hosts[h][e].LocalEvidence(f.now)
			sum[e].Good += local.Good
			sum[e].Bad += local.Bad
		}
	}
	f.shared = append(f.shared, sum)
	if lag := int(f.delay / (200 * ms)); len(f.shared) > lag {
		for h := range f.hosts {
			for e, s := range f.shared[len(f.shared)-1-lag] {
				own := f.hosts[h][e].LocalEvidence(f.now)
				f.hosts[h][e].SetPeerEvidence(f.now, Evidence{max(0, s.Good-own.Good), max(0, s.Bad-own.Bad)})
			}
		}
	}
}

// send sends one request.
func (f *fleet) send(host int, nonRepeatable bool) {
	best := -1
	for range 12 { // draws; endpoints that do not admit the request are skipped
		e := f.rand.IntN(len(f.inFlight))
		ok, probe := f.hosts[host][e].Admits(f.now, !nonRepeatable)
		if !ok || (probe && f.rand.Float64()*float64(len(f.hosts)) >= 4) {
			continue
		}
		if best < 0 || f.inFlight[e] < f.inFlight[best] {
			best = e
		}
	}
	if best < 0 {
		return
	}
	f.hosts[host][best].Begin(f.now)
	f.inFlight[best]++
	f.sent[best]++
	e := pendingRequest{endsAt: f.now + requestTime, sentAt: f.now, host: host, endpoint: best, nonRepeatable: nonRepeatable}
	if f.fails(best, f.now) {
		e.endsAt, e.failed = f.now+tick, true
	}
	f.pending = append(f.pending, e)
}

// TestFleetEjects simulates fleets with endpoints that die, flap or fail in part, and checks how many requests
// that are not repeatable each of them loses, and whether an endpoint that recovers is used again. In a
// recorded day with 85 hosts and 60 engines, 2,351 attempts ended without an answer while each host avoided a
// failing endpoint for only 30 ms, and 381 with ejections.
func TestFleetEjects(t *testing.T) {
	const failingEndpoints = 3
	type scenario struct {
		name     string
		fails    func(r *rand.Rand, now time.Duration) bool // of the failing endpoints
		recovers bool
		// maxLost limits the number of lost requests per failing endpoint.
		maxLost int
	}
	within := func(now, from, to time.Duration) bool { return now >= from && now < to }
	scenarios := []scenario{
		{"dies", func(_ *rand.Rand, now time.Duration) bool { return now >= 2*time.Second }, false, 30},
		{"fails 9 of 10", func(r *rand.Rand, now time.Duration) bool { return now >= 2*time.Second && r.IntN(10) > 0 }, false, 60},
		{"goes down and up", func(_ *rand.Rand, now time.Duration) bool {
			return within(now, 2*time.Second, 8*time.Second) && (now/(1400*ms))%2 == 0
		}, true, 60},
		{"fails for 3 s", func(_ *rand.Rand, now time.Duration) bool { return within(now, 2*time.Second, 5*time.Second) }, true, 30},
	}
	for _, size := range []struct {
		hosts, endpoints int
		delay            time.Duration
	}{{6, 18, 0}, {85, 60, 400 * ms}, {300, 160, 400 * ms}} {
		for _, sc := range scenarios {
			t.Run(fmt.Sprint(size.hosts, " hosts, ", sc.name), func(t *testing.T) {
				var f *fleet
				f = newFleet(size.hosts, size.endpoints, 1, size.delay, func(e int, now time.Duration) bool {
					return e < failingEndpoints && sc.fails(f.rand, now)
				})
				var sentBefore []int
				for f.now < 16*time.Second {
					f.step()
					if f.now == 15*time.Second {
						sentBefore = append(sentBefore, f.sent...)
					}
				}
				lost, sentAfter := 0, 0
				for e := range failingEndpoints {
					lost += f.lostNonRepeatable[e]
					sentAfter += f.sent[e] - sentBefore[e]
				}
				t.Logf("lost per endpoint %d, sent to each in the last second %d", lost/failingEndpoints, sentAfter/failingEndpoints)
				must.LessEq(t, sc.maxLost, lost/failingEndpoints)
				if sc.recovers {
					must.GreaterEq(t, requestRate/2, sentAfter/failingEndpoints) // it is used again
				}
			})
		}
	}
}

// TestFleetKeepsEndpoints simulates conditions that must not eject endpoints for long: answers lost at random,
// 45 % of the requests failing at all endpoints, and a third of the hosts cut off from some endpoints.
func TestFleetKeepsEndpoints(t *testing.T) {
	cases := []struct {
		name         string
		failureRatio float64 // of requests at all endpoints
		minSentRatio float64 // of the requests for an endpoint that are sent
	}{
		{"3 % are lost", 0.03, 0.97},
		{"45 % fail at all endpoints", 0.45, 0.8},
	}
	for _, size := range []struct{ hosts, endpoints int }{{6, 18}, {85, 60}} {
		for _, tc := range cases {
			t.Run(fmt.Sprint(size.hosts, " hosts, ", tc.name), func(t *testing.T) {
				var f *fleet
				f = newFleet(size.hosts, size.endpoints, 2, 400*ms, func(int, time.Duration) bool { return f.rand.Float64() < tc.failureRatio })
				for f.now < 10*time.Second {
					f.step()
				}
				sent := 0
				for _, n := range f.sent {
					sent += n
				}
				must.GreaterEq(t, tc.minSentRatio, float64(sent)/(requestRate*10*float64(size.endpoints)))
			})
		}
	}
	t.Run("a third of the hosts is cut off", func(t *testing.T) {
		var records [9]Record
		for range 40 {
			for h := range records {
				if h < 3 {
					records[h].Fail(0, 0, Unreachable, 0)
				} else {
					records[h].Succeed(0)
				}
			}
		}
		var sum Evidence
		for h := range records {
			local := records[h].LocalEvidence(0)
			sum.Good, sum.Bad = sum.Good+local.Good, sum.Bad+local.Bad
		}
		var r Record // a host that has sent nothing
		r.SetPeerEvidence(0, sum)
		must.EqOp(t, Closed, r.State(0))
		must.True(t, r.Healthy(0))
		must.EqOp(t, Open, records[0].State(0))
	})
}
