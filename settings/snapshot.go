// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package settings

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Ref names what a request asks for.
type Ref struct {
	// Workspace is the full name, nested workspaces joined by a slash.
	Workspace string
	// Service is the service's name.
	Service string
	// Tier is the tier, or empty for the service's own.
	Tier string
}

// Effective is the set of values in force for one Ref; it must not be changed.
type Effective struct {
	// Workspace, Service and Tier name what the values are for.
	Workspace, Service, Tier string
	// Rank is the place of the tier in the order, 0 the highest.
	Rank int
	// Deadline bounds the time from arrival to the end of the answer.
	Deadline time.Duration
	// Repeatable says whether running twice does no harm.
	Repeatable bool
	// Witness says whether a call that may not be repeated is recorded first.
	Witness bool
	// Weight is the workspace's share in its tier.
	Weight float64
	// Rate is in requests/s, 0 for none, shared by all below RateScope.
	Rate      float64
	RateScope string
	// Concurrency is in requests, 0 for none, shared by all below ConcurrencyScope.
	Concurrency      int
	ConcurrencyScope string
	// RetryBudget is retries as a share of first tries.
	RetryBudget float64
	// MaxQueued is the number of requests of the workspace that may wait on a host.
	MaxQueued int
	// Affinity says whether endpoints that hold the prefix are preferred.
	Affinity bool
	// Endpoints and Models list what is allowed; empty means all.
	Endpoints, Models []string
	// MaxTokens bounds an answer, in tokens, and MaxBody a request, in bytes.
	MaxTokens int
	MaxBody   int64
}

// Endpoint is a declared endpoint.
type Endpoint struct {
	// Name, Address and Zone identify it.
	Name, Address, Zone string
	// Engine is true for a model engine and false for a plain service.
	Engine bool
	// Fenced says whether it checks the fencing token of orders.
	Fenced bool
	// Leaving says that it gets no new work.
	Leaving bool
	// Slots is the number of requests it runs at once.
	Slots int
}

// Placement is a declared wish for replicas of a model.
type Placement struct {
	// Name identifies the placement.
	Name string
	// Model, Version, Adapters and Role say what is held.
	Model, Version string
	Adapters       []string
	Role           string
	// Zone limits it to one availability zone; empty means each.
	Zone string
	// Replicas is the number of endpoints in each zone.
	Replicas int
}

// Fleet is what concerns all workspaces.
type Fleet struct {
	// Tiers is the order, the highest first.
	Tiers []string
	// Models are the declared models.
	Models []string
	// Endpoints and Placements are sorted by name.
	Endpoints  []Endpoint
	Placements []Placement
	// entries are the fleet's own, from which workspaces inherit.
	entries Declaration
}

// workspaceTree is one top-level workspace, resolved.
type workspaceTree struct {
	sum   uint64 // hash of the entries that it was made from
	refs  map[Ref]*Effective
	hosts map[string]int
}

// shardCount is the number of parts that top-level workspaces are spread over.
// A change copies one part of a snapshot, so its cost follows the change.
const shardCount = 256

// ShardOf returns the shard of a top-level node.
func ShardOf(top string) int { return int(xxhash.Sum64String(top) % shardCount) }

// shard holds the top-level workspaces of one part.
type shard struct {
	trees map[string]*workspaceTree
}

// Snapshot is a whole tree at one revision, immutable and safe for concurrent use.
type Snapshot struct {
	// Revision is the number of the accepted change that made it.
	Revision uint64
	// Fleet is what concerns all workspaces; it must not be changed.
	Fleet  *Fleet
	shards [shardCount]*shard
}

// NewSnapshot builds a snapshot of a sorted declaration.
func NewSnapshot(revision uint64, d Declaration) *Snapshot {
	var parts [shardCount]Declaration
	var fleet Declaration
	for _, e := range d {
		top := TopLevel(e.Node)
		if top == "" {
			fleet = append(fleet, e)
			continue
		}
		i := ShardOf(top)
		parts[i] = append(parts[i], e)
	}
	s := &Snapshot{Revision: revision, Fleet: newFleet(fleet)}
	for i := range parts {
		s.shards[i] = newShard(s.Fleet, parts[i], nil)
	}
	return s
}

// WithShards returns a snapshot at a later revision in which the given shards have
// new entries; the others are shared with s.
func (s *Snapshot) WithShards(revision uint64, changed []ShardEntries) *Snapshot {
	n := *s
	n.Revision = revision
	for _, c := range changed {
		n.shards[c.Shard] = newShard(n.Fleet, c.Entries, s.shards[c.Shard])
	}
	return &n
}

// ShardEntries are the sorted entries of one shard.
type ShardEntries struct {
	// Shard is the number given by ShardOf.
	Shard int
	// Entries are all entries of the shard.
	Entries Declaration
}

// Resolve returns the values in force for a request; it is one look-up.
func (s *Snapshot) Resolve(ref Ref) (*Effective, bool) {
	t := s.tree(ref.Workspace)
	if t == nil {
		return nil, false
	}
	e, ok := t.refs[ref]
	return e, ok
}

// HasWorkspace reports whether the full name is declared.
func (s *Snapshot) HasWorkspace(name string) bool {
	t := s.tree(name)
	if t == nil {
		return false
	}
	_, ok := t.hosts[name]
	return ok
}

// HostCount returns the number of hosts that the address answer of a workspace names.
func (s *Snapshot) HostCount(workspace string) int {
	if t := s.tree(workspace); t != nil {
		return t.hosts[workspace]
	}
	return 0
}

