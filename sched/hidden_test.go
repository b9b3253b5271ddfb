// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/settings"
)

// TestSilentPeers checks the assumed load of silent hosts and its update by the host's own first
// tokens.
func TestSilentPeers(t *testing.T) {
	const own, engines = 4, 8
	onTime, late := 100*time.Millisecond, 500*time.Millisecond
	cases := []struct {
		name   string
		silent int
		delays []time.Duration // first tokens since then
		low    float64         // requests at each engine
		high   float64
	}{
		{"no host is silent", 0, nil, 0, 0},
		{"one of six is silent", 1, nil, 0.5, 0.5},
		{"all others are silent", 5, nil, 2.5, 2.5},
		{"all others are silent, first tokens are late", 5, []time.Duration{late, late, late, late, late, late}, 2.4, 2.5},
		{"all others are silent, first tokens are on time", 5, []time.Duration{onTime, onTime, onTime, onTime, onTime, onTime, onTime, onTime}, 0, 1.2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newFleet(6, engines, 30*time.Millisecond, Rules{}).hosts[0]
			for _, e := range s.endpoints {
				s.ApplyReport(0, e.Name, Report{Slots: 7, Model: "m", AcceptsPrompts: true})
			}
			r := &Request{Settings: &settings.Effective{}, Model: "m", Objective: Objective{FirstToken: time.Second}, predicted: onTime}
			r.pool = s.poolOf(r)
			for i := range own {
				s.endpoints[i].own = 1
			}
			s.SetSilentPeers(tc.silent)
			for _, d := range tc.delays {
				s.observeSilentPeers(d, r)
			}
			must.Between(t, tc.low, s.silentLoad(r.pool), tc.high)
			s.SetSilentPeers(0)
			must.EqOp(t, 0, s.silentLoad(r.pool))
		})
	}
}
