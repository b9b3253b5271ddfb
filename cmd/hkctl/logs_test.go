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

// TestExplainFromLogs checks that the events of a request in the logs of two hosts are
// merged in order of time.
func TestExplainFromLogs(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	must.NoError(t, os.WriteFile(a, []byte(`{"ts":20.5,"msg":"request","host":"a","id":"r7","outcome":"cut","endpoint":"e1","events":4,"left_ms":700}`+"\n"), 0o644))
	must.NoError(t, os.WriteFile(b, []byte(`{"ts":20.1,"msg":"request","host":"b","id":"r7","outcome":"refused","status":503,"why":"deadline cannot be met"}`+"\n"), 0o644))
	var out, errs bytes.Buffer
	must.Zero(t, Main([]string{"explain", "--log", a, "--log", b, "r7"}, &out, &errs), must.Sprint(errs.String()))
	must.EqOp(t, "20.100  b: refused after 0 ms, status 503, 0 ms left, settings 0 of age 0 ms: deadline cannot be met\n"+
		"20.500  a: cut after 0 ms, endpoint e1 (first event predicted in 0 ms), 0 sends, 4 events passed on, 700 ms left, settings 0 of age 0 ms: \n"+
		"cause: The stream was cut after 4 events because endpoint e1 ended it and it may not go on elsewhere.\n", out.String())
}

// TestExplainLostRelay checks that a relayed stream which the host itself ended is not put down to an endpoint.
func TestExplainLostRelay(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.log")
	must.NoError(t, os.WriteFile(path, []byte(`{"ts":20.5,"msg":"request","host":"a","id":"r7","outcome":"cut","relayed_to":"b","events":4,"left_ms":700,"silent_ms":2000}`+"\n"), 0o644))
	var out, errs bytes.Buffer
	must.Zero(t, Main([]string{"explain", "--log", path, "r7"}, &out, &errs), must.Sprint(errs.String()))
	must.StrContains(t, out.String(), "because host b, to which it was relayed, was silent for 2000 ms")
}
