// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Command hkctl is for operators: it checks, compares and applies declarations
// and shows what is in force. Exit codes: 0 done, 1 refused or differing, 2 usage.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/heathkeel/heathkeel/internal/version"
	"github.com/heathkeel/heathkeel/keyval"
	"github.com/heathkeel/heathkeel/revision"
)

// Exit codes.
const (
	exitDone    = 0
	exitRefused = 1
	exitUsage   = 2
)

// dirArgs are the arguments of commands on a directory.
type dirArgs struct {
	Dir string `arg:"positional,required" help:"directory of declarations"`
}

// checkArgs are the arguments of check.
type checkArgs struct {
	Dir           string `arg:"positional" help:"directory of declarations"`
	HostFile      string `arg:"--host-file" help:"settings file of an hkedge"`
	Configuration string `arg:"--configuration" help:"configuration of routes, services and keys, as written to the platform"`
}

// applyArgs are the arguments of apply.
type applyArgs struct {
	Dir     string `arg:"positional,required" help:"directory of declarations"`
	Message string `arg:"-m,--message" help:"why"`
	Author  string `arg:"--author,env:HEATHKEEL_AUTHOR" help:"who; default is the user's name"`
	Change  string `arg:"--change" help:"ID of an earlier try whose answer was lost; drawn if empty"`
}

// getArgs are the arguments of get.
type getArgs struct {
	Dir string `arg:"positional" help:"directory to write the tree to; empty prints it"`
}

// explainArgs are the arguments of explain.
type explainArgs struct {
	Path string   `arg:"positional,required" help:"node, such as workspaces/a/services/s, or the ID of a request"`
	Dir  string   `arg:"--dir" help:"explain this directory instead of the tree in force"`
	Logs []string `arg:"--log,separate" help:"explain a request from this log of hkedge; repeat it for more hosts, - is standard input"`
}

// accountArgs are the arguments of account.
type accountArgs struct {
	Logs   []string      `arg:"--log,separate,required" help:"log of an hkedge that ran with --trace; repeat it for more hosts, - is standard input"`
	Window time.Duration `arg:"--window" default:"2s" help:"length of the spans of time in the second table"`
}

// noArgs are the arguments of commands without any.
type noArgs struct{}

// drainArgs are the arguments of drain.
type drainArgs struct {
	Name string `arg:"positional,required" help:"host or endpoint"`
}

// quarantineArgs are the arguments of quarantine.
type quarantineArgs struct {
	List    *noArgs   `arg:"subcommand:list" help:"show the requests under which endpoints crashed; held ones first"`
	Show    *heldArgs `arg:"subcommand:show" help:"show one request: the endpoints that crashed under it, when, and who saw it"`
	Release *heldArgs `arg:"subcommand:release" help:"let a request run again, at all hosts"`
	Host    string    `arg:"--host,env:HEATHKEEL_HOST" help:"control address of any hkedge, such as 10.1.0.25:8229"`
}

// heldArgs name a request.
type heldArgs struct {
	Fingerprint string `arg:"positional,required" help:"the 22 letters of list, or of a log line"`
}

// args are the command line.
type args struct {
	Check      *checkArgs      `arg:"subcommand:check" help:"check a directory, a settings file of hkedge or a configuration"`
	Diff       *dirArgs        `arg:"subcommand:diff" help:"compare a directory with the tree in force; exit 1 if they differ"`
	Apply      *applyArgs      `arg:"subcommand:apply" help:"put a directory in force"`
	Get        *getArgs        `arg:"subcommand:get" help:"show or write the tree in force"`
	Explain    *explainArgs    `arg:"subcommand:explain" help:"show each effective value and where it comes from"`
	Account    *accountArgs    `arg:"subcommand:account" help:"show from the logs of hosts that trace requests where and why these were not answered in time"`
	History    *noArgs         `arg:"subcommand:history" help:"show the last changes"`
	Status     *noArgs         `arg:"subcommand:status" help:"show the revision in force on each host"`
	Drain      *drainArgs      `arg:"subcommand:drain" help:"make a host or endpoint leave"`
	Quarantine *quarantineArgs `arg:"subcommand:quarantine" help:"show and release requests that are refused because endpoints crash under them"`
	Platform   string          `arg:"--platform,env:HEATHKEEL_PLATFORM" help:"address of the platform, such as http://10.0.0.1:7000"`
	JSON       bool            `arg:"--json" help:"print JSON instead of tables"`
	Timeout    time.Duration   `arg:"--timeout,env:HEATHKEEL_TIMEOUT" default:"30s" help:"longest time for the whole command"`
}

// Version gives the line that --version prints.
func (args) Version() string { return "hkctl " + version.Version }

// Description gives the first line of --help.
func (args) Description() string {
	return "hkctl checks, compares and applies declarations and shows what is in force. Exit codes: 0 done, 1 refused or differing, 2 usage."
}

// errUsage marks an error of the command line.
var errUsage = errors.New("usage")

// errDiffers means that a comparison found differences.
var errDiffers = errors.New("the directory differs from the tree in force")

// tool is one run of the command.
type tool struct {
	args
	out io.Writer
	pc  *keyval.Client
}

func main() {
	os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
}

// Main runs the command and returns its exit code.
func Main(argv []string, stdout, stderr io.Writer) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "hkctl", Out: stdout}, &a)
	if err != nil {
		fmt.Fprintln(stderr, "hkctl:", err)
		return exitUsage
	}
	switch err := p.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(stdout)
		return exitDone
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(stdout, a.Version())
		return exitDone
	case err != nil:
		fmt.Fprintln(stderr, "hkctl:", err)
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	t := &tool{args: a, out: stdout, pc: &keyval.Client{BaseURL: a.Platform}}
	err = t.run(ctx)
	switch {
	case err == nil:
		return exitDone
	case errors.Is(err, errUsage):
		fmt.Fprintln(stderr, "hkctl:", err)
		return exitUsage
	}
	fmt.Fprintln(stderr, err)
	return exitRefused
}

// run does the subcommand.
func (t *tool) run(ctx context.Context) error {
	if t.Platform == "" && t.needsPlatform() {
		return fmt.Errorf("%w: give --platform or set HEATHKEEL_PLATFORM", errUsage)
	}
	switch {
	case t.Check != nil:
		return t.check()
	case t.Diff != nil:
		return t.diff(ctx)
	case t.Apply != nil:
		return t.apply(ctx)
	case t.Get != nil:
		return t.get(ctx)
	case t.Explain != nil:
		return t.explain(ctx)
	case t.Account != nil:
		return t.account()
	case t.History != nil:
		return t.history(ctx)
	case t.Status != nil:
		return t.status(ctx)
	case t.Drain != nil:
		return t.drain(ctx)
	case t.Quarantine != nil:
		return t.quarantine(ctx)
	}
	return fmt.Errorf("%w: give a command; see hkctl --help", errUsage)
}

// needsPlatform reports whether the subcommand reads what is in force.
func (t *tool) needsPlatform() bool {
	return t.Diff != nil || t.Apply != nil || t.Get != nil || t.History != nil || t.Status != nil ||
		t.Drain != nil || (t.Explain != nil && t.Explain.Dir == "" && len(t.Explain.Logs) == 0)
}

// store is the settings in the key-value service.
func (t *tool) store() *revision.Store { return &revision.Store{KV: t.pc} }

// printJSON prints v as indented JSON.
func (t *tool) printJSON(v any) error {
	enc := json.NewEncoder(t.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
