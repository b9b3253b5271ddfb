// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Command stand2 plays the cases 6 to 10 of the review. It starts the project's hosts as processes of their own, with stand-ins of the
// runners as further processes; the platform's store and the clients are in this process. Each case exits with 1 if the rule was broken,
// with 0 if it held and with 2 if it could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by the names of their folders.
var cases = map[string]func(f *fleet) (broken bool, err error){
	"6":  crashOfRunner,
	"7":  crashOfLeaver,
	"8":  graceChange,
	"9":  longLine,
	"10": plannedEnd,
}

// errUsage means that the command line names no case.
var errUsage = errors.New("usage: stand2 runner ID ADDRESS | stand2 case NUMBER FOLDER")

func main() {
	if len(os.Args) == 4 && os.Args[1] == "runner" {
		if err := serveRunner(os.Args[2], os.Args[3]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	if len(os.Args) != 4 || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit code. The record goes into the folder.
func play(name, folder string) int {
	f, err := newFleet(filepath.Join(folder, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stop()
	f.stopOnSignal()
	broken, err := cases[name](f)
	switch {
	case err != nil:
		f.note("could not run: %v", err)
		return exitNotRun
	case broken:
		f.note("BROKEN")
		return exitBroken
	}
	f.note("held")
	return exitHeld
}
