// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"fmt"
	"io"
	"slices"

	"github.com/heathkeel/heathkeel/internal/trial"
	"github.com/heathkeel/heathkeel/sched"
)

// spreadOf returns the spread of a value over the results.
func spreadOf(rs []*trial.Result, value func(*trial.Result) float64) spread {
	var v []float64
	for _, r := range rs {
		v = append(v, value(r))
	}
	slices.Sort(v)
	return spread{v[0], v[len(v)/2], v[len(v)-1]}
}

// firstTokenPercentile returns a function for the q-th percentile of a tier's time to first
// token, in milliseconds.
func firstTokenPercentile(rank int, q float64) func(*trial.Result) float64 {
	return func(r *trial.Result) float64 {
		return float64(r.Tiers[rank].FirstToken.ValueAtQuantile(q)) / 1000
	}
}

// goodput returns a function for the goodput of a tier.
func goodput(rank int) func(*trial.Result) float64 {
	return func(r *trial.Result) float64 { return r.Tiers[rank].Goodput() }
}

// compare runs each case under each policy and prints a table of the results.
func compare(w io.Writer, a args, cases []trial.Case) {
	policies := []string{trial.Heathkeel}
	if a.Compare {
		policies = append(policies, trial.RoundRobin, trial.LeastLoad, trial.RandomTwo)
	}
	var specs []trial.Spec
	for _, c := range cases {
		for _, p := range policies {
			for s := range a.Seeds {
				specs = append(specs, a.spec(c, p, s+1))
			}
		}
	}
	results := runAll(specs)
	fmt.Fprintf(w, "%s, %d hosts, reports %v old, %v of arrivals, %d seeds: middle (least..largest)\n\n", a.Site, a.Hosts, a.Lag, a.Length, a.Seeds)
	fmt.Fprintln(w, "| case | policy | goodput urgent | normal | patient | wasted prefill | worst due | first token p50/p95/p99 ms: urgent | normal | patient | longest ms | recovery s | inversions |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, c := range cases {
		for _, p := range policies {
			printCase(w, c, p, results[:a.Seeds])
			results = results[a.Seeds:]
		}
	}
}

// printCase prints the table row of one case and policy.
func printCase(w io.Writer, c trial.Case, policy string, rs []*trial.Result) {
	fmt.Fprintf(w, "| %s | %s | %v | %v | %v | %v | %v |", c.Name, policy, spreadOf(rs, goodput(0)), spreadOf(rs, goodput(1)), spreadOf(rs, goodput(2)),
		spreadOf(rs, (*trial.Result).WastedPrefill), spreadOf(rs, (*trial.Result).Fairness))
	for k := range 3 {
		fmt.Fprintf(w, " %.0f/%.0f/%.0f |", spreadOf(rs, firstTokenPercentile(k, 50)).median, spreadOf(rs, firstTokenPercentile(k, 95)).median, spreadOf(rs, firstTokenPercentile(k, 99)).median)
	}
	longest := spreadOf(rs, func(r *trial.Result) float64 { return float64(r.MaxLatency.Milliseconds()) })
	recovery := "-"
	if c.FaultEnd > 0 {
		s := spreadOf(rs, func(r *trial.Result) float64 { return r.Recovery(c.FaultStart, c.FaultEnd).Seconds() })
		recovery = fmt.Sprintf("%.0f", s.max)
		if s.min < 0 {
			recovery = "not seen"
		}
	}
	inversions := spreadOf(rs, func(r *trial.Result) float64 { return float64(r.Inversions) })
	fmt.Fprintf(w, " %.0f | %s | %.0f |\n", longest.max, recovery, inversions.max)
}

// rules lists the scheduling rules that ablate disables, one at a time.
var rules = []struct {
	name string
	off  func(*sched.Rules)
}{
	{"none (all on)", func(*sched.Rules) {}},
	{"fair order", func(r *sched.Rules) { r.FairQueueing = true }},
	{"reserve", func(r *sched.Rules) { r.Reserve = true }},
	{"cap on long", func(r *sched.Rules) { r.LongCap = true }},
	{"affinity", func(r *sched.Rules) { r.Affinity = true }},
	{"others' dispatches", func(r *sched.Rules) { r.PeerCorrection = true }},
	{"slow endpoints", func(r *sched.Rules) { r.Slow = true }},
	{"early refusal", func(r *sched.Rules) { r.EarlyRefusal = true }},
	{"floor", func(r *sched.Rules) { r.Floor = true }},
	{"near-equal choice", func(r *sched.Rules) { r.RandomTies = true }},
	{"cache transfer", func(r *sched.Rules) { r.Transfer = true }},
	{"own share", func(r *sched.Rules) { r.Share = true }},
	{"late binding", func(r *sched.Rules) { r.LateBinding = true }},
}

// ablate runs each case with each rule disabled in turn and prints a table of the results.
func ablate(w io.Writer, a args, cases []trial.Case) {
	var specs []trial.Spec
	for _, c := range cases {
		for _, r := range rules {
			for s := range a.Seeds {
				spec := a.spec(c, trial.Heathkeel, s+1)
				r.off(&spec.Sched.Disabled)
				specs = append(specs, spec)
			}
		}
	}
	results := runAll(specs)
	fmt.Fprintf(w, "%s, %d hosts, reports %v old, %d seeds: middle (least..largest)\n\n", a.Site, a.Hosts, a.Lag, a.Seeds)
	fmt.Fprintln(w, "| case | rule off | goodput urgent | normal | patient | wasted prefill | worst due | first token p95 ms urgent | inversions |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|")
	for _, c := range cases {
		for _, r := range rules {
			rs := results[:a.Seeds]
			results = results[a.Seeds:]
			fmt.Fprintf(w, "| %s | %s | %v | %v | %v | %v | %v | %.0f | %.0f |\n", c.Name, r.name,
				spreadOf(rs, goodput(0)), spreadOf(rs, goodput(1)), spreadOf(rs, goodput(2)), spreadOf(rs, (*trial.Result).WastedPrefill),
				spreadOf(rs, (*trial.Result).Fairness), spreadOf(rs, firstTokenPercentile(0, 95)).median,
				spreadOf(rs, func(r *trial.Result) float64 { return float64(r.Inversions) }).max)
		}
	}
}
