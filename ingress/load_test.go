// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/places"
	"github.com/heathkeel/heathkeel/sched"
)

// thirdSlow is a fleet in which a third of 12 endpoints is three times slower, another third every 2 s.
func thirdSlow(hosts int, disabled bool) *loadSim {
	m := &loadSim{
		hosts: hosts, endpoints: 12, slots: 8, rate: 250, work: 150 * time.Millisecond, slowBy: 3, slowShare: 1.0 / 3, slowFor: 2 * time.Second,
		length: 20 * time.Second, disabled: disabled, peerAge: 20 * time.Millisecond, claimedAge: 20 * time.Millisecond,
	}
	if hosts > 9 {
		m.peerAge, m.claimedAge = 450*time.Millisecond, 120*time.Millisecond
	}
	return m
}

// sharedMachines is the deployment whose machines are shared: 93 endpoints, 0.15 of them 2.5 times slower, others every 600 ms.
func sharedMachines(rate float64, disabled bool) *loadSim {
	return &loadSim{
		hosts: 64, endpoints: 93, slots: 4, rate: rate, work: 230 * time.Millisecond, slowBy: 2.5, slowShare: 0.15, slowFor: 600 * time.Millisecond,
		length: 5 * time.Second, disabled: disabled, peerAge: 450 * time.Millisecond, claimedAge: 180 * time.Millisecond,
	}
}

// falseStatements are the ways in which a third of the endpoints states false values, from 3 s on.
var falseStatements = map[string]func(m *loadSim) places.StatedLoad{
	"always 25":  func(*loadSim) places.StatedLoad { return places.StatedLoad{Running: 8, Slots: 8, Slowdown: 25} },
	"always 800": func(*loadSim) places.StatedLoad { return places.StatedLoad{Running: 8, Slots: 8, Slowdown: 800} },
	"garbage": func(m *loadSim) places.StatedLoad {
		v := func() int { return 1 + m.rand.IntN(999_999) }
		return places.StatedLoad{Running: v(), Waiting: v(), Slots: v(), Slowdown: v()}
	},
	"25 or 800": func(m *loadSim) places.StatedLoad {
		return places.StatedLoad{Running: 8, Slots: 8, Slowdown: []int{25, 800}[m.rand.IntN(2)]}
	},
}

// stateFalsely makes a third of the endpoints state false values.
func (m *loadSim) stateFalsely(from time.Duration, f func(m *loadSim) places.StatedLoad) {
	m.state = func(m *loadSim, i int) places.StatedLoad {
		if m.now < from || i%3 != 0 {
			return places.StatedLoad{Running: 8, Slots: 8, Slowdown: 100}
		}
		return f(m)
	}
}

// TestSlowEndpointsGetFewRequests guards against requests that go on to endpoints that have long been slow and say so.
func TestSlowEndpointsGetFewRequests(t *testing.T) {
	cases := []struct {
		hosts          int
		before, within float64 // shares of the requests sent while a third of the endpoints has been slow for more than 0.5 s
	}{{6, 0.15, 0.05}, {64, 0.15, 0.05}}
	for _, tc := range cases {
		t.Run(fmt.Sprint(tc.hosts), func(t *testing.T) {
			off, on := thirdSlow(tc.hosts, true).run(1), thirdSlow(tc.hosts, false).run(1)
			again := thirdSlow(tc.hosts, false).run(2) // a single run of 64 hosts varies by 0.01
			t.Logf("%.3f without stated loads (p95 %v), %.3f with (p95 %v), %.0f B/s more per host", off.slowShare(), off.quantile(0.95), (on.slowShare()+again.slowShare())/2, on.quantile(0.95),
				float64(on.bytes-off.bytes)/20/float64(tc.hosts))
			must.Greater(t, tc.before, off.slowShare()) // the simulation is one in which it matters
			must.LessEq(t, tc.within, (on.slowShare()+again.slowShare())/2)
			must.GreaterEq(t, off.servedShare()-0.01, on.servedShare())
			must.Less(t, 3000, float64(on.bytes-off.bytes)/20/float64(tc.hosts))
		})
	}
}

// TestSharedMachines guards against stated loads that serve callers worse where slow states last only 600 ms and a host hears of an
// endpoint itself every few seconds.
func TestSharedMachines(t *testing.T) {
	off, on := sharedMachines(1100, true).run(1), sharedMachines(1100, false).run(1)
	t.Logf("p95 %v without stated loads, %v with; at slow endpoints %.3f and %.3f; %.0f messages and %.0f B/s more per host", off.quantile(0.95), on.quantile(0.95),
		off.anySlowShare(), on.anySlowShare(), float64(on.messages-off.messages)/5/64, float64(on.bytes-off.bytes)/5/64)
	must.Less(t, 3000, float64(on.bytes-off.bytes)/5/64)
	must.Less(t, 0.7*off.anySlowShare(), on.anySlowShare())
	must.Less(t, off.quantile(0.95), on.quantile(0.95))
	must.GreaterEq(t, off.servedShare()-0.01, on.servedShare())
}

// TestFalseStatements guards against requests that are not served because a third of the endpoints states false values, at 0.78 of the
// endpoints' capacity.
func TestFalseStatements(t *testing.T) {
	for _, hosts := range []int{6, 64} {
		served := func(f func(m *loadSim) places.StatedLoad) float64 {
			m := thirdSlow(hosts, f == nil)
			m.rate, m.slowShare, m.length = 500, 0, 8*time.Second
			if f != nil {
				m.stateFalsely(3*time.Second, f)
			}
			return m.run(1).servedShare()
		}
		off := served(nil)
		for name, f := range falseStatements {
			t.Run(fmt.Sprint(hosts, " hosts, ", name), func(t *testing.T) {
				on := served(f)
				t.Logf("%.4f served without stated loads, %.4f with", off, on)
				must.GreaterEq(t, off-0.02, on)
			})
		}
	}
}

