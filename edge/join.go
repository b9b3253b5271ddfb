// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/heathkeel/heathkeel/feed"
)

// How hosts find each other, and who of them asks the store. Calls to the store are priced, and a
// fleet that starts at once would make four for each host: two readings, a lease and an entry.
// docs/design/membership.md has the ways weighed and the calls counted.

const (
	// registeredHosts is the number of hosts that keep an entry in the store. Hosts that start and find
	// no seed that answers are told of all others by any one of them; with eight in several
	// zones, the loss of a zone and of three hosts besides leaves some.
	registeredHosts = 8
	// maxRegisteredRank is the place up to which a host that keeps an entry goes on doing so: hosts that come and go
	// near the last place would write entries in turn.
	maxRegisteredRank = 12
	// largeFleet is the number of hosts from which one that starts lets peers tell it what they read. In
	// smaller fleets a start costs 64 calls at most, and the time of a host counts for more.
	largeFleet = 32
	// firstStartWait is the time for which hosts that all start for the first time wait for the seeds to
	// read for them, before callers come; startPatience is that of a start among many: a seed's
	// proof comes within 21 ms (TestStartersAreTold), and two questions to it follow.
	// As much again is drawn, so that those which were not told do not all read at once.
	firstStartWait = 400 * time.Millisecond
	startWait      = 120 * time.Millisecond
	// startPollInterval is the time between two looks for what peers told.
	startPollInterval = 5 * time.Millisecond
	// joinPeriod is the time after a start for which a host that knows less than half of the
	// hosts, by the entries in the store, lets others read: it cannot know its turn.
	joinPeriod = 3 * time.Second
	// hostCountStep is the factor between two numbers of hosts that entries tell, so that an
	// entry is seldom written anew.
	hostCountStep = 1.25
)

// followStore keeps up with the store, after peers had the time to tell this host what they read.
func (h *Host) followStore(ctx context.Context) {
	if !h.isSeed() && h.Boot.First {
		h.awaitPeers(ctx, firstStartWait)
	}
	go h.hostRegistry.Run(ctx)
	if !h.isSeed() && !h.Boot.First && h.awaitHostCount(ctx) >= largeFleet {
		h.awaitPeers(ctx, startWait)
	}
	go h.settings.Run(ctx)
	h.endpoints.Run(ctx)
}

// isSeed tells whether this host is one of those that hosts ask first. One that has no other
// to ask counts as one.
func (h *Host) isSeed() bool { return len(h.seedAddresses(h.Boot.Seeds)) < max(1, len(h.Boot.Seeds)) }

// awaitPeers waits until peers told all that is needed, or a time drawn between one and two patiences.
func (h *Host) awaitPeers(ctx context.Context, minWait time.Duration) {
	until := h.now() + minWait + rand.N(minWait)
	for h.now() < until && !h.ready() && ctx.Err() == nil {
		time.Sleep(startPollInterval)
	}
}

// awaitHostCount waits for the entries of hosts in the store and returns how many hosts there are by
// them, 0 if they are not told soon.
func (h *Host) awaitHostCount(ctx context.Context) int {
	for until := h.now() + startWait; h.now() < until && h.hostsInStore.Load() == 0 && ctx.Err() == nil; {
		time.Sleep(startPollInterval)
	}
	return int(h.hostsInStore.Load())
}

// applyHostEntries takes the hosts' entries in the store.
func (h *Host) applyHostEntries(items []feed.Item) {
	var seeds []string
	count := max(1, len(items))
	for _, it := range items {
		e := feed.ParseHostEntry(it.Value)
		seeds = append(seeds, e.Address)
		count = max(count, e.HostCount)
	}
	h.agent.SetExtraSeeds(seeds)
	h.hostsInStore.Store(int64(count))
	h.applyHostCount()
}

// hostEntry is this host's entry. A large number of hosts in it is rounded up.
func (h *Host) hostEntry() []byte {
	n := h.hostCount()
	if n >= largeFleet {
		step := math.Ceil(math.Log(float64(n)) / math.Log(hostCountStep))
		n = int(math.Ceil(math.Pow(hostCountStep, step)))
	}
	return feed.HostEntry{Address: h.peerAddress(), HostCount: n}.Encode()
}

// hostCount is the number of hosts that may run, this one included.
func (h *Host) hostCount() int { return 1 + len(h.agent.Unexpired()) }

// shouldRegister tells whether this host is one of those that keep an entry in the store.
func (h *Host) shouldRegister() bool {
	maxRank := registeredHosts
	if h.registered {
		maxRank = maxRegisteredRank
	}
	h.registered = h.agent.Rank() < maxRank
	return h.registered
}

// readRank is this host's place in the order in which hosts read the store for each other.
func (h *Host) readRank() int {
	rank, _ := h.agent.Turn()
	if inStore := int(h.hostsInStore.Load()); rank > 0 && h.now() < joinPeriod && inStore >= largeFleet && 2*h.hostCount() < inStore {
		return inStore
	}
	return rank
}

// viaRelay tells whether proofs of peers reach this host by way of relays.
func (h *Host) viaRelay() bool {
	_, viaRelay := h.agent.Turn()
	return viaRelay
}
