// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package mesh

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/fleet"
	"github.com/heathkeel/heathkeel/keyval"
	"github.com/heathkeel/heathkeel/once"
	"github.com/heathkeel/heathkeel/revision"
	"github.com/heathkeel/heathkeel/settings"
)

// Mesh is a set of hosts that reach each other by function calls. Its exported fields must be set
// before hosts are added.
type Mesh struct {
	// Latency is the one-way latency of a message.
	Latency time.Duration
	// HeartbeatInterval is the time between heartbeats; 0 means fleet.DefaultInterval.
	HeartbeatInterval time.Duration
	// Zones are assigned to hosts in turn.
	Zones []string
	// HostList is the platform's list of hosts; it may be nil.
	HostList keyval.HostList

	mu          sync.Mutex
	nodes       map[string]*Node
	partitioned func(a, b *Node) bool
}

// Node is a host of a mesh.
type Node struct {
	// Agent and Follower run the host's membership and settings.
	Agent    *fleet.Agent
	Follower *revision.Follower
	// Name and Zone identify the host.
	Name, Zone string
	// Bytes counts the bytes of JSON that the host sent and received in heartbeats and settings.
	Bytes atomic.Int64
	// Messages counts the heartbeats that the host sent or answered.
	Messages atomic.Int64

	mesh   *Mesh
	cancel context.CancelFunc
	killed atomic.Bool
}

// SetPartition sets the function that reports which pairs of hosts cannot reach each other; nil
// means none.
func (m *Mesh) SetPartition(partitioned func(a, b *Node) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.partitioned = partitioned
}

// Add starts a host that uses kv as its key-value service. The first two hosts of each zone watch
// the head.
func (m *Mesh) Add(ctx context.Context, kv keyval.KV) *Node {
	m.mu.Lock()
	i := len(m.nodes)
	n := &Node{Name: fmt.Sprintf("host-%04d", i), Zone: m.Zones[i%len(m.Zones)], mesh: m}
	if m.nodes == nil {
		m.nodes = make(map[string]*Node)
	}
	m.nodes[n.Name] = n
	m.mu.Unlock()
	ctx, n.cancel = context.WithCancel(ctx)
	n.Follower = &revision.Follower{
		KV: kv, Peers: n, Log: logr.Discard(),
		Relay:     func() bool { return i < 2*len(m.Zones) },
		HostCount: m.hostCount,
	}
	n.Agent = &fleet.Agent{
		Clock:     clock.NewSteady(),
		Self:      fleet.Host{Name: n.Name, Incarnation: once.Incarnation(i + 1), Address: n.Name, Zone: n.Zone},
		Transport: n, List: m.HostList, Interval: m.HeartbeatInterval, Seed: uint64(i), Log: logr.Discard(),
		Revision: n.Follower.Revision,
	}
	n.Agent.OnNewerRevision = func(rev uint64, address string) {
		go func() {
			if n.Follower.Pull(ctx, rev, address) == nil {
				n.Agent.SendNow()
			}
		}()
	}
	n.Follower.OnSnapshot = func(*settings.Snapshot) { n.Agent.SendNow() }
	go n.Agent.Run(ctx)
	go n.Follower.Run(ctx)
	return n
}

// hostCount returns the number of hosts.
func (m *Mesh) hostCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.nodes)
}

// Kill ends the host without notice to others.
func (n *Node) Kill() {
	n.killed.Store(true)
	n.cancel()
}

// errUnreachable means that a message got no answer.
var errUnreachable = errors.New("mesh: no answer")

// reach waits for a round trip and returns the host at an address. If that host cannot be reached,
// it blocks until ctx ends.
func (n *Node) reach(ctx context.Context, address string) (*Node, error) {
	m := n.mesh
	m.mu.Lock()
	to, partitioned := m.nodes[address], m.partitioned
	m.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(2 * m.Latency):
	}
	if to == nil || to.killed.Load() || n.killed.Load() || (partitioned != nil && partitioned(n, to)) {
		<-ctx.Done()
		return nil, errUnreachable
	}
	return to, nil
}

// Heartbeat implements fleet.Transport. Messages are encoded as on the wire.
func (n *Node) Heartbeat(ctx context.Context, address string, hb *fleet.Heartbeat) (*fleet.Heartbeat, error) {
	to, err := n.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	var in, out fleet.Heartbeat
	if err := n.transcode(to, hb, &in); err != nil {
		return nil, err
	}
	n.Messages.Add(1)
	to.Messages.Add(1)
	return &out, n.transcode(to, to.Agent.Receive(&in), &out)
}

// transcode encodes a message as JSON, decodes it, and counts its bytes at both hosts.
func (n *Node) transcode(to *Node, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	n.Bytes.Add(int64(len(b)))
	to.Bytes.Add(int64(len(b)))
	return json.Unmarshal(b, out)
}

// Head implements revision.Peer.
func (n *Node) Head(ctx context.Context, address string) ([]byte, error) {
	return n.fetch(ctx, address, func(to *Node) []byte { return to.Follower.Head() })
}

// Chunk implements revision.Peer.
func (n *Node) Chunk(ctx context.Context, address, digest string) ([]byte, error) {
	return n.fetch(ctx, address, func(to *Node) []byte { return to.Follower.Chunk(digest) })
}

// fetch reads data from another host and counts its bytes at both hosts.
func (n *Node) fetch(ctx context.Context, address string, get func(*Node) []byte) ([]byte, error) {
	to, err := n.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	b := get(to)
	if b == nil {
		return nil, errUnreachable
	}
	n.Bytes.Add(int64(len(b)))
	to.Bytes.Add(int64(len(b)))
	return b, nil
}

// LiveCount returns the number of hosts that n considers live, itself included.
func (n *Node) LiveCount() int {
	live := 0
	n.Agent.View(func(t *fleet.Table) { live = len(t.Live()) })
	return live
}

// ConsidersLive reports whether n considers another host live.
func (n *Node) ConsidersLive(other *Node) bool {
	live := false
	id := other.Agent.Self.Incarnation
	n.Agent.View(func(t *fleet.Table) {
		h, ok := t.Find(id)
		live = ok && h.Live()
	})
	return live
}
