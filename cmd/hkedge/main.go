// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Command hkedge runs one heathkeel host on a platform that provides a settings file
// for the process. It answers address requests of callers and serves their requests
// by the routes of the configuration.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/heathkeel/heathkeel/edge"
	"github.com/heathkeel/heathkeel/internal/program"
	"github.com/heathkeel/heathkeel/internal/version"
	"github.com/heathkeel/heathkeel/platform"
)

// args is the command line.
type args struct {
	Settings  string         `arg:"--settings,env:HEATHKEEL_SETTINGS,required" help:"path of the platform's settings file"`
	ZoneSpill edge.ZoneSpill `arg:"--zone-spill,env:HEATHKEEL_ZONE_SPILL" default:"fixed" help:"when requests go to endpoints in other zones: fixed (they count as more loaded by a constant) or observed (by the demand that hosts report)"`
	ZonePrice edge.ZonePrice `arg:"--zone-price,env:HEATHKEEL_ZONE_PRICE" default:"0" help:"value of one GB between zones, in units of the value of one top-tier request, for --zone-spill observed; 0 means unknown"`
	Trace     bool           `arg:"--trace,env:HEATHKEEL_TRACE" help:"log a line for every request, without a bound; for measurements, see hkctl account"`
}

// Version returns the line that --version prints.
func (args) Version() string { return "hkedge " + version.Version }

// Description returns the first line of --help.
func (args) Description() string {
	return "hkedge is one host of heathkeel. SIGTERM stops it within its grace; SIGHUP reads the settings file again."
}

func main() {
	var a args
	p := program.Start("hkedge", &a)
	boot, err := platform.ReadBoot(a.Settings)
	if err != nil {
		p.ExitInvalidSettings(err, "settings", a.Settings)
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, edge.Signals...)
	h := &edge.Host{Boot: boot, Path: a.Settings, Trace: a.Trace, ZoneSpill: a.ZoneSpill, ZonePrice: float64(a.ZonePrice), Log: p.Log.WithValues("host", boot.Host)}
	p.Exit(h.Run(context.Background(), signals))
}
