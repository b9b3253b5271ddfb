// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package trial

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// topGoodput is the least goodput of the top tier in every case, whose own load
// always fits the engines.
const topGoodput = 0.99

func short(c Case, site, policy string) Spec {
	return Spec{Site: site, Policy: policy, Hosts: 7, Load: c.Load, ReportLag: time.Second, ArrivalDuration: 70 * time.Second, Seed: 4, Case: c}
}

func TestTopTierHoldsInEveryCase(t *testing.T) {
	for _, site := range []string{"fjordkanal", "litoral"} {
		for _, c := range Cases {
			t.Run(site+"/"+c.Name, func(t *testing.T) {
				t.Parallel()
				r := Run(short(c, site, Heathkeel))
				must.GreaterEq(t, topGoodput, r.Tiers[0].Goodput())
				must.Zero(t, r.Inversions)
				for _, x := range r.Tiers {
					must.Eq(t, x.Offered, x.Completed+x.Refused+x.TimedOut+x.Lost)
				}
			})
		}
	}
}

func TestSameSeedSameResult(t *testing.T) {
	a, b := Run(short(Cases[4], "litoral", Heathkeel)), Run(short(Cases[4], "litoral", Heathkeel))
	for k := range a.Tiers {
		must.Eq(t, a.Tiers[k].Completed, b.Tiers[k].Completed)
		must.Eq(t, a.Tiers[k].Refused, b.Tiers[k].Refused)
	}
	must.Eq(t, a.WastedPrefill(), b.WastedPrefill())
	must.Eq(t, a.Dispatches, b.Dispatches)
}
