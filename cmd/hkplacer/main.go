// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Command hkplacer runs next to hkrouter on each host. While it holds a zone's lease,
// it controls the placement of models on the zone's engines.
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

// args is the command line.
type args struct {
	Name     string        `arg:"--name,env:HEATHKEEL_NAME,required" help:"name of the host"`
	Router   string        `arg:"--router,env:HEATHKEEL_ROUTER,required" help:"IP number and port of the hkrouter on this host"`
	Platform string        `arg:"--platform,env:HEATHKEEL_PLATFORM,required" help:"address of the platform, such as http://10.0.0.1:7000"`
	TTL      time.Duration `arg:"--ttl,env:HEATHKEEL_TTL" default:"15s" help:"time after which a zone's lease lapses without renewal"`
	Sweep    time.Duration `arg:"--sweep,env:HEATHKEEL_SWEEP" default:"2s" help:"time between readings of a zone's engines"`
	Loads    int           `arg:"--loads,env:HEATHKEEL_LOADS" default:"2" help:"engines of a zone that load weights at once"`
}

// Version returns the line that --version prints.
func (args) Version() string { return "hkplacer " + version.Version }

// Description returns the first line of --help.
func (args) Description() string {
	return "hkplacer orders the engines of a zone while it holds the zone's lease. It stops at once on SIGTERM; another host takes the zone over."
}

// validate returns an error if an argument is invalid.
func (a *args) validate() error {
	if _, err := netip.ParseAddrPort(a.Router); err != nil {
		return errors.New("--router is not an IP address and port; write it like 10.0.0.1:8000")
	}
	if a.TTL < time.Second || a.Sweep <= 0 || a.Loads < 1 {
		return errors.New("--ttl must be at least 1s, --sweep and --loads above 0")
	}
	return nil
}

func main() {
	var a args
	p := program.Start("hkplacer", &a)
	if err := a.validate(); err != nil {
		p.ExitInvalidSettings(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	run(ctx, a, p.Log.WithValues("host", a.Name))
	p.Exit(nil)
}

// routerTimeout bounds a query to the router, and is the pause between the queries of follow.
const routerTimeout = time.Second

// maxIdleConns is the number of idle connections kept to each engine.
const maxIdleConns = 2

// run follows the router's settings and controls the placement of zones until ctx ends.
func run(ctx context.Context, a args, log logr.Logger) {
	kv := &keyval.Client{BaseURL: a.Platform}
	localRouter := router.NewLocalClient(a.Router)
	f := &revision.Follower{KV: kv, Peers: localRouter.Peer(), Log: log}
	engines := &http.Client{Transport: endpoint.NewEngineTransport(maxIdleConns)}
	m := &placer.Manager{
		Name: a.Name + "/" + once.NewIncarnation().String(), KV: kv, Weights: kv, Settings: f.Snapshot,
		TTL: a.TTL, SweepInterval: a.Sweep, Limits: placer.Limits{MaxLoads: a.Loads}, Log: log,
		Candidate: func(zone string) bool {
			askCtx, cancel := context.WithTimeout(ctx, routerTimeout)
			defer cancel()
			_, ok, err := localRouter.QueryZone(askCtx, zone)
			return err == nil && ok
		},
		Engine: func(e settings.Endpoint) endpoint.Engine {
			return &endpoint.Client{Base: "http://" + e.Address, HTTP: engines}
		},
	}
	log.Info("placing", "router", a.Router)
	go follow(ctx, f, localRouter)
	m.Run(ctx)
}

// follow polls the router and pulls each higher revision of the settings from it.
func follow(ctx context.Context, f *revision.Follower, localRouter *router.LocalClient) {
	for ctx.Err() == nil {
		askCtx, cancel := context.WithTimeout(ctx, routerTimeout)
		rev, _, err := localRouter.QueryZone(askCtx, "")
		cancel()
		if err == nil && rev > f.Revision() {
			_ = f.Pull(ctx, rev, localRouter.Address)
		}
		select {
		case <-ctx.Done():
		case <-time.After(routerTimeout):
		}
	}
}
