// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/heathkeel/heathkeel/client"
	"github.com/heathkeel/heathkeel/internal/dev"
	"github.com/heathkeel/heathkeel/internal/fake"
	"github.com/heathkeel/heathkeel/problem"
	"github.com/heathkeel/heathkeel/settings"
)

// trial is one request of the check.
type trial struct {
	settings.Ref
	model      string // empty for a plain service
	repeatable bool
}

// trials picks one request of each kind for each tier.
func trials(c *dev.Cluster) []trial {
	snap := settings.NewSnapshot(1, c.Declaration)
	type kind struct {
		tier              string
		plain, repeatable bool
	}
	seen := make(map[kind]bool)
	var out []trial
	for _, ws := range snap.Workspaces() {
		for _, ref := range snap.Refs(ws) {
			e, _ := snap.Resolve(ref)
			t := trial{Ref: settings.Ref{Workspace: ws, Service: ref.Service, Tier: e.Tier}, repeatable: e.Repeatable}
			if len(e.Endpoints) == 0 {
				t.model = first(e.Models, snap.Fleet.Models)
			}
			k := kind{e.Tier, t.model == "", e.Repeatable}
			if !seen[k] {
				seen[k] = true
				out = append(out, t)
			}
		}
	}
	slices.SortFunc(out, func(a, b trial) int {
		return slices.Index(snap.Fleet.Tiers, a.Tier) - slices.Index(snap.Fleet.Tiers, b.Tier)
	})
	return out
}

// first returns the first name of the first list that has one.
func first(lists ...[]string) string {
	for _, l := range lists {
		if len(l) > 0 {
			return l[0]
		}
	}
	return ""
}

// firstCompletion returns a request to show on the command line.
func firstCompletion(c *dev.Cluster) (trial, bool) {
	all := trials(c)
	i := slices.IndexFunc(all, func(t trial) bool { return t.model != "" && t.repeatable })
	if i < 0 {
		return trial{}, false
	}
	return all[i], true
}

// checkTime bounds one request of the check.
const checkTime = 10 * time.Second

// check runs all trials and returns the exit code.
func check(c *dev.Cluster) int {
	code := 0
	fmt.Printf("%-8s %-7s %-24s %-16s %-11s %s\n", "tier", "kind", "service", "endpoint", "first token", "outcome")
	for _, t := range trials(c) {
		kind, endpoint, took, err := t.run(c)
		outcome := string(problem.Answered)
		if err != nil {
			code = 1
			outcome = problem.FromError(err).Error()
		}
		fmt.Printf("%-8s %-7s %-24s %-16s %-11s %s\n", t.Tier, kind, t.Workspace+"/"+t.Service, endpoint, took.Round(10*time.Microsecond), outcome)
	}
	return code
}

// run sends one request through the address answer.
func (t trial) run(c *dev.Cluster) (kind, endpoint string, took time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTime)
	defer cancel()
	cl := &client.Client{Seeds: c.Addresses(), Workspace: t.Workspace}
	if t.model != "" {
		a, err := cl.Complete(ctx, client.Completion{
			Service: t.Service, Tier: t.Tier, Model: t.model, Prompt: "Write one line about the sea.", MaxTokens: 16, NoRepeat: !t.repeatable,
		})
		return "engine", a.Endpoint, a.FirstToken, err
	}
	kind = "plain"
	if !t.repeatable {
		kind = "once"
	}
	start := time.Now()
	a, err := cl.Do(ctx, client.Call{
		Service: t.Service, Tier: t.Tier, Method: http.MethodPost, Path: "/check",
		Header: http.Header{fake.HeaderCall: {"check-" + t.Service}}, Body: []byte("{}"), NoRepeat: !t.repeatable,
	})
	return kind, a.Endpoint, time.Since(start), err
}
