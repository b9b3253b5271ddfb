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

// RequestKind is a kind of request that workspaces send.
type RequestKind struct {
	// Service is the name of its service, and Rank the rank of its tier, 0 for the highest.
	Service string
	Rank    int
	// Share is the fraction of a workspace's requests that are of this kind.
	Share float64
	// PromptTokens and OutputTokens are median lengths; Sigma is the standard deviation
	// of their logarithms.
	PromptTokens, OutputTokens int
	Sigma                      float64
	// Deadline is the time to the whole answer after which the caller gives up.
	Deadline time.Duration
	// TemplateBlocks is the number of prompt blocks that all its requests from one
	// workspace share, and ReuseProbability the probability that a request continues a
	// recent document.
	TemplateBlocks   int
	ReuseProbability float64
	// Plain is true if the service is a plain service.
	Plain bool
}

// tiers are the names of the tiers by rank.
var tiers = []string{"urgent", "normal", "patient"}

// The kinds of requests of the two sites: lookups and short answers in the highest
// tier, replies in the middle one, drafts and long documents in the lowest. Lengths
// differ by a factor of a hundred.
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
	// Name identifies the workspace, Weight is its weight, and Share its fraction of all
	// requests.
	Name   string
	Weight float64
	Share  float64
}

// workspaces differ in size, and their weights are not proportional to their shares.
var workspaces = []Workspace{
	{"ws-a", 2, 0.35}, {"ws-b", 2, 0.25}, {"ws-c", 1, 0.2}, {"ws-d", 1, 0.15}, {"ws-e", 1, 0.05},
}

// maxDocuments is the maximum number of recent documents that requests can continue.
const maxDocuments = 40

// source draws the requests of one workspace and kind.
type source struct {
	workspace    Workspace
	kind         RequestKind
	settings     *settings.Effective
	rand         *rand.Rand
	template     []uint64
	documents    [][]uint64
	lastDocument uint64
}

// newSource returns the source of a workspace and kind. Requests to plain services go
// to the given endpoints.
func newSource(ws Workspace, k RequestKind, endpoints []string, rnd *rand.Rand) *source {
	s := &source{workspace: ws, kind: k, rand: rnd}
	s.settings = &settings.Effective{
		Workspace: ws.Name, Service: k.Service, Tier: tiers[k.Rank], Rank: k.Rank, Deadline: k.Deadline,
		Repeatable: true, Weight: ws.Weight, RetryBudget: 0.1, MaxQueued: 2000, Affinity: true, MaxTokens: 4096,
	}
	if k.Plain {
		s.settings.Endpoints = endpoints
	}
	s.template = s.appendBlocks(nil, k.TemplateBlocks, 0)
	return s
}

// appendBlocks appends count blocks that no other document of any source has.
func (s *source) appendBlocks(blocks []uint64, count int, document uint64) []uint64 {
	for i := range count {
		text := fmt.Sprintf("%s/%s/%d/%d/%d", s.workspace.Name, s.kind.Service, document, len(blocks), i)
		blocks = append(blocks, xxhash.Sum64String(text))
	}
	return blocks
}

// drawLength draws a length from a lognormal distribution with the given median and
// the kind's Sigma.
func (s *source) drawLength(median int) int {
	return max(1, int(float64(median)*math.Exp(s.rand.NormFloat64()*s.kind.Sigma)))
}

// draw returns a new request and the length of its answer, which the host doesn't know.
func (s *source) draw(now time.Duration) (r *sched.Request, outputTokens int) {
	prompt := s.drawLength(s.kind.PromptTokens)
	outputTokens = s.drawLength(s.kind.OutputTokens)
	blocks := s.template
	switch {
	case s.kind.Plain:
	case len(s.documents) > 0 && s.rand.Float64() < s.kind.ReuseProbability:
		blocks = s.documents[s.rand.IntN(len(s.documents))]
	default:
		s.lastDocument++
		n := min(prompt/sched.BlockTokens, sched.MaxBlocks-s.kind.TemplateBlocks)
		blocks = s.appendBlocks(append([]uint64(nil), s.template...), n, s.lastDocument)
		s.addDocument(blocks)
	}
	if !s.kind.Plain {
		prompt = len(blocks)*sched.BlockTokens + 1 + s.rand.IntN(sched.BlockTokens)
	}
	r = &sched.Request{
		Settings: s.settings, Model: model, Blocks: blocks, PromptTokens: prompt,
		MaxTokens: 4096, Arrived: now, Deadline: now + s.kind.Deadline,
	}
	if s.kind.Plain {
		r.Model = ""
	}
	return r, outputTokens
}

// addDocument adds a recent document, replacing a random one if there are maxDocuments.
func (s *source) addDocument(blocks []uint64) {
	if len(s.documents) < maxDocuments {
		s.documents = append(s.documents, blocks)
		return
	}
	s.documents[s.rand.IntN(maxDocuments)] = blocks
}

// model is the only model in a trial.
const model = "m"
