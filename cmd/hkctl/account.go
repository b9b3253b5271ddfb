// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/heathkeel/heathkeel/outcome"
)

// account prints which part of the requests' weight each loss took, by route and size and by
// time window.
func (inv *invocation) account() error {
	if inv.Account.Window <= 0 {
		return fmt.Errorf("%w: --window %v is not positive; give a time above 0, such as 2s", errUsage, inv.Account.Window)
	}
	events, err := readLogs(inv.Account.Logs, "")
	if err != nil {
		return err
	}
	a := outcome.NewLossReport(events, inv.Account.Window)
	if inv.JSON {
		return inv.printJSON(a)
	}
	if len(a.Routes) == 0 {
		return fmt.Errorf("the logs hold no requests; run the hosts with --trace")
	}
	w := tabwriter.NewWriter(inv.out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "route\tsize\trequests\t%s\n", lossColumns())
	for _, r := range a.Routes {
		fmt.Fprintf(w, "%s\t%s\t", r.Route, r.Band)
		writeShareColumns(w, &r.Share)
	}
	fmt.Fprintf(w, "\t\t\t\nfrom second\t\trequests\t%s\n", lossColumns())
	for _, s := range a.Windows {
		fmt.Fprintf(w, "%.1f\t\t", s.From.Seconds())
		writeShareColumns(w, &s.Share)
	}
	return w.Flush()
}

// lossColumns returns the column headers of the losses, separated by tabs.
func lossColumns() string {
	names := make([]string, len(outcome.Losses))
	for i, l := range outcome.Losses {
		names[i] = string(l)
	}
	return strings.Join(names, "\t")
}

// writeShareColumns writes the number of requests and the losses of one row.
func writeShareColumns(w io.Writer, s *outcome.Share) {
	fmt.Fprint(w, s.Requests)
	for _, l := range outcome.Losses {
		if s.By[l] == 0 {
			fmt.Fprint(w, "\t-")
			continue
		}
		fmt.Fprintf(w, "\t%.3f", s.By[l])
	}
	fmt.Fprintln(w)
}
