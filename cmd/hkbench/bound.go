// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/heathkeel/heathkeel/internal/bound"
	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/platform"
)

// boundArgs are the arguments of the bound subcommand.
type boundArgs struct {
	SiteFile string        `arg:"--site-file,required" help:"site file of the deployment, for its engines and what requests are worth"`
	Logs     []string      `arg:"--log,separate,required" help:"log of an hkedge that ran with --trace; repeat it for more hosts, - is standard input"`
	Window   time.Duration `arg:"--window" default:"2s" help:"length of the spans of time in the second table"`
}

// validate returns a message about an invalid argument, or an empty string if all are valid.
func (a *boundArgs) validate() string {
	if a.Window < 500*time.Millisecond {
		return fmt.Sprintf("--window %v is too short; give 500ms or more", a.Window)
	}
	return ""
}

// run prints the bounds for the day that the logs record.
func (a *boundArgs) run(w io.Writer) error {
	site, err := readSite(a.SiteFile)
	if err != nil {
		return err
	}
	var events []outcome.Event
	for _, name := range a.Logs {
		found, err := readCompleteLog(name)
		if err != nil {
			return err
		}
		events = append(events, found...)
	}
	d, counts, err := bound.NewDay(site, events)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%d tries of %d requests to %d engines; left out: %d over their amount, %d whose caller left\n\n",
		counts.Tries, counts.Requests, len(d.Engines), counts.OverQuota, counts.CallerLeft)
	return a.printTables(w, d)
}

// printTables prints the earned part of the requests' worth and its two upper bounds, with
// the callers' guesses of the lengths and with the lengths known: for all requests, by route
// and by time window of their arrival. The bounds of a route or window assume that all other
// requests give way.
func (a *boundArgs) printTables(w io.Writer, d *bound.Day) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	guessedDay := d.WithGuessedLengths()
	printRow := func(name string, include func(*bound.Request) bool) {
		result := d.UpperBound(include)
		if result.Worth > 0 {
			fmt.Fprintf(tw, "%s\t%.0f\t%.3f\t%.3f\t%.3f\n", name, result.Worth, result.Earned/result.Worth, guessedDay.UpperBound(include).Bound/result.Worth, result.Bound/result.Worth)
		}
	}
	fmt.Fprintln(tw, "requests\tworth\tearned\tbound, lengths as guessed\tbound, lengths known")
	printRow("all", nil)
	kinds := make(map[string]bool)
	windows := make(map[int]bool)
	for i := range d.Requests {
		kinds[d.Requests[i].Kind] = true
		windows[int(d.Requests[i].Arrived/a.Window)] = true
	}
	for _, k := range slices.Sorted(maps.Keys(kinds)) {
		printRow(k+", if all others gave way", func(r *bound.Request) bool { return r.Kind == k })
	}
	for _, n := range slices.Sorted(maps.Keys(windows)) {
		printRow(fmt.Sprintf("from %v, if all others gave way", time.Duration(n)*a.Window), func(r *bound.Request) bool { return int(r.Arrived/a.Window) == n })
	}
	return tw.Flush()
}

// readSite reads a site file and converts it to the bound's model of a site.
func readSite(path string) (*bound.Site, error) {
	f, err := platform.ReadSite(path)
	if err != nil {
		return nil, err
	}
	if len(f.Engines) > 1 {
		return nil, fmt.Errorf("site file %s has %d services with engines; the bound is defined for one only", path, len(f.Engines))
	}
	e := f.Engines[0]
	site := &bound.Site{
		Model: bound.Model{
			Slots: e.Slots, Step: e.Step, StepPerRequest: e.StepPerRequest, StepPerContext: e.StepPerContext,
			PrefillPerMS: e.PrefillPerMS, PrefillPairs: e.PrefillPairs, FirstTokenDelay: e.FirstTokenDelay,
		},
		Slowness: e.Slowness, EventTokens: e.EventTokens,
	}
	for _, k := range f.Requests {
		if k.Service == e.Service {
			site.Kinds = append(site.Kinds, bound.RequestKind{
				Name: k.Name, Objective: k.Objective, PauseObjective: k.PauseObjective, Deadline: k.Deadline, Worth: k.Worth, LateWorth: k.LateWorth, MeanPromptTokens: k.PromptTokens,
			})
		}
	}
	return site, nil
}

// readCompleteLog reads the events of a log and returns an error if a line is truncated.
func readCompleteLog(name string) ([]outcome.Event, error) {
	r := io.Reader(os.Stdin)
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("cannot open log: %w; give a log of hkedge, or - for standard input", err)
		}
		defer f.Close()
		r = f
	}
	events, err := outcome.ReadStrict(r)
	if err != nil {
		return nil, fmt.Errorf("cannot read log %s: %w", name, err)
	}
	return events, nil
}
