// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package pairs

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/platform"
)

// pair makes a pair of worths.
func pair(site, day string, a, b float64) Pair {
	report := func(worth float64) platform.DayReport {
		return platform.DayReport{
			Worth: worth, Credit: worth + 0.1, Prices: map[string]float64{"hosts": 0.1, "calls": worth / 100},
			Kinds: map[string]platform.KindReport{"draft": {Requests: 10, Worth: worth}},
		}
	}
	return Pair{Site: site, Day: day, Seed: "1", A: report(a), B: report(b)}
}

func TestSummarize(t *testing.T) {
	cases := []struct {
		name  string
		pairs []Pair
		want  Summary
	}{
		{"none", nil, Summary{}},
		{"one", []Pair{pair("s", "d", 0.5, 0.75)}, Summary{N: 1, A: 0.5, B: 0.75, Diff: 0.25, CreditDiff: 0.25, BHigher: 1}},
		{"alike", []Pair{pair("s", "d", 0.5, 0.5), pair("s", "d", 0.25, 0.25)}, Summary{N: 2, A: 0.375, B: 0.375}},
		{"apart", []Pair{pair("s", "d", 0.5, 0.75), pair("s", "d", 0.5, 0.25)}, Summary{N: 2, A: 0.5, B: 0.5, StdError: 0.25, BHigher: 1}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := Summarize(tc.pairs)
			for _, f := range []struct{ want, got float64 }{
				{tc.want.A, s.A}, {tc.want.B, s.B}, {tc.want.Diff, s.Diff}, {tc.want.StdError, s.StdError}, {tc.want.CreditDiff, s.CreditDiff},
			} {
				must.InDelta(t, f.want, f.got, 1e-9)
			}
			must.EqOp(t, tc.want.N, s.N)
			must.EqOp(t, tc.want.BHigher, s.BHigher)
		})
	}
}

func TestMoves(t *testing.T) {
	got := Changes([]Pair{pair("s", "d", 0.5, 0.75)})
	must.Eq(t, []Change{{"worth of draft", 0.5, 0.75}}, got) // a price that moved by less than it is worth telling is left out
}

func TestWrite(t *testing.T) {
	var b strings.Builder
	must.NoError(t, Write(&b, []Pair{pair("b", "scale-1", 0.5, 0.75), pair("a", "trouble-1", 0.5, 0.5), pair("b", "scale-2", 0.5, 0.25), pair("b", "quiet-1", 0.9, 0.9)}))
	lines := strings.Split(b.String(), "\n")
	for i, want := range [][]string{{"site"}, {"a", "trouble", "1"}, {"a", "all", "1"}, {"b", "quiet", "1"}, {"b", "scale", "2", "0.500", "0.500", "+0.0000", "0.2500", "1"}, {"b", "all", "3"}} {
		must.Eq(t, want, strings.Fields(lines[i])[:len(want)])
	}
}
