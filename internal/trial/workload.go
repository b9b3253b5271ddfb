// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heathkeel/heathkeel/sched"
	"github.com/heathkeel/heathkeel/settings"
)

// RequestKind is a kind of request that a workspace sends.
type RequestKind struct {
	// Service names it and Rank is its tier's place.
	Service string
	Rank    int
	// Share is its part of the workspace's requests.
	Share float64
	// PromptTokens and Output are median lengths in tokens; Spread is the standard
	// deviation of their logarithms.
	PromptTokens, OutputTokens int
	Sigma                      float64
	// Deadline is the time within which the whole answer counts.
	Deadline time.Duration
	// TemplateBlocks is the number of prompt blocks that all requests of a workspace
	// share, and Again the chance that a request goes on with a recent document.
	TemplateBlocks   int
	ReuseProbability float64
	// Plain says that it goes to a plain service.
	Plain bool
}

// tiers are the names of the ranks.
var tiers = []string{"urgent", "normal", "patient"}

// The kinds of the two users: lookups and pushes at the top, replies between,
// drafts and long documents at the bottom; lengths spread a hundredfold.
var (
	fjordkanalKinds = []RequestKind{
		{Service: "inventory", Rank: 0, Share: 0.25, PromptTokens: 1, OutputTokens: 1, Deadline: 500 * time.Millisecond, Plain: true},
		{Service: "rate-answer", Rank: 0, Share: 0.2, PromptTokens: 120, OutputTokens: 16, Sigma: 0.4, Deadline: 500 * time.Millisecond, TemplateBlocks: 4, ReuseProbability: 0.2},
		{Service: "review-reply", Rank: 1, Share: 0.25, PromptTokens: 500, OutputTokens: 90, Sigma: 0.6, Deadline: 5 * time.Second, TemplateBlocks: 6, ReuseProbability: 0.3},
		{Service: "listing-text", Rank: 2, Share: 0.22, PromptTokens: 300, OutputTokens: 160, Sigma: 0.6, Deadline: 40 * time.Second, TemplateBlocks: 6, ReuseProbability: 0.3},
		{Service: "contract-summary", Rank: 2, Share: 0.08, PromptTokens: 9000, OutputTokens: 250, Sigma: 0.7, Deadline: 120 * time.Second, TemplateBlocks: 8, ReuseProbability: 0.5},
	}
	litoralKinds = []RequestKind{
		{Service: "balance", Rank: 0, Share: 0.3, PromptTokens: 1, OutputTokens: 1, Deadline: 500 * time.Millisecond, Plain: true},
		{Service: "debtor-answer", Rank: 0, Share: 0.2, PromptTokens: 200, OutputTokens: 24, Sigma: 0.4, Deadline: 700 * time.Millisecond, TemplateBlocks: 4, ReuseProbability: 0.4},
		{Service: "agent-reply", Rank: 1, Share: 0.2, PromptTokens: 700, OutputTokens: 100, Sigma: 0.6, Deadline: 5 * time.Second, TemplateBlocks: 8, ReuseProbability: 0.4},
		{Service: "reminder-draft", Rank: 2, Share: 0.2, PromptTokens: 250, OutputTokens: 120, Sigma: 0.5, Deadline: 60 * time.Second, TemplateBlocks: 6, ReuseProbability: 0.2},
		{Service: "dispute-review", Rank: 2, Share: 0.1, PromptTokens: 12000, OutputTokens: 350, Sigma: 0.6, Deadline: 180 * time.Second, TemplateBlocks: 8, ReuseProbability: 0.6},
	}
)

// Workspace is a sender of requests.
type Workspace struct {
	// Name and Weight identify it; Load is its part of all requests.
	Name   string
	Weight float64
	Share  float64
}

// workspaces are five of unequal size, with weights that differ from their loads.
var workspaces = []Workspace{
	{"ws-a", 2, 0.35}, {"ws-b", 2, 0.25}, {"ws-c", 1, 0.2}, {"ws-d", 1, 0.15}, {"ws-e", 1, 0.05},
}

// documents is the number of recent documents that requests go on with.
const documents = 40

// source draws the requests of one workspace and kind.
type source struct {
	ws       Workspace
	kind     RequestKind
	settings *settings.Effective
	rnd      *rand.Rand
	template []uint64
	recent   [][]uint64
	next     uint64
}

// newSource makes the source of a workspace and kind.
func newSource(ws Workspace, k RequestKind, endpoints []string, rnd *rand.Rand) *source {
	s := &source{ws: ws, kind: k, rnd: rnd}
	s.settings = &settings.Effective{
		Workspace: ws.Name, Service: k.Service, Tier: tiers[k.Rank], Rank: k.Rank, Deadline: k.Deadline,
		Repeatable: true, Weight: ws.Weight, RetryBudget: 0.1, MaxQueued: 2000, Affinity: true, MaxTokens: 4096,
	}
	if k.Plain {
		s.settings.Endpoints = endpoints
	}
	s.template = s.chain(nil, k.TemplateBlocks, 0)
	return s
}

// chain appends n blocks that no other document has.
func (s *source) chain(blocks []uint64, n int, doc uint64) []uint64 {
	for i := range n {
		text := fmt.Sprintf("%s/%s/%d/%d/%d", s.ws.Name, s.kind.Service, doc, len(blocks), i)
		blocks = append(blocks, xxhash.Sum64String(text))
	}
	return blocks
}

// length draws a length with a median and the kind's spread.
func (s *source) length(median int) int {
	return max(1, int(float64(median)*math.Exp(s.rnd.NormFloat64()*s.kind.Sigma)))
}

// draw makes a request; output is the length of its answer, which only the
// engine knows.
func (s *source) draw(now time.Duration) (r *sched.Request, output int) {
	prompt := s.length(s.kind.PromptTokens)
	output = s.length(s.kind.OutputTokens)
	blocks := s.template
	switch {
	case s.kind.Plain:
	case len(s.recent) > 0 && s.rnd.Float64() < s.kind.ReuseProbability:
		blocks = s.recent[s.rnd.IntN(len(s.recent))]
	default:
		s.next++
		n := min(prompt/sched.BlockTokens, sched.MaxBlocks-s.kind.TemplateBlocks)
		blocks = s.chain(append([]uint64(nil), s.template...), n, s.next)
		s.keep(blocks)
	}
	if !s.kind.Plain {
		prompt = len(blocks)*sched.BlockTokens + 1 + s.rnd.IntN(sched.BlockTokens)
	}
	r = &sched.Request{
		Settings: s.settings, Model: model, Blocks: blocks, PromptTokens: prompt,
		MaxTokens: 4096, Arrived: now, Deadline: now + s.kind.Deadline,
	}
	if s.kind.Plain {
		r.Model = ""
	}
	return r, output
}

// keep remembers a document for later requests.
func (s *source) keep(blocks []uint64) {
	if len(s.recent) < documents {
		s.recent = append(s.recent, blocks)
		return
	}
	s.recent[s.rnd.IntN(documents)] = blocks
}

// model is the only model of a trial.
const model = "m"
