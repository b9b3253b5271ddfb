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

// Ref identifies the workspace, service and tier that a request asks for.
type Ref struct {
	// Workspace is the full name; the names of nested workspaces are joined by slashes.
	Workspace string
	// Service is the name of the service.
	Service string
	// Tier is the name of the tier, or empty for the service's default tier.
	Tier string
}

// Effective holds the values in effect for one Ref; it must not be modified.
type Effective struct {
	// Workspace, Service and Tier identify what the values apply to.
	Workspace, Service, Tier string
	// Rank is the index of the tier in the order of tiers; 0 is the highest tier.
	Rank int
	// Deadline limits the time from arrival to the end of the answer.
	Deadline time.Duration
	// Repeatable reports whether running a request twice does no harm.
	Repeatable bool
	// Witness reports whether a call that is not repeatable is recorded at a witness before its dispatch.
	Witness bool
	// Weight is the workspace's share among the workspaces of the same tier.
	Weight float64
	// Rate is the rate limit in requests per second, 0 for none. All requests below
	// the node RateScope share it, over all hosts.
	Rate      float64
	RateScope string
	// Concurrency is the limit of requests that run at once, 0 for none. All requests
	// below the node ConcurrencyScope share it, over all hosts.
	Concurrency      int
	ConcurrencyScope string
	// RetryBudget is the permitted number of retries as a share of first attempts.
	RetryBudget float64
	// MaxQueued is the number of requests of the workspace that may wait on one host.
	MaxQueued int
	// Affinity reports whether endpoints that hold the prompt prefix are preferred.
	Affinity bool
	// Endpoints and Models list the permitted ones; empty permits all.
	Endpoints, Models []string
	// MaxTokens limits the size of an answer, in tokens, and MaxBody that of a request's body, in bytes.
	MaxTokens int
	MaxBody   int64
}

// Endpoint is a declared endpoint.
type Endpoint struct {
	// Name is the name of the endpoint, Address its IP address and port, and Zone its availability zone.
	Name, Address, Zone string
	// Engine is true for an engine and false for a plain service.
	Engine bool
	// Fenced reports whether the endpoint checks the fencing token of orders.
	Fenced bool
	// Leaving reports that the endpoint gets no new requests.
	Leaving bool
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
}

// Placement is a declared number of replicas of a model.
type Placement struct {
	// Name is the name of the placement.
	Name string
	// Model, Version, Adapters and Role describe what each replica holds and does.
	Model, Version string
	Adapters       []string
	Role           string
	// Zone limits the placement to one availability zone; empty means every zone.
	Zone string
	// Replicas is the number of endpoints that hold the model in each zone.
	Replicas int
}

// Fleet holds the values that concern all workspaces.
type Fleet struct {
	// Tiers is the order of tiers, the highest first.
	Tiers []string
	// Models are the names of the declared models.
	Models []string
	// Endpoints and Placements are sorted by name.
	Endpoints  []Endpoint
	Placements []Placement
	// entries are the entries outside workspaces; workspaces inherit from the fleet's.
	entries Declaration
}

// workspaceTree holds the resolved values of one top-level workspace and the workspaces in it.
type workspaceTree struct {
	hash  uint64 // hash of the entries that the tree was resolved from
	refs  map[Ref]*Effective
	hosts map[string]int // by full name of the workspace
}

// shardCount is the number of shards that top-level workspaces are distributed over.
// A change to a workspace rebuilds one shard of a snapshot, so its cost grows with
// the change and not with the whole tree.
const shardCount = 256

// ShardOf returns the number of the shard of a top-level workspace, given the path
// that TopLevel returns.
func ShardOf(top string) int { return int(xxhash.Sum64String(top) % shardCount) }

// shard holds the top-level workspaces of one shard by name.
type shard struct {
	trees map[string]*workspaceTree
}

