// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"fmt"
	"io"
	"os"

	"github.com/heathkeel/heathkeel/outcome"
)

// stdinName stands for standard input in a list of log files.
const stdinName = "-"

// explainFromLogs prints the events of a request from the logs of one or several hosts,
// and the cause of its outcome.
func (inv *invocation) explainFromLogs(id string) error {
	events, err := readLogs(inv.Explain.Logs, id)
	if err != nil {
		return err
	}
	if inv.JSON {
		return inv.printJSON(events)
	}
	for i := range events {
		fmt.Fprintf(inv.out, "%.3f  %s\n", events[i].Time, events[i].Describe())
	}
	fmt.Fprintln(inv.out, "cause:", outcome.Cause(events))
	return nil
}

// readLogs returns the events of the request id in the logs of several hosts, ordered by
// time; an empty id selects all requests.
func readLogs(names []string, id string) ([]outcome.Event, error) {
	var events []outcome.Event
	for _, name := range names {
		found, err := readLog(name, id)
		if err != nil {
			return nil, fmt.Errorf("cannot read log %s: %w; give a file of JSON lines, or - for standard input", name, err)
		}
		events = append(events, found...)
	}
	outcome.Sort(events)
	return events, nil
}

// readLog returns the events of the request id in one log; an empty id selects all requests.
func readLog(name, id string) ([]outcome.Event, error) {
	var r io.Reader = os.Stdin
	if name != stdinName {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		r = f
	}
	return outcome.Read(r, id)
}
