// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Command hkedge runs one heathkeel host on a platform that provides a settings file
// for the process. It answers address requests of callers and serves their requests
// by the routes of the configuration.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/rotisserie/eris"

	"github.com/heathkeel/heathkeel/edge"
	"github.com/heathkeel/heathkeel/internal/program"
	"github.com/heathkeel/heathkeel/internal/version"
	"github.com/heathkeel/heathkeel/platform"
)

// args is the command line.
type args struct {
	Settings string `arg:"--settings,env:HEATHKEEL_SETTINGS,required" help:"path of the platform's settings file"`
	Trace    bool   `arg:"--trace,env:HEATHKEEL_TRACE" help:"log a line for every request, without a bound; for measurements, see hkctl account"`

	SharedSlots edge.SharedSlots `arg:"--shared-slots,env:HEATHKEEL_SHARED_SLOTS" default:"auto" help:"auto: in fleets with relays, one host grants an endpoint's slots to all others; off: only where requests take longer than reports between hosts"`
	StatedLoad  onSwitch         `arg:"--stated-load,env:HEATHKEEL_STATED_LOAD" placeholder:"on|off" help:"use the loads that endpoints state in their responses [default: on]"`
	ZoneSpill   edge.ZoneSpill   `arg:"--zone-spill,env:HEATHKEEL_ZONE_SPILL" default:"fixed" help:"when requests go to endpoints in other zones: fixed (they count as more loaded by a constant) or observed (by the demand that hosts report)"`
	ZonePrice   edge.ZonePrice   `arg:"--zone-price,env:HEATHKEEL_ZONE_PRICE" default:"0" help:"value of one GB between zones, in units of the value of one top-tier request, for --zone-spill observed; 0 means unknown"`
}

// onSwitch is a switch that is on unless it is set to off.
type onSwitch struct{ off bool }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *onSwitch) UnmarshalText(text []byte) error {
	switch string(text) {
	case "on":
		s.off = false
	case "off":
		s.off = true
	default:
		return fmt.Errorf("%q is neither on nor off", text)
	}
	return nil
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
	if !a.SharedSlots.Valid() {
		p.ExitInvalidSettings(eris.New("--shared-slots must be auto or off"), "value", a.SharedSlots)
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, edge.Signals...)
	h := &edge.Host{
		Boot: boot, Path: a.Settings, Trace: a.Trace, SharedSlots: a.SharedSlots, StatedLoadOff: a.StatedLoad.off,
		ZoneSpill: a.ZoneSpill, ZonePrice: float64(a.ZonePrice), Log: p.Log.WithValues("host", boot.Host),
	}
	p.Exit(h.Run(context.Background(), signals))
}
