// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Command hkctl is the operators' tool: it checks, compares and applies declarations
// and shows the state of a fleet. Exit codes: 0 success, 1 the operation was refused
// or the comparison found differences, 2 usage error.
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

// dirArgs are the arguments of commands that take a directory.
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

// noArgs is the empty argument list of a command without arguments.
type noArgs struct{}

// drainArgs are the arguments of drain.
type drainArgs struct {
	Name string `arg:"positional,required" help:"host or endpoint"`
}

// quarantineArgs are the arguments of quarantine.
type quarantineArgs struct {
	List    *noArgs          `arg:"subcommand:list" help:"show the requests under which endpoints crashed; held ones first"`
	Show    *fingerprintArgs `arg:"subcommand:show" help:"show one request: the endpoints that crashed under it, when, and who saw it"`
	Release *fingerprintArgs `arg:"subcommand:release" help:"let a request run again, at all hosts"`
	Host    string           `arg:"--host,env:HEATHKEEL_HOST" help:"control address of any hkedge, such as 10.1.0.25:8229"`
}

// fingerprintArgs identify a request by its fingerprint.
type fingerprintArgs struct {
	Fingerprint string `arg:"positional,required" help:"the 22 letters of list, or of a log line"`
}

// args is the command line.
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

// Version returns the line that --version prints.
func (args) Version() string { return "hkctl " + version.Version }

// Description returns the first line of --help.
func (args) Description() string {
	return "hkctl checks, compares and applies declarations and shows what is in force. Exit codes: 0 done, 1 refused or differing, 2 usage."
}

// errUsage marks errors of the command line, which end with exitUsage.
var errUsage = errors.New("usage")

// errDiffers reports that the compared directory and the tree in force differ.
var errDiffers = errors.New("the directory differs from the tree in force")

// invocation is one run of hkctl: its parsed arguments, output and platform client.
type invocation struct {
	args
	out io.Writer
	kv  *keyval.Client
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
	inv := &invocation{args: a, out: stdout, kv: &keyval.Client{BaseURL: a.Platform}}
	err = inv.run(ctx)
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

// run executes the subcommand.
func (inv *invocation) run(ctx context.Context) error {
	if inv.Platform == "" && inv.needsPlatform() {
		return fmt.Errorf("%w: the command needs the platform's address; give --platform or set HEATHKEEL_PLATFORM", errUsage)
	}
	switch {
	case inv.Check != nil:
		return inv.check()
	case inv.Diff != nil:
		return inv.diff(ctx)
	case inv.Apply != nil:
		return inv.apply(ctx)
	case inv.Get != nil:
		return inv.get(ctx)
	case inv.Explain != nil:
		return inv.explain(ctx)
	case inv.Account != nil:
		return inv.account()
	case inv.History != nil:
		return inv.history(ctx)
	case inv.Status != nil:
		return inv.status(ctx)
	case inv.Drain != nil:
		return inv.drain(ctx)
	case inv.Quarantine != nil:
		return inv.quarantine(ctx)
	}
	return fmt.Errorf("%w: no command given; see hkctl --help", errUsage)
}

// needsPlatform reports whether the subcommand reads from the platform.
func (inv *invocation) needsPlatform() bool {
	return inv.Diff != nil || inv.Apply != nil || inv.Get != nil || inv.History != nil || inv.Status != nil ||
		inv.Drain != nil || (inv.Explain != nil && inv.Explain.Dir == "" && len(inv.Explain.Logs) == 0)
}

// store returns the settings store in the platform's key-value service.
func (inv *invocation) store() *revision.Store { return &revision.Store{KV: inv.kv} }

// printJSON prints v as indented JSON.
func (inv *invocation) printJSON(v any) error {
	enc := json.NewEncoder(inv.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