// Snapshot is a whole tree at one revision, immutable and safe for concurrent use.
type Snapshot struct {
	// Revision is the number of the accepted change that the snapshot reflects.
	Revision uint64
	// Fleet holds the values that concern all workspaces; it must not be modified.
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
// new entries. It shares Fleet and the other shards with s.
func (s *Snapshot) WithShards(revision uint64, changed []ShardEntries) *Snapshot {
	next := *s
	next.Revision = revision
	for _, c := range changed {
		next.shards[c.Shard] = newShard(next.Fleet, c.Entries, s.shards[c.Shard])
	}
	return &next
}

// ShardEntries are the sorted entries of one shard.
type ShardEntries struct {
	// Shard is the number returned by ShardOf.
	Shard int
	// Entries are all entries of the shard.
	Entries Declaration
}

// Resolve returns the values in effect for a request. All values are resolved when the
// snapshot is built, so that Resolve only looks them up.
func (s *Snapshot) Resolve(ref Ref) (*Effective, bool) {
	t := s.tree(ref.Workspace)
	if t == nil {
		return nil, false
	}
	e, ok := t.refs[ref]
	return e, ok
}

// HasWorkspace reports whether the workspace with the given full name is declared.
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

// Refs returns the Refs of a workspace, sorted by service and tier.
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

// tree returns the top-level workspace that contains the workspace with a full name, or nil.
func (s *Snapshot) tree(workspace string) *workspaceTree {
	top := workspace
	if i := strings.IndexByte(workspace, '/'); i >= 0 {
		top = workspace[:i]
	}
	return s.shards[shardOfWorkspace(top)].trees[top]
}

// shardOfWorkspace is ShardOf("workspaces/"+name) without an allocation.
func shardOfWorkspace(name string) int {
	const prefix = "workspaces/"
	var buf [len(prefix) + maxName]byte
	if len(name) > maxName {
		return 0
	}
	n := copy(buf[:], prefix)
	n += copy(buf[n:], name)
	return int(xxhash.Sum64(buf[:n]) % shardCount)
}

// newFleet resolves the entries outside workspaces.
func newFleet(entries Declaration) *Fleet {
	f := &Fleet{entries: entries}
	f.Tiers = splitNames(lookup(entries, "", KeyTiers, LevelFleet))
	for _, e := range entries {
		if e.Key != "" {
			continue
		}
		value := func(key string) string { return lookup(entries, e.Node, key, levelOf(e.Node)) }
		switch levelOf(e.Node) {
		case LevelModel:
			f.Models = append(f.Models, lastName(e.Node))
		case LevelEndpoint:
			slots, _ := strconv.Atoi(value(KeySlots))
			f.Endpoints = append(f.Endpoints, Endpoint{
				Name: lastName(e.Node), Address: value(KeyAddress), Zone: value(KeyZone),
				Engine: value(KeyKind) == "engine", Fenced: value(KeyFenced) == "true",
				Leaving: value(KeyState) == "leaving", Slots: slots,
			})
		case LevelPlacement:
			n, _ := strconv.Atoi(value(KeyReplicas))
			f.Placements = append(f.Placements, Placement{
				Name: lastName(e.Node), Model: value(KeyModel), Version: value(KeyVersion),
				Adapters: splitNames(value(KeyAdapters)), Role: value(KeyRole), Zone: value(KeyZone), Replicas: n,
			})
		}
	}
	return f
}

// lookup returns the value that a node sets for a key, or the key's default.
func lookup(d Declaration, node, key string, level Level) string {
	if v, ok := d.Find(node, key); ok {
		return v
	}
	return FindKey(key, level).Default
}

// newShard resolves the workspaces of one shard. It shares the workspaces whose
// entries are unchanged with previous, which may be nil and must have been resolved
// with the same fleet.
func newShard(f *Fleet, entries Declaration, previous *shard) *shard {
	sh := &shard{trees: make(map[string]*workspaceTree)}
	for i := 0; i < len(entries); {
		top := TopLevel(entries[i].Node)
		j := i
		for j < len(entries) && TopLevel(entries[j].Node) == top {
			j++
		}
		name, sum := lastName(top), hashEntries(entries[i:j])
		if previous != nil && previous.trees[name] != nil && previous.trees[name].hash == sum {
			sh.trees[name] = previous.trees[name]
		} else {
			sh.trees[name] = newWorkspaceTree(f, entries[i:j])
			sh.trees[name].hash = sum
		}
		i = j
	}
	return sh
}

// hashEntries returns a hash of entries.
func hashEntries(entries Declaration) uint64 {
	d := xxhash.New()
	for _, e := range entries {
		for _, part := range []string{e.Node, e.Key, e.Value} {
			_, _ = d.WriteString(part)
			_, _ = d.Write(separator)
		}
	}
	return d.Sum64()
}

// separator follows each hashed string, so that the bounds of the strings count.
var separator = []byte{0}

// newWorkspaceTree resolves all nodes of one top-level workspace and sets the Refs of
// each service: those without a tier refer to the service's default tier.
func newWorkspaceTree(f *Fleet, entries Declaration) *workspaceTree {
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

// WorkspaceName returns the full name of the workspace that contains the node at a path.
func WorkspaceName(node string) string {
	var names []string
	parts := strings.Split(node, "/")
	for i := 0; i+1 < len(parts) && parts[i] == "workspaces"; i += 2 {
		names = append(names, parts[i+1])
	}
	return strings.Join(names, "/")
}