// Workspaces returns the full names of all workspaces, sorted.
func (s *Snapshot) Workspaces() []string {
	var names []string
	for _, sh := range s.shards {
		for _, t := range sh.trees {
			for name := range t.hosts {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// Refs returns all Refs of a workspace, sorted by service and tier.
func (s *Snapshot) Refs(workspace string) []Ref {
	t := s.tree(workspace)
	if t == nil {
		return nil
	}
	var refs []Ref
	for r := range t.refs {
		if r.Workspace == workspace {
			refs = append(refs, r)
		}
	}
	slices.SortFunc(refs, func(a, b Ref) int {
		return strings.Compare(a.Service+"\x00"+a.Tier, b.Service+"\x00"+b.Tier)
	})
	return refs
}

// tree finds the top-level workspace that a full name lies in.
func (s *Snapshot) tree(workspace string) *workspaceTree {
	top := workspace
	if i := strings.IndexByte(workspace, '/'); i >= 0 {
		top = workspace[:i]
	}
	return s.shards[shardOfName(top)].trees[top]
}

// shardOfName is ShardOf("workspaces/"+name) without an allocation.
func shardOfName(name string) int {
	const prefix = "workspaces/"
	var buf [len(prefix) + maxName]byte
	if len(name) > maxName {
		return 0
	}
	n := copy(buf[:], prefix)
	n += copy(buf[n:], name)
	return int(xxhash.Sum64(buf[:n]) % shardCount)
}

// newFleet resolves the entries that concern all workspaces.
func newFleet(entries Declaration) *Fleet {
	f := &Fleet{entries: entries}
	f.Tiers = split(lookup(entries, "", KeyTiers, LevelFleet))
	for _, e := range entries {
		if e.Key != "" {
			continue
		}
		get := func(key string) string { return lookup(entries, e.Node, key, levelOf(e.Node)) }
		switch levelOf(e.Node) {
		case LevelModel:
			f.Models = append(f.Models, lastName(e.Node))
		case LevelEndpoint:
			slots, _ := strconv.Atoi(get(KeySlots))
			f.Endpoints = append(f.Endpoints, Endpoint{
				Name: lastName(e.Node), Address: get(KeyAddress), Zone: get(KeyZone),
				Engine: get(KeyKind) == "engine", Fenced: get(KeyFenced) == "true",
				Leaving: get(KeyState) == "leaving", Slots: slots,
			})
		case LevelPlacement:
			n, _ := strconv.Atoi(get(KeyReplicas))
			f.Placements = append(f.Placements, Placement{
				Name: lastName(e.Node), Model: get(KeyModel), Version: get(KeyVersion),
				Adapters: split(get(KeyAdapters)), Role: get(KeyRole), Zone: get(KeyZone), Replicas: n,
			})
		}
	}
	return f
}

// lookup returns a value of one node or the key's default.
func lookup(d Declaration, node, key string, level Level) string {
	if v, ok := d.Find(node, key); ok {
		return v
	}
	return FindKey(key, level).Default
}

// newShard resolves the workspaces of one shard. Those whose entries are the same
// in old, made under the same fleet, are shared with it; old may be nil.
func newShard(f *Fleet, entries Declaration, old *shard) *shard {
	sh := &shard{trees: make(map[string]*workspaceTree)}
	for i := 0; i < len(entries); {
		top := TopLevel(entries[i].Node)
		j := i
		for j < len(entries) && TopLevel(entries[j].Node) == top {
			j++
		}
		name, sum := lastName(top), hashOf(entries[i:j])
		if old != nil && old.trees[name] != nil && old.trees[name].sum == sum {
			sh.trees[name] = old.trees[name]
		} else {
			sh.trees[name] = newTree(f, entries[i:j])
			sh.trees[name].sum = sum
		}
		i = j
	}
	return sh
}

// hashOf hashes entries.
func hashOf(entries Declaration) uint64 {
	d := xxhash.New()
	for _, e := range entries {
		for _, part := range []string{e.Node, e.Key, e.Value} {
			_, _ = d.WriteString(part)
			_, _ = d.Write(separator)
		}
	}
	return d.Sum64()
}

// separator stands between hashed parts.
var separator = []byte{0}

// newTree resolves all nodes of one top-level workspace.
func newTree(f *Fleet, entries Declaration) *workspaceTree {
	t := &workspaceTree{refs: make(map[Ref]*Effective), hosts: make(map[string]int)}
	for _, e := range entries {
		if e.Key != "" {
			continue
		}
		l := lineage{fleet: f.entries, entries: entries, node: e.Node}
		switch levelOf(e.Node) {
		case LevelWorkspace:
			n, _ := strconv.Atoi(l.value(KeyHosts))
			t.hosts[WorkspaceName(e.Node)] = n
		case LevelService:
			eff := l.effective(f, l.value(KeyTier))
			t.refs[Ref{eff.Workspace, eff.Service, ""}] = eff
			own := Ref{eff.Workspace, eff.Service, eff.Tier}
			if _, declared := t.refs[own]; !declared {
				t.refs[own] = eff
			}
		case LevelTier:
			eff := l.effective(f, lastName(e.Node))
			ref := Ref{eff.Workspace, eff.Service, eff.Tier}
			def := Ref{eff.Workspace, eff.Service, ""}
			if d := t.refs[def]; d != nil && d.Tier == eff.Tier {
				t.refs[def] = eff
			}
			t.refs[ref] = eff
		}
	}
	return t
}

// WorkspaceName returns the full workspace name of a node's path.
func WorkspaceName(node string) string {
	var names []string
	parts := strings.Split(node, "/")
	for i := 0; i+1 < len(parts) && parts[i] == "workspaces"; i += 2 {
		names = append(names, parts[i+1])
	}
	return strings.Join(names, "/")
}