func TestParseLoad(t *testing.T) {
	cases := []struct {
		name, value string
		want        places.StatedLoad
		ok          bool
	}{
		{"three fields", "3,0,8", places.StatedLoad{Running: 3, Slots: 8}, true},
		{"four fields", "3,0,8,250", places.StatedLoad{Running: 3, Slots: 8, Slowdown: 250}, true},
		{"spaces", " 3 , 1,8 ,\t100 ", places.StatedLoad{Running: 3, Waiting: 1, Slots: 8, Slowdown: 100}, true},
		{"the largest values", "1000000,1000000,1000000,1000000", places.StatedLoad{Running: 1e6, Waiting: 1e6, Slots: 1e6, Slowdown: 1e6}, true},
		{name: "empty", value: ""},
		{name: "a missing field", value: "3,0"},
		{name: "an extra field", value: "3,0,8,100,1"},
		{name: "many fields", value: strings.Repeat("1,", 1000)},
		{name: "an empty field", value: "3,,8"},
		{name: "a trailing comma", value: "3,0,8,"},
		{name: "negative", value: "-1,0,8"},
		{name: "negative slowdown", value: "3,0,8,-100"},
		{name: "a sign", value: "+3,0,8"},
		{name: "a word", value: "three,0,8"},
		{name: "a fraction", value: "3.5,0,8"},
		{name: "an exponent", value: "1e3,0,8"},
		{name: "hexadecimal", value: "0x3,0,8"},
		{name: "not a number", value: "NaN,0,8"},
		{name: "too large", value: "1000001,0,8"},
		{name: "a slowdown too large", value: "3,0,8,1000001"},
		{name: "beyond 64 bits", value: "99999999999999999999,0,8"},
		{name: "no slots", value: "0,0,0"},
		{name: "a slowdown of 0", value: "3,0,8,0"},
		{name: "other separators", value: "3;0;8"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got, err := parseLoad(tc.value)
			must.Eq(t, tc.ok, err == nil)
			must.Eq(t, tc.want, got)
		})
	}
}

// TestLoadIsReported checks the way of a stated load from a response to the owner of the slots and to a host that asks it, and that values
// that are not valid are counted and ignored.
func TestLoadIsReported(t *testing.T) {
	reader, now := newBalancerWithEngines(1)
	ownerBalancer, ownerNow := newBalancerWithEngines(1)
	owner := &Server{Host: "owner", balance: ownerBalancer}
	s := &Server{balance: reader, Headers: Headers{Load: "Example-Load"}, Now: func() time.Duration { return *now }, Log: logr.Discard(), lineLimiters: make(map[outcome.Kind]*outcome.LineLimiter)}
	c := &call{s: s, endpoint: feed.Endpoint{Instance: "e0"}, req: &sched.Request{}}
	state := func(values ...string) { c.noteLoad(http.Header{"Example-Load": values}) }
	*now, *ownerNow = time.Second, time.Second
	state("3,0,8,100")
	requests, _ := s.SlotRequests(false)
	must.MapEmpty(t, requests) // the usual speed is told with the next message
	*now += time.Second
	*ownerNow += time.Second
	state("3,0,8,250")
	*now += 7 * time.Millisecond
	requests, _ = s.SlotRequests(true)
	must.MapEmpty(t, requests) // without relays each host reads enough itself
	requests, _ = s.SlotRequests(false)
	must.Eq(t, map[string]places.Request{"e0": {Rank: -1, Stated: &places.StatedLoad{Running: 3, Slots: 8, Slowdown: 250, AgeMS: 7}}}, requests)
	again, _ := s.SlotRequests(false)
	must.MapEmpty(t, again)
	*ownerNow += 10 * time.Millisecond
	must.MapEmpty(t, owner.HandleSlotRequests("other", 1, 1, map[string]places.Request{"e0": {Running: 1, Rank: -1}}))
	grants := owner.HandleSlotRequests("reader", 1, 1, requests)
	must.Between(t, 240, grants["other"]["e0"].Slow, 250) // a notice
	must.EqOp(t, 0, grants["other"]["e0"].Slots)
	grants = owner.HandleSlotRequests("third", 1, 1, map[string]places.Request{"e0": {Rank: 0}})
	must.Between(t, 240, grants["third"]["e0"].Slow, 250)
	for _, bad := range []string{"garbage", "3,0,8,-1", "3,0,0"} {
		state(bad)
	}
	state("3,0,8", "3,0,8") // more than one header
	must.EqOp(t, 4, s.Count.BadLoads.Load())
	must.EqOp(t, 2, s.Count.LoadsStated.Load())
	requests["e0"] = places.Request{Rank: -1, Stated: &places.StatedLoad{Running: -1, Slots: 8, Slowdown: 800}}
	owner.HandleSlotRequests("reader", 1, 2, requests) // not valid
	must.Less(t, 251, ownerBalancer.sched.Slowdown(*ownerNow, "e0"))
	s.Policy.Disabled.StatedLoad = true
	state("garbage")
	must.EqOp(t, 4, s.Count.BadLoads.Load())
}

// TestSlowNoticesAreLimited guards against an owner that sends notices without limit when endpoints often change their speed.
func TestSlowNoticesAreLimited(t *testing.T) {
	var n noticeBudget
	sent := 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		if n.take(now) {
			sent++
		}
	}
	must.Between(t, noticeBurst+9*noticeRate, sent, noticeBurst+10*noticeRate)
}
