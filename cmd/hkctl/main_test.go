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

// fixture is a running fleet and an operator's directory with its tree.
type fixture struct {
	t       *testing.T
	cluster *dev.Cluster
	dir     string
}

// newFixture starts a fleet of three hosts and writes its tree to a directory with hkctl get.
func newFixture(t *testing.T) *fixture {
	files, err := settings.ReadDir(examples.Litoral())
	must.NoError(t, err)
	c := &dev.Cluster{Declaration: settings.Parse(files).Declaration, Hosts: 3, StepTime: 2 * time.Millisecond}
	must.NoError(t, c.Start())
	t.Cleanup(c.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	must.NoError(t, c.WaitReady(ctx))
	f := &fixture{t: t, cluster: c, dir: filepath.Join(t.TempDir(), "a")}
	code, _, errs := f.run("get", f.dir)
	must.Zero(t, code, must.Sprint(errs))
	return f
}

// run runs hkctl against the fleet and returns its exit code, standard output and standard error.
func (f *fixture) run(argv ...string) (int, string, string) {
	var out, errs bytes.Buffer
	argv = append([]string{"--platform", "http://" + f.cluster.PlatformAddress}, argv...)
	code := Main(argv, &out, &errs)
	return code, out.String(), errs.String()
}

// edit replaces the first occurrence of old in a directory's treeFile.
func (f *fixture) edit(dir, old, text string) {
	p := filepath.Join(dir, treeFile)
	b, err := os.ReadFile(p)
	must.NoError(f.t, err)
	must.StrContains(f.t, string(b), old)
	must.NoError(f.t, os.WriteFile(p, []byte(strings.Replace(string(b), old, text, 1)), 0o644))
}

// copyTo copies the operator's directory for a second operator.
func (f *fixture) copyTo(name string) string {
	to := filepath.Join(filepath.Dir(f.dir), name)
	must.NoError(f.t, os.CopyFS(to, os.DirFS(f.dir)))
	return to
}

// TestOperatorWorkflow runs the commands of an operator's work on one fleet: diff, apply,
// concurrent edits by three operators, explain, history, status and drain.
func TestOperatorWorkflow(t *testing.T) {
	f := newFixture(t)
	code, out, _ := f.run("diff", f.dir)
	must.Zero(t, code)
	must.Eq(t, "", out)
	other := f.copyTo("b")
	third := f.copyTo("c")

	f.edit(f.dir, "deadline: 15m0s", "deadline: 20m")
	code, out, _ = f.run("diff", f.dir)
	must.Eq(t, exitRefused, code)
	must.StrContains(t, out, `deadline = "20m0s" (was "15m0s")`)
	code, out, errs := f.run("apply", f.dir, "-m", "longer reviews", "--author", "ana")
	must.Zero(t, code, must.Sprint(errs))
	must.StrContains(t, out, "revision 2")

	// A concurrent edit of another path is merged.
	f.edit(other, "deadline: 5m0s", "deadline: 6m")
	code, _, errs = f.run("apply", other, "--author", "bo")
	must.Zero(t, code, must.Sprint(errs))
	// A concurrent edit of the same path is refused, and the earlier value stays in force.
	f.edit(third, "deadline: 15m0s", "deadline: 30m")
	code, _, errs = f.run("apply", third, "--author", "cy")
	must.Eq(t, exitRefused, code)
	must.StrContains(t, errs, "by cy conflicts with")
	must.StrContains(t, errs, "by ana (revision 2)")

	code, out, _ = f.run("explain", "workspaces/agentes/services/dispute-review")
	must.Zero(t, code)
	must.StrContains(t, out, "20m0s")
	must.StrContains(t, out, "workspaces/agentes/services/dispute-review")
	code, out, _ = f.run("history")
	must.Zero(t, code)
	must.StrContains(t, out, "longer reviews")

	eventually(t, func() bool { code, _, _ := f.run("status"); return code == exitDone })
	code, out, errs = f.run("drain", "collections-api-1")
	must.Zero(t, code, must.Sprint(errs))
	must.StrContains(t, out, "leaves since revision 4")
}

// eventually polls ok until it returns true; it fails the test after 10 s.
func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition did not hold within 10 s")
}

// TestApplySameChangeTwice checks that a change that is applied again under its ID, because
// the first answer was lost, has no second effect and overwrites no later change.
func TestApplySameChangeTwice(t *testing.T) {
	f := newFixture(t)
	other := f.copyTo("b")
	f.edit(f.dir, "deadline: 15m0s", "deadline: 20m")
	code, _, errs := f.run("apply", f.dir, "--change", "first-try")
	must.Zero(t, code, must.Sprint(errs))
	later := f.copyTo("later")
	f.edit(later, "deadline: 20m", "deadline: 25m")
	code, _, errs = f.run("apply", later)
	must.Zero(t, code, must.Sprint(errs))
	// The first operator lost the answer and applies the same change again.
	f.edit(other, "deadline: 15m0s", "deadline: 20m")
	code, out, errs := f.run("apply", other, "--change", "first-try")
	must.Zero(t, code, must.Sprint(errs))
	must.StrContains(t, out, "revision 2, change first-try")
	_, out, _ = f.run("get")
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
