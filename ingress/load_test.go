// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"testing"
	"time"

	"github.com/heathkeel/heathkeel/places"
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
		length: 15 * time.Second, disabled: disabled, peerAge: 450 * time.Millisecond, claimedAge: 180 * time.Millisecond,
	}
}

func report(t *testing.T, m *loadSim, r *simResult) {
	per := m.length.Seconds() * float64(m.hosts)
	t.Logf("hosts %d endpoints %d rate %.0f off %v: slow>0.5s %.3f all slow %.3f served %.4f late %.4f p50 %v p95 %v p99 %v msgs %.1f bytes %.0f stated %.0f", m.hosts, m.endpoints, m.rate, m.disabled, r.slowShare(), float64(r.anySlow)/float64(r.sent), r.servedShare(), float64(r.late)/float64(r.offered), r.quantile(0.5).Milliseconds(), r.quantile(0.95).Milliseconds(), r.quantile(0.99).Milliseconds(),
		float64(r.messages)/per, float64(r.bytes)/per, float64(r.statedBytes)/per)
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

func TestFalse(t *testing.T) {
	for _, hosts := range []int{6, 64} {
		for _, rate := range []float64{500, 600} {
			run := func(name string, f func(m *loadSim) places.StatedLoad) {
				sum := 0.0
				for seed := uint64(1); seed <= 4; seed++ {
					m := thirdSlow(hosts, f == nil)
					m.rate, m.slowShare, m.length = rate, 0, 12*time.Second
					if f != nil {
						m.stateFalsely(3*time.Second, f)
					}
					sum += m.run(seed).servedShare() / 4
				}
				t.Logf("hosts %d rate %.0f %s %.4f", hosts, rate, name, sum)
			}
			run("off", nil)
			for k, f := range falseStatements {
				run(k, f)
			}
		}
	}
}

func TestTrial(t *testing.T) {
	for _, hosts := range []int{6, 64} {
		for seed := uint64(1); seed <= 3; seed++ {
			m := thirdSlow(hosts, false)
			report(t, m, m.run(seed))
		}
	}
	for _, rate := range []float64{700, 1100} {
		m := sharedMachines(rate, false)
		report(t, m, m.run(1))
	}
}
