// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Command stand holds the stand-ins of the review's cases and the scripts that play them. "stand runner" is a runner of the platform;
// "stand NAME RECORD" plays a case and writes what was sent, answered and run to RECORD. It exits with 1 if the rule was broken, with 0
// if it held, and with 2 if the case could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/heathkeel/heathkeel/internal/site"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"reborn":  caseReborn,
	"freeze":  caseFreeze,
	"comment": caseComment,
	"late":    caseLate,
	"leave":   caseLeave,
	"slow":    caseSlow,
	"again":   caseAgain,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		os.Exit(runRunner(os.Args[2:]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns the exit code.
func play(name, path string, trouble bool) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	rec := &record{file: file, start: time.Now()}
	rec.note("case", name, "with the disruption:", fmt.Sprint(trouble))
	f, err := newFleet(rec, configuration())
	if err != nil {
		rec.note("could not run:", err.Error())
		return 2
	}
	defer f.close()
	broken, err := cases[name](f, trouble)
	switch {
	case err != nil:
		rec.note("could not run:", err.Error())
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	case broken:
		rec.note("the rule was broken")
		return 1
	}
	rec.note("the rule held")
	return 0
}

// configuration returns the configuration of the cases: a route of each kind, with the figures of litoral-cobro.
func configuration() site.Config {
	c := site.Config{
		Version: 1,
		Routes: []site.Route{
			{Name: "letter", Host: hostName, PathPrefix: "/letter/", Kind: "non_idempotent", Service: documents, TimeoutMs: 12000, SloMs: 300, Attempts: 1},
			{Name: "ask", Host: hostName, PathPrefix: "/ask/", Kind: "idempotent", Service: plain, TimeoutMs: 1500, SloMs: 300, Attempts: 2},
			{Name: "draft", Host: hostName, PathPrefix: "/stream-draft/", Kind: "streaming", Service: engines, TimeoutMs: 12000, SloMs: 1200, GapSloMs: 600, Attempts: 1},
			{Name: "review", Host: hostName, PathPrefix: "/stream-review/", Kind: "streaming", Service: engines, TimeoutMs: 12000, SloMs: 1200, GapSloMs: 600, Attempts: 2, Resumable: true},
		},
		Services: []site.Service{
			{Name: plain, HealthPath: "/healthz", Protocol: "h1", MaxConns: 100},
			{Name: documents, HealthPath: "/healthz", Protocol: "h1", MaxConns: 100},
			{Name: engines, HealthPath: "/healthz", Protocol: "h1", MaxConns: 360, Engine: &site.Engine{Slots: 8, KvCapacity: 356902, Stride: 7}},
		},
		Tenants: []site.Tenant{{Name: workspace, Keys: []string{key}, Unit: "token", PlainTokens: 200, PerS: 223493, Burst: 223493}},
	}
	c.Limits.HeaderBytes, c.Limits.BodyBytes, c.Limits.HeaderMs, c.Limits.IdleMs = 16384, 4194304, 3000, 15000
	return c
}
