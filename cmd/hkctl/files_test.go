// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/site"
)

// TestCheckFiles checks the results and messages of check on the platform's files, and that
// check needs no platform.
func TestCheckFiles(t *testing.T) {
	good, err := json.MarshalIndent(site.Example(), "", "  ")
	must.NoError(t, err)
	text := string(good)
	cases := []struct {
		name, flag, text string
		code             int
		want             string
	}{
		{"a configuration", "--configuration", text, exitDone, "ok: version 1, 6 routes, 2 services, 1 workspaces"},
		{"an unknown service", "--configuration", strings.Replace(text, `"Service": "plain"`, `"Service": "plane"`, 1), exitRefused, `route "push": service "plane" is not declared; declare it`},
		{"an unknown kind", "--configuration", strings.Replace(text, "non_idempotent", "sometimes", 1), exitRefused, `route "push": Kind "sometimes" is unknown; use`},
		{"not JSON", "--configuration", strings.Replace(text, `"Version": 1,`, `"Version": 1`, 1), exitRefused, ":3: configuration is no JSON"},
		{"a string for a number", "--configuration", strings.Replace(text, `"Version": 1`, `"Version": "one"`, 1), exitRefused, ":2: configuration is no JSON of the known shape"},
		{"a settings file", "--host-file", "Node=a\nZone=z\n", exitDone, "ok: host a in z"},
		{"a settings file without a host", "--host-file", "Zone=z\n", exitRefused, `Node="": it must be given`},
		{"a file of another format", "--host-file", "Node=a\nwhat\n", exitRefused, "line 2: no '='; write key=value"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "file")
			must.NoError(t, os.WriteFile(path, []byte(tc.text), 0o600))
			var out, errs bytes.Buffer
			code := Main([]string{"check", tc.flag, path}, &out, &errs)
			must.EqOp(t, tc.code, code, must.Sprint(out.String(), errs.String()))
			must.StrContains(t, out.String()+errs.String(), tc.want)
		})
	}
	var out, errs bytes.Buffer
	must.EqOp(t, exitUsage, Main([]string{"check"}, &out, &errs))
	must.EqOp(t, exitUsage, Main([]string{"check", "--configuration", "/no/such/file"}, &out, &errs))
}
