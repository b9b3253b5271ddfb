// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Command hkplacer stands beside hkrouter on each host. It holds the placement of
// a zone while it has the zone's lease, and orders the zone's engines.
package main

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/internal/program"
	"github.com/heathkeel/heathkeel/internal/version"
	"github.com/heathkeel/heathkeel/keyval"
	"github.com/heathkeel/heathkeel/once"
	"github.com/heathkeel/heathkeel/placer"
	"github.com/heathkeel/heathkeel/revision"
	"github.com/heathkeel/heathkeel/router"
	"github.com/heathkeel/heathkeel/settings"
)

// args are the process settings.
type args struct {
	Name     string        `arg:"--name,env:HEATHKEEL_NAME,required" help:"name of the host"`
	Router   string        `arg:"--router,env:HEATHKEEL_ROUTER,required" help:"IP number and port of the hkrouter on this host"`
	Platform string        `arg:"--platform,env:HEATHKEEL_PLATFORM,required" help:"address of the platform, such as http://10.0.0.1:7000"`
	TTL      time.Duration `arg:"--ttl,env:HEATHKEEL_TTL" default:"15s" help:"time after which a zone's lease lapses without renewal"`
	Sweep    time.Duration `arg:"--sweep,env:HEATHKEEL_SWEEP" default:"2s" help:"time between readings of a zone's engines"`
	Loads    int           `arg:"--loads,env:HEATHKEEL_LOADS" default:"2" help:"engines of a zone that load weights at once"`
}

// Version gives the line that --version prints.
func (args) Version() string { return "hkplacer " + version.Version }

// Description gives the first line of --help.
func (args) Description() string {
	return "hkplacer orders the engines of a zone while it holds the zone's lease. It stops at once on SIGTERM; another host takes the zone over."
}

// check finds what is wrong with the settings.
func (a *args) check() error {
	if _, err := netip.ParseAddrPort(a.Router); err != nil {
		return errors.New("--router is no IP number and port; write it like 10.0.0.1:8000")
	}
	if a.TTL < time.Second || a.Sweep <= 0 || a.Loads < 1 {
		return errors.New("--ttl must be at least 1s, --sweep and --loads above 0")
	}
	return nil
}

func main() {
	var a args
	p := program.Start("hkplacer", &a)
	if err := a.check(); err != nil {
		p.ExitInvalidSettings(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	run(ctx, a, p.Log.WithValues("host", a.Name))
	p.Exit(nil)
}

// askTimeout bounds a question to the router.
const askTimeout = time.Second

// run follows the router's settings and places until ctx ends.
func run(ctx context.Context, a args, log logr.Logger) {
	pc := &keyval.Client{Base: a.Platform}
	local := router.NewLocal(a.Router)
	f := &revision.Follower{KV: pc, Peers: local.Peer(), Log: log}
	engines := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	m := &placer.Manager{
		Name: a.Name + "/" + once.NewIncarnation().String(), KV: pc, Weights: pc, Settings: f.Snapshot,
		TTL: a.TTL, Sweep: a.Sweep, Limits: placer.Limits{Loads: a.Loads}, Log: log,
		Candidate: func(zone string) bool {
			actx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			_, ok, err := local.Ask(actx, zone)
			return err == nil && ok
		},
		Engine: func(e settings.Endpoint) endpoint.Engine {
			return &endpoint.Client{Base: "http://" + e.Address, HTTP: engines}
		},
	}
	log.Info("placing", "router", a.Router)
	go follow(ctx, f, local)
	m.Run(ctx)
}

// follow takes each higher revision from the router.
func follow(ctx context.Context, f *revision.Follower, local *router.Local) {
	for ctx.Err() == nil {
		actx, cancel := context.WithTimeout(ctx, askTimeout)
		rev, _, err := local.Ask(actx, "")
		cancel()
		if err == nil && rev > f.Revision() {
			_ = f.Pull(ctx, rev, local.Address)
		}
		select {
		case <-ctx.Done():
		case <-time.After(askTimeout):
		}
	}
}
