// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Command hkbench measures scheduling decisions under load and faults: the real
// schedulers of several hosts run against simulated engines on simulated time. The
// results are deterministic: the same flags print the same tables.
package main

import (
	"fmt"
	"os"
	"regexp"
	"runtime"
	"sync"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/heathkeel/heathkeel/internal/trial"
	"github.com/heathkeel/heathkeel/internal/version"
)

// args is the command line.
type args struct {
	Bound   *boundArgs    `arg:"subcommand:bound" help:"what the requests of a played day could earn at most, beside what they earned"`
	Pairs   *pairsArgs    `arg:"subcommand:pairs" help:"the days that two versions have played, compared in pairs"`
	Site    string        `arg:"--site,env:HEATHKEEL_SITE" default:"fjordkanal" help:"fjordkanal or litoral"`
	Cases   string        `arg:"--cases" default:"." help:"regular expression of cases to run"`
	Compare bool          `arg:"--compare" help:"run the baselines beside the project's own policy"`
	Ablate  bool          `arg:"--ablate" help:"switch each rule off in turn"`
	Seeds   int           `arg:"--seeds" default:"3" help:"number of seeds"`
	Hosts   int           `arg:"--hosts" default:"7" help:"number of hosts"`
	Lag     time.Duration `arg:"--lag" default:"1s" help:"age of the engines' reports"`
	Length  time.Duration `arg:"--length" default:"90s" help:"time over which requests arrive"`
}

// Version returns the line that --version prints.
func (args) Version() string { return "hkbench " + version.Version }

// Description returns the first line of --help.
func (args) Description() string {
	return "hkbench measures the decisions under load and faults on simulated time; the same flags print the same tables."
}

func main() {
	var a args
	p := arg.MustParse(&a)
	if a.Bound != nil {
		if message := a.Bound.validate(); message != "" {
			p.Fail(message)
		}
		if err := a.Bound.run(os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "hkbench:", err)
			os.Exit(1)
		}
		return
	}
	if a.Pairs != nil {
		if err := a.Pairs.run(os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "hkbench:", err)
			os.Exit(1)
		}
		return
	}
	if a.Site != "fjordkanal" && a.Site != "litoral" {
		p.Fail("--site must be fjordkanal or litoral")
	}
	if a.Seeds < 1 || a.Hosts < 1 || a.Length < 20*time.Second || a.Lag < 0 {
		p.Fail("--seeds and --hosts must be above 0, --length at least 20s, --lag not below 0")
	}
	re, err := regexp.Compile(a.Cases)
	if err != nil {
		p.Fail("--cases: " + err.Error())
	}
	var cases []trial.Case
	for _, c := range trial.Cases {
		if re.MatchString(c.Name) {
			cases = append(cases, c)
		}
	}
	if len(cases) == 0 {
		p.Fail("--cases matches no case")
	}
	if a.Ablate {
		ablate(os.Stdout, a, cases)
		return
	}
	compare(os.Stdout, a, cases)
}

// spec returns the trial of a case with a policy and a seed.
func (a args) spec(c trial.Case, policy string, seed int) trial.Spec {
	return trial.Spec{
		Site: a.Site, Policy: policy, Hosts: a.Hosts, Load: c.Load, ReportLag: a.Lag, ArrivalDuration: a.Length,
		Seed: uint64(seed), Case: c,
	}
}

// runAll runs the trials in parallel, one per processor, and returns the results in the
// order of specs.
func runAll(specs []trial.Spec) []*trial.Result {
	out := make([]*trial.Result, len(specs))
	var wg sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range specs {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			out[i] = trial.Run(specs[i])
			<-slots
		}()
	}
	wg.Wait()
	return out
}

// spread is the minimum, median and maximum of a sample.
type spread struct{ min, median, max float64 }

// String returns the median, followed by the range unless it is narrower than 0.0005.
func (s spread) String() string {
	if s.max-s.min < 0.0005 {
		return fmt.Sprintf("%.3f", s.median)
	}
	return fmt.Sprintf("%.3f (%.3f..%.3f)", s.median, s.min, s.max)
}
