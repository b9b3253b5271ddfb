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

// boundArgs are the arguments of bound.
type boundArgs struct {
	SiteFile string        `arg:"--site-file,required" help:"site file of the deployment, for its engines and what requests are worth"`
	Logs     []string      `arg:"--log,separate,required" help:"log of an hkedge that ran with --trace; repeat it for more hosts, - is standard input"`
	Window   time.Duration `arg:"--window" default:"2s" help:"length of the spans of time in the second table"`
}

// check returns what is wrong with the arguments, or an empty text.
func (a *boundArgs) check() string {
	if a.Window < 500*time.Millisecond {
		return fmt.Sprintf("--window %v is too short; give 500ms or more", a.Window)
	}
	return ""
}

// run prints the tables of one day.
func (a *boundArgs) run(w io.Writer) error {
	site, err := readSite(a.SiteFile)
	if err != nil {
		return err
	}
	var events []outcome.Event
	for _, name := range a.Logs {
		found, err := readWhole(name)
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
	return a.tables(w, d)
}

// tables prints what each kind of request and each span of time earned and could earn.
func (a *boundArgs) tables(w io.Writer, d *bound.Day) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	guessed := d.WithGuessedLengths()
	row := func(name string, counts func(*bound.Request) bool) {
		known := d.UpperBound(counts)
		if known.Worth > 0 {
			fmt.Fprintf(tw, "%s\t%.0f\t%.3f\t%.3f\t%.3f\n", name, known.Worth, known.Earned/known.Worth, guessed.UpperBound(counts).Bound/known.Worth, known.Bound/known.Worth)
		}
	}
	fmt.Fprintln(tw, "requests\tworth\tearned\tbound, lengths as guessed\tbound, lengths known")
	row("all", nil)
	kinds := make(map[string]bool)
	windows := make(map[int]bool)
	for i := range d.Requests {
		kinds[d.Requests[i].Kind] = true
		windows[int(d.Requests[i].Arrived/a.Window)] = true
	}
	for _, k := range slices.Sorted(maps.Keys(kinds)) {
		row(k+", if all others gave way", func(r *bound.Request) bool { return r.Kind == k })
	}
	for _, n := range slices.Sorted(maps.Keys(windows)) {
		row(fmt.Sprintf("from %v, if all others gave way", time.Duration(n)*a.Window), func(r *bound.Request) bool { return int(r.Arrived/a.Window) == n })
	}
	return tw.Flush()
}

// readSite reads a site file of the users in the words of the bound.
func readSite(path string) (*bound.Site, error) {
	f, err := platform.ReadSite(path)
	if err != nil {
		return nil, err
	}
	if len(f.Engines) > 1 {
		return nil, fmt.Errorf("site file %s has %d sets of engines; the bound knows one", path, len(f.Engines))
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

// readWhole reads the events of a log, and refuses one with a line that is cut.
func readWhole(name string) ([]outcome.Event, error) {
	r := io.Reader(os.Stdin)
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("%w; give a log of hkedge, or - for standard input", err)
		}
		defer f.Close()
		r = f
	}
	events, err := outcome.ReadStrict(r)
	if err != nil {
		return nil, fmt.Errorf("log %s: %w", name, err)
	}
	return events, nil
}
