// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Command hkdev runs a small heathkeel fleet in one process on loopback, for trials
// and development: fakes of the platform and of all declared endpoints, and several
// hosts.
package main

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/examples"
	"github.com/heathkeel/heathkeel/internal/dev"
	"github.com/heathkeel/heathkeel/internal/logs"
	"github.com/heathkeel/heathkeel/internal/version"
	"github.com/heathkeel/heathkeel/settings"
)

// args is the command line.
type args struct {
	Dir   string        `arg:"--dir,env:HEATHKEEL_DIR" help:"directory of declarations; empty means the embedded example"`
	Hosts int           `arg:"--hosts,env:HEATHKEEL_HOSTS" default:"3" help:"number of hosts; 0 serves the stand-ins only"`
	Step  time.Duration `arg:"--step,env:HEATHKEEL_STEP" default:"3ms" help:"time of an engine's step"`
	Check bool          `arg:"--check" help:"run one request of each tier and kind, print a line each and exit"`
	Site  bool          `arg:"--site" help:"hosts of the users' platform instead: routes, keys and event streams"`
	Logs  bool          `arg:"--logs" help:"write the hosts' logs to standard error"`
}

// Version returns the line that --version prints.
func (args) Version() string { return "hkdev " + version.Version }

// Description returns the first line of --help.
func (args) Description() string {
	return "hkdev runs a small heathkeel fleet in one process on loopback. With --check it exits 0 only if every request was answered whole."
}

// startTimeout bounds the time until all hosts are ready.
const startTimeout = 15 * time.Second

func main() {
	var a args
	p := arg.MustParse(&a)
	if a.Hosts < 0 || a.Hosts > 32 || (a.Check && a.Hosts == 0) {
		p.Fail("--hosts must be 0 to 32, and above 0 with --check")
	}
	code, err := run(a)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hkdev:", err)
	}
	os.Exit(code)
}

// run starts the fleet and runs it until SIGTERM or SIGINT, or checks it and returns the
// exit code.
func run(a args) (int, error) {
	var dir fs.FS = examples.Fjordkanal()
	if a.Dir != "" {
		dir = os.DirFS(a.Dir)
	}
	files, err := settings.ReadDir(dir)
	if err != nil {
		return 1, err
	}
	parsed := settings.Parse(files)
	if len(parsed.Faults) > 0 {
		return 1, parsed.Faults
	}
	log := logr.Discard()
	if a.Logs {
		log = logs.New("hkdev", version.Version)
	}
	if a.Site {
		return runSite(a, log)
	}
	c := &dev.Cluster{Declaration: parsed.Declaration, Hosts: a.Hosts, StepTime: a.Step, RunPlacers: true, Log: log}
	if err := c.Start(); err != nil {
		return 1, err
	}
	defer c.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := c.WaitReady(ctx); err != nil {
		return 1, err
	}
	if a.Check {
		return checkCluster(c), nil
	}
	printAddresses(c)
	signalCtx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-signalCtx.Done()
	return 0, nil
}

// printAddresses prints the addresses of the fleet and example commands.
func printAddresses(c *dev.Cluster) {
	fmt.Println("platform  http://" + c.PlatformAddress)
	for _, h := range c.StartedHosts {
		fmt.Println("host      http://" + h.Address)
	}
	fmt.Printf("endpoints %d engines, %d plain services\n\ntry:\n", len(c.Engines), len(c.Services))
	if q, ok := firstCompletion(c); ok && len(c.StartedHosts) > 0 {
		fmt.Printf("  curl -N http://%s/v1/completions -H 'Heathkeel-Workspace: %s' -H 'Heathkeel-Service: %s' -d '{\"model\":\"%s\",\"prompt\":\"Hello\",\"max_tokens\":8,\"stream\":true}'\n",
			c.StartedHosts[0].Address, q.Workspace, q.Service, q.model)
	}
	fmt.Printf("  HEATHKEEL_PLATFORM=http://%s go run ./cmd/hkctl status\n", c.PlatformAddress)
}
