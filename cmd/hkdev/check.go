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

// checkRequest is one request that the check sends.
type checkRequest struct {
	settings.Ref
	model      string // empty for a plain service
	repeatable bool
}

// checkRequests returns one request of each kind for each tier, ordered by tier: engine or
// plain service, repeatable or not.
func checkRequests(c *dev.Cluster) []checkRequest {
	snap := settings.NewSnapshot(1, c.Declaration)
	type kind struct {
		tier              string
		plain, repeatable bool
	}
	seen := make(map[kind]bool)
	var out []checkRequest
	for _, ws := range snap.Workspaces() {
		for _, ref := range snap.Refs(ws) {
			e, _ := snap.Resolve(ref)
			r := checkRequest{Ref: settings.Ref{Workspace: ws, Service: ref.Service, Tier: e.Tier}, repeatable: e.Repeatable}
			if len(e.Endpoints) == 0 {
				r.model = firstNonEmpty(e.Models, snap.Fleet.Models)
			}
			k := kind{e.Tier, r.model == "", e.Repeatable}
			if !seen[k] {
				seen[k] = true
				out = append(out, r)
			}
		}
	}
	slices.SortFunc(out, func(a, b checkRequest) int {
		return slices.Index(snap.Fleet.Tiers, a.Tier) - slices.Index(snap.Fleet.Tiers, b.Tier)
	})
	return out
}

// firstNonEmpty returns the first element of the first list that is not empty.
func firstNonEmpty(lists ...[]string) string {
	for _, l := range lists {
		if len(l) > 0 {
			return l[0]
		}
	}
	return ""
}

// firstCompletion returns a repeatable request to an engine, for the printed example.
func firstCompletion(c *dev.Cluster) (checkRequest, bool) {
	all := checkRequests(c)
	i := slices.IndexFunc(all, func(r checkRequest) bool { return r.model != "" && r.repeatable })
	if i < 0 {
		return checkRequest{}, false
	}
	return all[i], true
}

// requestTimeout bounds each request of the check.
const requestTimeout = 10 * time.Second

// checkCluster sends all check requests, prints a line for each and returns the exit code.
func checkCluster(c *dev.Cluster) int {
	code := 0
	fmt.Printf("%-8s %-7s %-24s %-16s %-11s %s\n", "tier", "kind", "service", "endpoint", "first token", "outcome")
	for _, r := range checkRequests(c) {
		kind, endpoint, elapsed, err := r.send(c)
		outcome := string(problem.Answered)
		if err != nil {
			code = 1
			outcome = problem.FromError(err).Error()
		}
		fmt.Printf("%-8s %-7s %-24s %-16s %-11s %s\n", r.Tier, kind, r.Workspace+"/"+r.Service, endpoint, elapsed.Round(10*time.Microsecond), outcome)
	}
	return code
}

// send asks a host for an address and sends the request there.
func (r checkRequest) send(c *dev.Cluster) (kind, endpoint string, elapsed time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	cl := &client.Client{Seeds: c.Addresses(), Workspace: r.Workspace}
	if r.model != "" {
		a, err := cl.Complete(ctx, client.Completion{
			Service: r.Service, Tier: r.Tier, Model: r.model, Prompt: "Write one line about the sea.", MaxTokens: 16, NoRepeat: !r.repeatable,
		})
		return "engine", a.Endpoint, a.FirstToken, err
	}
	kind = "plain"
	if !r.repeatable {
		kind = "once"
	}
	start := time.Now()
	a, err := cl.Do(ctx, client.Call{
		Service: r.Service, Tier: r.Tier, Method: http.MethodPost, Path: "/check",
		Header: http.Header{fake.HeaderCall: {"check-" + r.Service}}, Body: []byte("{}"), NoRepeat: !r.repeatable,
	})
	return kind, a.Endpoint, time.Since(start), err
}
