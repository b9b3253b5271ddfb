// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// TestAccount checks the tables and errors of account on the logs of two hosts.
func TestAccount(t *testing.T) {
	dir := t.TempDir()
	logs := []string{
		`{"ts":1,"msg":"request","host":"a","id":"1","route":"r","outcome":"served","tokens_in":10,"objective_ms":100,"first_ms":50,"left_ms":900}
{"ts":2,"msg":"request","host":"a","id":"2","route":"r","outcome":"send lost","tokens_in":10}`,
		`{"ts":4.5,"msg":"request","host":"b","id":"2","route":"r","outcome":"served","tokens_in":10,"objective_ms":100,"first_ms":150,"left_ms":900}`,
	}
	argv := []string{"account"}
	for i, text := range logs {
		name := filepath.Join(dir, string(rune('a'+i)))
		must.NoError(t, os.WriteFile(name, []byte(text), 0o600))
		argv = append(argv, "--log", name)
	}
	cases := []struct {
		name string
		argv []string
		code int
		want string
	}{
		{"table", argv, exitDone, "r            others"},
		{"second window", argv, exitDone, "2.0"},
		{"json", append([]string{"--json"}, argv...), exitDone, `"late first": 1`},
		{"no file", []string{"account", "--log", filepath.Join(dir, "none")}, exitRefused, "give a file of JSON lines"},
		{"bad window", append(argv, "--window", "0s"), exitUsage, "give a time above 0"},
		{"no log", []string{"account"}, exitUsage, "LOG is required"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var out bytes.Buffer
			must.EqOp(t, tc.code, Main(tc.argv, &out, &out))
			must.StrContains(t, out.String(), tc.want)
		})
	}
}
