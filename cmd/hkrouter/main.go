// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Command hkrouter runs one heathkeel host: it answers address requests of callers and
// serves their requests.
package main

import (
	"errors"
	"net/netip"
	"time"

	"github.com/heathkeel/heathkeel/internal/program"
	"github.com/heathkeel/heathkeel/internal/version"
)

// args is the command line.
type args struct {
	Name      string        `arg:"--name,env:HEATHKEEL_NAME,required" help:"name of the host, stable over restarts"`
	Listen    string        `arg:"--listen,env:HEATHKEEL_LISTEN,required" help:"IP number and port for callers and other hosts"`
	Zone      string        `arg:"--zone,env:HEATHKEEL_ZONE,required" help:"availability zone"`
	Region    string        `arg:"--region,env:HEATHKEEL_REGION" help:"region of the zone; hosts answer with hosts of their region"`
	Platform  string        `arg:"--platform,env:HEATHKEEL_PLATFORM,required" help:"address of the platform, such as http://10.0.0.1:7000"`
	MaxAge    time.Duration `arg:"--max-age,env:HEATHKEEL_MAX_AGE" default:"5s" help:"time for which callers keep an address answer"`
	Heartbeat time.Duration `arg:"--heartbeat,env:HEATHKEEL_HEARTBEAT" default:"500ms" help:"time between heartbeats"`
	Reports   time.Duration `arg:"--reports,env:HEATHKEEL_REPORTS" default:"500ms" help:"least time between reads of an endpoint's report"`
	Rate      float64       `arg:"--report-rate,env:HEATHKEEL_REPORT_RATE" default:"10" help:"most reports read in a second from all endpoints together"`
	Memory    int64         `arg:"--memory,env:HEATHKEEL_MEMORY" default:"67108864" help:"bytes of request bodies held at once"`
	Stop      time.Duration `arg:"--stop,env:HEATHKEEL_STOP" default:"30m" help:"longest time that a drain may take"`
}

// Version returns the line that --version prints.
func (args) Version() string { return "hkrouter " + version.Version }

// Description returns the first line of --help.
func (args) Description() string {
	return "hkrouter is one host of heathkeel. SIGTERM drains it: exit 0 once all requests ended."
}

// validate returns an error if an argument is invalid.
func (a *args) validate() error {
	if _, err := netip.ParseAddrPort(a.Listen); err != nil {
		return errors.New("--listen is not an IP address and port; write it like 10.0.0.1:8000")
	}
	if a.MaxAge <= 0 || a.Heartbeat <= 0 || a.Reports <= 0 || a.Rate <= 0 || a.Memory <= 0 || a.Stop <= 0 {
		return errors.New("--max-age, --heartbeat, --reports, --report-rate, --memory and --stop must be above 0")
	}
	return nil
}

func main() {
	var a args
	p := program.Start("hkrouter", &a)
	if err := a.validate(); err != nil {
		p.ExitInvalidSettings(err)
	}
	p.Exit(run(a, p.Log.WithValues("host", a.Name)))
}
