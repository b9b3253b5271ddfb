// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package pairs

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/heathkeel/heathkeel/platform"
)

// Pair is a day as two versions played it.
type Pair struct {
	// Site, Day and Seed name the play.
	Site, Day, Seed string
	// A and B are the reports of the two versions.
	A, B platform.DayReport
}

// DayKind is the kind of the day: its name without its number.
func (p *Pair) DayKind() string {
	return strings.TrimRight(strings.TrimRight(p.Day, "0123456789"), "-")
}

// Summary tells how far B is from A over several pairs.
type Summary struct {
	// N is the number of pairs.
	N int
	// A and B are the mean worths, and Diff the mean of B - A.
	A, B, Diff float64
	// StdError is the standard error of Diff, 0 for a single pair.
	StdError float64
	// BHigher counts the pairs in which B is higher.
	BHigher int
	// CreditDiff is the mean difference before prices.
	CreditDiff float64
}

// Summarize sums up some pairs.
func Summarize(ps []Pair) Summary {
	s := Summary{N: len(ps)}
	if s.N == 0 {
		return s
	}
	n := float64(s.N)
	for i := range ps {
		d := ps[i].B.Worth - ps[i].A.Worth
		s.A += ps[i].A.Worth / n
		s.B += ps[i].B.Worth / n
		s.Diff += d / n
		s.CreditDiff += (ps[i].B.Credit - ps[i].A.Credit) / n
		if d > 0 {
			s.BHigher++
		}
	}
	if s.N > 1 {
		sum := 0.0
		for i := range ps {
			sum += math.Pow(ps[i].B.Worth-ps[i].A.Worth-s.Diff, 2)
		}
		s.StdError = math.Sqrt(sum / (n - 1) / n)
	}
	return s
}

// Change is a figure that moved between A and B.
type Change struct {
	// Name names it; A and B are its means.
	Name string
	A, B float64
}

// moved bounds the moves that are worth a line, as a part of the worth.
const moved = 0.003

// Changes gives the prices and the worths of kinds that moved, the largest first.
func Changes(ps []Pair) []Change {
	sums := make(map[string]*Change)
	n := float64(len(ps))
	add := func(name string, a, b float64) {
		if sums[name] == nil {
			sums[name] = &Change{Name: name}
		}
		sums[name].A += a / n
		sums[name].B += b / n
	}
	for i := range ps {
		for name, v := range ps[i].A.Prices {
			add("price of "+name, v, ps[i].B.Prices[name])
		}
		for name, k := range ps[i].A.Kinds {
			add("worth of "+name, k.Worth, ps[i].B.Kinds[name].Worth)
		}
	}
	var out []Change
	for _, m := range sums {
		if math.Abs(m.B-m.A) >= moved {
			out = append(out, *m)
		}
	}
	slices.SortFunc(out, func(x, y Change) int {
		return cmp.Or(cmp.Compare(math.Abs(y.B-y.A), math.Abs(x.B-x.A)), strings.Compare(x.Name, y.Name))
	})
	return out
}

// Write prints the pairs by site and kind of day, and for each site what moved.
func Write(w io.Writer, ps []Pair) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "site\tdays\tpairs\tA\tB\tB - A\tstandard error\tB higher\tbefore prices\tbroken A, B")
	sites := groups(ps, func(p *Pair) string { return p.Site })
	for _, site := range sites {
		for _, kind := range groups(site, (*Pair).DayKind) {
			row(tw, kind[0].Site, kind[0].DayKind(), kind)
		}
		row(tw, site[0].Site, "all", site)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, site := range sites {
		fmt.Fprintf(w, "\n%s, moved:\n", site[0].Site)
		for _, m := range Changes(site) {
			fmt.Fprintf(w, "  %-48s %.4f -> %.4f\n", m.Name, m.A, m.B)
		}
	}
	return nil
}

// row prints a line of the table.
func row(w io.Writer, site, days string, ps []Pair) {
	s := Summarize(ps)
	a, b := 0, 0
	for i := range ps {
		if ps[i].A.BrokenRule != "" {
			a++
		}
		if ps[i].B.BrokenRule != "" {
			b++
		}
	}
	fmt.Fprintf(w, "%s\t%s\t%d\t%.3f\t%.3f\t%+.4f\t%.4f\t%d\t%+.4f\t%d, %d\n", site, days, s.N, s.A, s.B, s.Diff, s.StdError, s.BHigher, s.CreditDiff, a, b)
}

// groups parts pairs by a name, in the order of the names.
func groups(ps []Pair, name func(*Pair) string) [][]Pair {
	by := make(map[string][]Pair)
	var names []string
	for i := range ps {
		k := name(&ps[i])
		if by[k] == nil {
			names = append(names, k)
		}
		by[k] = append(by[k], ps[i])
	}
	slices.Sort(names)
	out := make([][]Pair, len(names))
	for i, k := range names {
		out[i] = by[k]
	}
	return out
}
