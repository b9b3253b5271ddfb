// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// boundSite is the site file of a small deployment, and boundLine the log of one request to it.
const (
	boundSite = `
services = [{ name = "llm", speeds = [1.0], llm = { batch = 7, step_ms = 4.0, prefill_tokens_per_ms = 50.0, first_ms = 30.0, stride = 6 } }]
classes = [{ name = "draft", service = "llm", aim_ms = 300, deadline_ms = 12000.0, worth = 2.0, late_worth = 0.2, stream = { gap_aim_ms = 250.0, prompt_tokens = { mean = 628.0 } } }]
`
	boundLine = `0.1 a {"ts":1.5,"msg":"request","id":"x","workspace":"w","route":"r","service":"s","outcome":"served","status":200,"endpoint":"e","events":9,"tokens_in":600,"tokens_out":900,"tokens_guess":60,"objective_ms":300,"pause_objective_ms":250,"first_ms":90,"held_ms":300,"step_us":4000}` + "\n"
)

// writeFile writes a file into a temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestBoundTables(t *testing.T) {
	a := boundArgs{SiteFile: writeFile(t, "site.toml", boundSite), Logs: []string{writeFile(t, "a.log", boundLine)}, Window: 2 * time.Second}
	must.EqOp(t, "", a.validate())
	var out bytes.Buffer
	must.NoError(t, a.run(&out))
	must.StrContains(t, out.String(), "1 tries of 1 requests to 1 engines")
	must.StrContains(t, out.String(), "draft, if all others gave way")
	must.StrContains(t, out.String(), "1.000   1.000")
}

func TestBoundErrors(t *testing.T) {
	other := bytes.ReplaceAll([]byte(boundSite), []byte("aim_ms = 300"), []byte("aim_ms = 800"))
	cases := []struct{ name, site, log, want string }{
		{"a truncated log", boundSite, boundLine + boundLine[:80], "line 2"},
		{"a log without traces", boundSite, "0.1 a started\n", "--trace"},
		{"another site", string(other), boundLine, "give the site file of the deployment that wrote the logs"},
		{"no site file", "name = 1", boundLine, "no engines"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a := boundArgs{SiteFile: writeFile(t, "site.toml", tc.site), Logs: []string{writeFile(t, "a.log", tc.log)}, Window: 2 * time.Second}
			must.ErrorContains(t, a.run(&bytes.Buffer{}), tc.want)
		})
	}
	missing := boundArgs{SiteFile: writeFile(t, "site.toml", boundSite), Logs: []string{"none.log"}}
	must.ErrorContains(t, missing.run(&bytes.Buffer{}), "none.log")
	must.StrContains(t, (&boundArgs{Window: time.Millisecond}).validate(), "too short")
}
