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

// Hosts find each other through seeds and through entries in the store. Calls to the store are
// priced, and a fleet that starts at once would make four calls per host: two reads, a lease and an
// entry. docs/design/membership.md has the alternatives and the number of calls of each.

const (
	// registeredHosts is the number of hosts that keep an entry in the store. A host that starts
	// and gets no answer from a seed learns of all other hosts from any one of these. With eight of
	// them in several zones, some remain after the loss of a zone and of three other hosts.
	registeredHosts = 8
	// maxRegisteredRank is the rank below which a host that keeps an entry continues to do so.
	// Without this margin, hosts that join and leave near the last rank would make others write
	// entries alternately.
	maxRegisteredRank = 12
	// largeFleet is the number of hosts from which a starting host waits for peers to send what
	// they read. In smaller fleets a start costs at most 64 calls, and a quick start matters
	// more.
	largeFleet = 32
	// firstStartWait is how long hosts that all start for the first time, before callers arrive,
	// wait for the seeds to read for them. startWait is the same for a host that starts in a large
	// fleet: a seed's proof arrives within 21 ms (TestStartingHostsGetProofs), and two fetches from
	// the seed follow. Up to the same time again is added at random, so that hosts that received
	// nothing do not all read at once.
	firstStartWait = 400 * time.Millisecond
	startWait      = 120 * time.Millisecond
	// maxStartWait is the longest time for which a starting host waits while peers prove that they have what it
	// needs: fetching it may take several attempts while hundreds of hosts start. proofPause is the time without
	// such a proof after which it reads the store.
	maxStartWait = 4 * time.Second
	proofPause   = 500 * time.Millisecond
	// startPollInterval is the time between two checks for what peers sent.
	startPollInterval = 5 * time.Millisecond
	// joinPeriod is the time after a start for which a host that knows less than half of the hosts
	// that exist according to the store's entries lets others read, because it cannot know its
	// rank.
	joinPeriod = 3 * time.Second
	// hostCountStep is the factor between two host counts written to entries, so that an entry is
	// rarely rewritten.
	hostCountStep = 1.25
)

// followStore reads the store until ctx ends, after giving peers time to send what they read.
func (h *Host) followStore(ctx context.Context) {
	if !h.isSeed() && h.Boot.Bootstrap {
		h.awaitPeers(ctx, firstStartWait)
	}
	go h.hostRegistry.Run(ctx)
	if !h.isSeed() && !h.Boot.Bootstrap && h.awaitHostCount(ctx) >= largeFleet {
		h.awaitPeers(ctx, startWait)
	}
	go h.settings.Run(ctx)
	h.endpoints.Run(ctx)
}

// isSeed reports whether this host is one of the seeds. A host without another seed to ask counts
// as one.
func (h *Host) isSeed() bool { return len(h.seedAddresses(h.Boot.Seeds)) < max(1, len(h.Boot.Seeds)) }

// awaitPeers waits until peers have sent all that the host needs to be ready, or for a random time
// from minWait to twice minWait, and longer while peers prove that they have it.
func (h *Host) awaitPeers(ctx context.Context, minWait time.Duration) {
	start := h.now()
	until := start + minWait + rand.N(minWait)
	for !h.ready() && ctx.Err() == nil {
		now := h.now()
		proven := h.provenAt.Load() > 0 && now-time.Duration(h.provenAt.Load()) < proofPause && now-start < maxStartWait
		if now >= until && !proven {
			return
		}
		time.Sleep(startPollInterval)
	}
}

// awaitHostCount waits for the hosts' entries in the store and returns the number of hosts
// according to them, or 0 if it is not known within startWait.
func (h *Host) awaitHostCount(ctx context.Context) int {
	for until := h.now() + startWait; h.now() < until && h.hostsInStore.Load() == 0 && ctx.Err() == nil; {
		time.Sleep(startPollInterval)
	}
	return int(h.hostsInStore.Load())
}

// applyHostEntries applies the hosts' entries in the store.
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

// hostEntry returns the value of this host's entry. A large number of hosts is rounded up to a
// power of hostCountStep.
func (h *Host) hostEntry() []byte {
	n := h.hostCount()
	if n >= largeFleet {
		step := math.Ceil(math.Log(float64(n)) / math.Log(hostCountStep))
		n = int(math.Ceil(math.Pow(hostCountStep, step)))
	}
	return feed.HostEntry{Address: h.peerAddress(), HostCount: n}.Encode()
}

// hostCount returns the number of hosts that may be running, including this one.
func (h *Host) hostCount() int { return 1 + len(h.agent.Unexpired()) }

// shouldRegister reports whether this host has to keep an entry in the store.
func (h *Host) shouldRegister() bool {
	maxRank := registeredHosts
	if h.registered {
		maxRank = maxRegisteredRank
	}
	h.registered = h.agent.Rank() < maxRank
	return h.registered
}

// readRank returns this host's rank in the order in which hosts read the store for each other.
func (h *Host) readRank() int {
	rank, _ := h.agent.ReadRank()
	if inStore := int(h.hostsInStore.Load()); rank > 0 && h.now() < joinPeriod && inStore >= largeFleet && 2*h.hostCount() < inStore {
		return inStore
	}
	return rank
}

// viaRelay reports whether proofs of peers reach this host through relays.
func (h *Host) viaRelay() bool {
	_, viaRelay := h.agent.ReadRank()
	return viaRelay
}
