// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/fleet"
	"github.com/heathkeel/heathkeel/keyval"
	"github.com/heathkeel/heathkeel/once"
	"github.com/heathkeel/heathkeel/router"
)

// run serves as a host until a signal or an operator drains it.
func run(a args, log logr.Logger) error {
	listener, err := net.Listen("tcp", a.Listen)
	if err != nil {
		return err
	}
	signalCtx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	kv := &keyval.Client{BaseURL: a.Platform}
	r := &router.Router{
		Self: fleet.Host{
			Name: a.Name, Incarnation: once.NewIncarnation(), Address: listener.Addr().String(), Zone: a.Zone, Region: a.Region,
		},
		KV: kv, List: kv, MaxAge: a.MaxAge, HeartbeatInterval: a.Heartbeat, MinReportInterval: a.Reports, MaxReportRate: a.Rate, MaxBodyMemory: a.Memory,
		OnDrain: stop, Log: log,
	}
	srv := &http.Server{Handler: r.Handler()}
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.Run(ctx)
	log.Info("listening", "address", listener.Addr().String(), "incarnation", r.Self.Incarnation.String())
	select {
	case err := <-serveErr:
		return err
	case <-signalCtx.Done():
	}
	drainCtx, drainCancel := context.WithTimeout(ctx, a.Stop)
	defer drainCancel()
	if err := r.Drain(drainCtx); err != nil {
		return errors.New("drain timed out: requests were still running after --stop; raise --stop")
	}
	return srv.Shutdown(drainCtx)
}
