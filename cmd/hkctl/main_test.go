// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/examples"
	"github.com/heathkeel/heathkeel/internal/dev"
	"github.com/heathkeel/heathkeel/settings"
)

// desk is an operator's directory and the fleet it works on.
type desk struct {
	t       *testing.T
	cluster *dev.Cluster
	dir     string
}

// newDesk starts a fleet and gets its tree into a directory.
func newDesk(t *testing.T) *desk {
	files, err := settings.ReadDir(examples.Litoral())
	must.NoError(t, err)
	c := &dev.Cluster{Declaration: settings.Parse(files).Declaration, Hosts: 3, StepTime: 2 * time.Millisecond}
	must.NoError(t, c.Start())
	t.Cleanup(c.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	must.NoError(t, c.WaitReady(ctx))
	d := &desk{t: t, cluster: c, dir: filepath.Join(t.TempDir(), "a")}
	code, _, errs := d.run("get", d.dir)
	must.Zero(t, code, must.Sprint(errs))
	return d
}

// run runs hkctl.
func (d *desk) run(argv ...string) (int, string, string) {
	var out, errs bytes.Buffer
	argv = append([]string{"--platform", "http://" + d.cluster.PlatformAddress}, argv...)
	code := Main(argv, &out, &errs)
	return code, out.String(), errs.String()
}

// edit replaces text in the tree of a directory.
func (d *desk) edit(dir, old, text string) {
	p := filepath.Join(dir, treeFile)
	b, err := os.ReadFile(p)
	must.NoError(d.t, err)
	must.StrContains(d.t, string(b), old)
	must.NoError(d.t, os.WriteFile(p, []byte(strings.Replace(string(b), old, text, 1)), 0o644))
}

// copyTo copies the operator's directory for a second operator.
func (d *desk) copyTo(name string) string {
	to := filepath.Join(filepath.Dir(d.dir), name)
	must.NoError(d.t, os.CopyFS(to, os.DirFS(d.dir)))
	return to
}

func TestOperatorsDay(t *testing.T) {
	d := newDesk(t)
	code, out, _ := d.run("diff", d.dir)
	must.Zero(t, code)
	must.Eq(t, "", out)
	other := d.copyTo("b")
	third := d.copyTo("c")

	d.edit(d.dir, "deadline: 15m0s", "deadline: 20m")
	code, out, _ = d.run("diff", d.dir)
	must.Eq(t, exitRefused, code)
	must.StrContains(t, out, `deadline = "20m0s" (was "15m0s")`)
	code, out, errs := d.run("apply", d.dir, "-m", "longer reviews", "--author", "ana")
	must.Zero(t, code, must.Sprint(errs))
	must.StrContains(t, out, "revision 2")

	// Another operator's edit of another path lands beside it.
	d.edit(other, "deadline: 5m0s", "deadline: 6m")
	code, _, errs = d.run("apply", other, "--author", "bo")
	must.Zero(t, code, must.Sprint(errs))
	// A third one's edit of the first path conflicts, and nothing is lost.
	d.edit(third, "deadline: 15m0s", "deadline: 30m")
	code, _, errs = d.run("apply", third, "--author", "cy")
	must.Eq(t, exitRefused, code)
	must.StrContains(t, errs, "by cy conflicts with")
	must.StrContains(t, errs, "by ana (revision 2)")

	code, out, _ = d.run("explain", "workspaces/agentes/services/dispute-review")
	must.Zero(t, code)
	must.StrContains(t, out, "20m0s")
	must.StrContains(t, out, "workspaces/agentes/services/dispute-review")
	code, out, _ = d.run("history")
	must.Zero(t, code)
	must.StrContains(t, out, "longer reviews")

	eventually(t, func() bool { code, _, _ := d.run("status"); return code == exitDone })
	code, out, errs = d.run("drain", "collections-api-1")
	must.Zero(t, code, must.Sprint(errs))
	must.StrContains(t, out, "leaves since revision 4")
}

// eventually waits until ok holds.
func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("never")
}

func TestApplyAgainUnderOneChange(t *testing.T) {
	d := newDesk(t)
	other := d.copyTo("b")
	d.edit(d.dir, "deadline: 15m0s", "deadline: 20m")
	code, _, errs := d.run("apply", d.dir, "--change", "first-try")
	must.Zero(t, code, must.Sprint(errs))
	later := d.copyTo("later")
	d.edit(later, "deadline: 20m", "deadline: 25m")
	code, _, errs = d.run("apply", later)
	must.Zero(t, code, must.Sprint(errs))
	// The first operator did not see the answer and runs the same change again.
	d.edit(other, "deadline: 15m0s", "deadline: 20m")
	code, out, errs := d.run("apply", other, "--change", "first-try")
	must.Zero(t, code, must.Sprint(errs))
	must.StrContains(t, out, "revision 2, change first-try")
	_, out, _ = d.run("get")
	must.StrContains(t, out, "deadline: 25m0s")
}

func TestExitCodes(t *testing.T) {
	bad := t.TempDir()
	must.NoError(t, os.WriteFile(filepath.Join(bad, "a.yaml"), []byte("set: {speed: 1}"), 0o644))
	good := t.TempDir()
	must.NoError(t, os.WriteFile(filepath.Join(good, "a.yaml"), []byte("set: {deadline: 1s}"), 0o644))
	cases := []struct {
		argv []string
		code int
	}{
		{[]string{"--help"}, exitDone},
		{[]string{"--version"}, exitDone},
		{[]string{}, exitUsage},
		{[]string{"nonsense"}, exitUsage},
		{[]string{"check"}, exitUsage},
		{[]string{"check", "/nonexistent"}, exitUsage},
		{[]string{"check", bad}, exitRefused},
		{[]string{"--json", "check", bad}, exitRefused},
		{[]string{"check", good}, exitDone},
		{[]string{"explain", "--dir", good, ""}, exitDone},
		{[]string{"explain", "--dir", good, "workspaces/x"}, exitRefused},
		{[]string{"explain", "--log", filepath.Join(good, "a.yaml"), "some-id"}, exitDone},
		{[]string{"explain", "--log", filepath.Join(good, "none"), "some-id"}, exitRefused},
		{[]string{"status"}, exitUsage},
		{[]string{"--platform", "http://127.0.0.1:1", "status"}, exitRefused},
		{[]string{"--timeout", "1", "check", good}, exitUsage},
	}
	for _, c := range cases {
		var out, errs bytes.Buffer
		must.Eq(t, c.code, Main(c.argv, &out, &errs), must.Sprint(c.argv, errs.String()))
	}
}
