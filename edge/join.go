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
	// entriesKept is the number of hosts that keep an entry in the store. Hosts that start and find
	// no seed that answers are told of all others by any one of them; with eight in several
	// zones, the loss of a zone and of three hosts besides leaves some.
	entriesKept = 8
	// entriesMost is the place up to which a host that keeps an entry goes on doing so: hosts that come and go
	// near the last place would write entries in turn.
	entriesMost = 12
	// manyHosts is the number of hosts from which one that starts lets peers tell it what they read. In
	// smaller fleets a start costs 64 calls at most, and the time of a host counts for more.
	manyHosts = 32
	// firstPatience is the time for which hosts that all start for the first time wait for the seeds to
	// read for them, before callers come; startPatience is that of a start among many: a seed's
	// proof comes within 21 ms (TestStartersAreTold), and two questions to it follow.
	// As much again is drawn, so that those which were not told do not all read at once.
	firstPatience = 400 * time.Millisecond
	startPatience = 120 * time.Millisecond
	// startLook is the time between two looks for what peers told.
	startLook = 5 * time.Millisecond
	// joinTime is the time after a start for which a host that knows less than half of the
	// hosts, by the entries in the store, lets others read: it cannot know its turn.
	joinTime = 3 * time.Second
	// sizeSteps is the factor between two numbers of hosts that entries tell, so that an
	// entry is seldom written anew.
	sizeSteps = 1.25
)

// follow keeps up with the store, after peers had the time to tell this host what they read.
func (h *Host) follow(ctx context.Context) {
	if !h.isSeed() && h.Boot.Bootstrap {
		h.awaitPeers(ctx, firstPatience)
	}
	go h.entry.Run(ctx)
	if !h.isSeed() && !h.Boot.Bootstrap && h.awaitEntries(ctx) >= manyHosts {
		h.awaitPeers(ctx, startPatience)
	}
	go h.settings.Run(ctx)
	h.endpoints.Run(ctx)
}

// isSeed tells whether this host is one of those that hosts ask first. One that has no other
// to ask counts as one.
func (h *Host) isSeed() bool { return len(h.seeds(h.Boot.Seeds)) < max(1, len(h.Boot.Seeds)) }

// awaitPeers waits until peers told all that is needed, or a time drawn between one and two patiences.
func (h *Host) awaitPeers(ctx context.Context, patience time.Duration) {
	until := h.now() + patience + rand.N(patience)
	for h.now() < until && !h.ready() && ctx.Err() == nil {
		time.Sleep(startLook)
	}
}

// awaitEntries waits for the entries of hosts in the store and returns how many hosts there are by
// them, 0 if they are not told soon.
func (h *Host) awaitEntries(ctx context.Context) int {
	for until := h.now() + startPatience; h.now() < until && h.found.Load() == 0 && ctx.Err() == nil; {
		time.Sleep(startLook)
	}
	return int(h.found.Load())
}

// foundHosts takes the hosts' entries in the store.
func (h *Host) foundHosts(items []feed.Item) {
	var seeds []string
	hosts := max(1, len(items))
	for _, it := range items {
		e := feed.ParseHostEntry(it.Value)
		seeds = append(seeds, e.Address)
		hosts = max(hosts, e.HostCount)
	}
	h.agent.SetExtraSeeds(seeds)
	h.found.Store(int64(hosts))
	h.shareHosts()
}

// entryValue is this host's entry. A large number of hosts in it is rounded up.
func (h *Host) entryValue() []byte {
	n := h.knownHosts()
	if n >= manyHosts {
		step := math.Ceil(math.Log(float64(n)) / math.Log(sizeSteps))
		n = int(math.Ceil(math.Pow(sizeSteps, step)))
	}
	return feed.HostEntry{Address: h.peerAddress(), HostCount: n}.Encode()
}

// knownHosts is the number of hosts that may run, this one included.
func (h *Host) knownHosts() int { return 1 + len(h.agent.Unexpired()) }

// keepsEntry tells whether this host is one of those that keep an entry in the store.
func (h *Host) keepsEntry() bool {
	most := entriesKept
	if h.keeping {
		most = entriesMost
	}
	h.keeping = h.agent.Rank() < most
	return h.keeping
}

// turn is this host's place in the order in which hosts read the store for each other.
func (h *Host) turn() int {
	turn, _ := h.agent.ReadRank()
	if found := int(h.found.Load()); turn > 0 && h.now() < joinTime && found >= manyHosts && 2*h.knownHosts() < found {
		return found
	}
	return turn
}

// far tells whether proofs of peers reach this host by way of relays.
func (h *Host) far() bool {
	_, far := h.agent.ReadRank()
	return far
}
