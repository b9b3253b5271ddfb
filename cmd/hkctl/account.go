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

// account shows where requests lost what they are worth.
func (t *tool) account() error {
	if t.Account.Window <= 0 {
		return fmt.Errorf("%w: --window %v; give a time above 0, such as 2s", errUsage, t.Account.Window)
	}
	events, err := readLogs(t.Account.Logs, "")
	if err != nil {
		return err
	}
	a := outcome.NewLossReport(events, t.Account.Window)
	if t.JSON {
		return t.printJSON(a)
	}
	if len(a.Routes) == 0 {
		return fmt.Errorf("no requests in the logs; run the hosts with --trace")
	}
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "route\tsize\trequests\t%s\n", heads())
	for _, r := range a.Routes {
		fmt.Fprintf(w, "%s\t%s\t", r.Route, r.Band)
		writeShare(w, &r.Share)
	}
	fmt.Fprintf(w, "\t\t\t\nfrom second\t\trequests\t%s\n", heads())
	for _, s := range a.Windows {
		fmt.Fprintf(w, "%.1f\t\t", s.From.Seconds())
		writeShare(w, &s.Share)
	}
	return w.Flush()
}

// heads are the columns' names.
func heads() string {
	names := make([]string, len(outcome.Losses))
	for i, l := range outcome.Losses {
		names[i] = string(l)
	}
	return strings.Join(names, "\t")
}

// writeShare writes the figures of a row.
func writeShare(w io.Writer, s *outcome.Share) {
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
