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

// stdinName names standard input among log files.
const stdinName = "-"

// explainFromLogs tells the story of a request from the logs of one or several hosts.
func (t *tool) explainFromLogs(id string) error {
	events, err := readLogs(t.Explain.Logs, id)
	if err != nil {
		return err
	}
	if t.JSON {
		return t.printJSON(events)
	}
	for i := range events {
		fmt.Fprintf(t.out, "%.3f  %s\n", events[i].Time, events[i].Describe())
	}
	fmt.Fprintln(t.out, "cause:", outcome.Cause(events))
	return nil
}

// readLogs finds the events of a request, or of all if id is empty, in logs of several hosts, in order of time.
func readLogs(names []string, id string) ([]outcome.Event, error) {
	var events []outcome.Event
	for _, name := range names {
		found, err := readLog(name, id)
		if err != nil {
			return nil, fmt.Errorf("log %s: %w; give a file of JSON lines, or - for standard input", name, err)
		}
		events = append(events, found...)
	}
	outcome.Sort(events)
	return events, nil
}

// readLog finds the events of a request, or of all if id is empty, in one log.
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
