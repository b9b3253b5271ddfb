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

// run keeps the host going until a signal or an operator asks it to leave.
func run(a args, log logr.Logger) error {
	l, err := net.Listen("tcp", a.Listen)
	if err != nil {
		return err
	}
	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	pc := &keyval.Client{BaseURL: a.Platform}
	r := &router.Router{
		Self: fleet.Host{
			Name: a.Name, Incarnation: once.NewIncarnation(), Address: l.Addr().String(), Zone: a.Zone, Region: a.Region,
		},
		KV: pc, List: pc, MaxAge: a.MaxAge, HeartbeatInterval: a.Heartbeat, MinReportInterval: a.Reports, MaxReportRate: a.Rate, MaxBodyMemory: a.Memory,
		OnDrain: stop, Log: log,
	}
	srv := &http.Server{Handler: r.Handler()}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.Run(ctx)
	log.Info("listening", "address", l.Addr().String(), "incarnation", r.Self.Incarnation.String())
	select {
	case err := <-failed:
		return err
	case <-term.Done():
	}
	dctx, dcancel := context.WithTimeout(ctx, a.Stop)
	defer dcancel()
	if err := r.Drain(dctx); err != nil {
		return errors.New("requests still ran when --stop ended; raise it")
	}
	return srv.Shutdown(dctx)
}
