// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package places

import (
	"math/rand/v2"
	"time"
)

// Figures of the book.
const (
	// grantTTL is the time in which a granted place is to be taken: a datagram each way between regions' zones, and the
	// wait for a slow host's turn of its processor.
	grantTTL = 80 * time.Millisecond
	// requestTTL is the time for which a host is taken to want a place after it said so: it says so again sooner.
	requestTTL = 120 * time.Millisecond
	// hostTTL is the silence after which what a host told counts no more: twice the time after which it tells its
	// requests again, and half of one.
	hostTTL = 2500 * time.Millisecond
)

// Request is what a host tells the owner of an endpoint's places.
type Request struct {
	// Running is the number of its requests there.
	Running int `json:"r"`
	// Rank is the highest tier for which it wants a place, 0 the highest, -1 for none.
	Rank int `json:"k"`
	// Returned says that a place which was granted is not taken. A host that wants none may have one granted all the same, on its
	// way.
	Returned bool `json:"b,omitempty"`
}

// Grant is what the owner answers.
type Grant struct {
	// Slots is the number of places that the host may take.
	Slots int `json:"p,omitempty"`
	// Running is the number of requests of all hosts there.
	Running int `json:"r"`
}

// Allocator is what an owner knows of one endpoint. The zero value knows nothing.
type Allocator struct {
	hosts map[string]*hostState
}

// hostState is what a host told.
type hostState struct {
	incarnation uint64
	seq         uint32
	running     int
	rank        int
	updatedAt   time.Duration
	granted     int
	grantExpiry time.Duration // until when what was granted may be taken
}

// Update takes what a host told in a life of its process. Words that were overtaken do not count. Requests that it has begun since took what
// was granted.
func (b *Allocator) Update(now time.Duration, host string, incarnation uint64, seq uint32, req Request) {
	if b.hosts == nil {
		b.hosts = make(map[string]*hostState)
	}
	h := b.hosts[host]
	if h == nil || h.incarnation != incarnation || now-h.updatedAt > hostTTL {
		h = &hostState{incarnation: incarnation}
		b.hosts[host] = h
	}
	if seq <= h.seq && h.seq != 0 && h.seq-seq < 1<<31 {
		return
	}
	req.Running = max(0, req.Running)
	h.granted = max(0, h.granted-max(0, req.Running-h.running))
	if req.Returned {
		h.granted = 0
	}
	h.seq, h.running, h.rank, h.updatedAt = seq, req.Running, req.Rank, now
}

// Running is the number of requests there, as far as the hosts told.
func (b *Allocator) Running(now time.Duration) int {
	n := 0
	for host, h := range b.hosts {
		if now-h.updatedAt > hostTTL {
			delete(b.hosts, host)
			continue
		}
		n += h.running
	}
	return n
}

// Allocate grants the free places: limit tells how many requests may be there for one of a tier to be added. It returns
// the hosts that got one, the upper tiers first and drawn at random within a tier.
func (b *Allocator) Allocate(now time.Duration, limit func(rank int) int, r *rand.Rand) []string {
	used := b.Running(now)
	for _, h := range b.hosts {
		if now >= h.grantExpiry {
			h.granted = 0
		}
		used += h.granted
	}
	var out []string
	for {
		host := b.next(now, r)
		if host == "" || used >= limit(b.hosts[host].rank) {
			return out
		}
		h := b.hosts[host]
		h.granted++
		h.grantExpiry = now + grantTTL
		used++
		out = append(out, host)
	}
}

// next draws one of the hosts that want a place for the highest tier and have none granted.
func (b *Allocator) next(now time.Duration, r *rand.Rand) string {
	best, n := "", 0
	for host, h := range b.hosts {
		if h.rank < 0 || h.granted > 0 || now-h.updatedAt > requestTTL {
			continue
		}
		switch {
		case best == "" || h.rank < b.hosts[best].rank:
			best, n = host, 1
		case h.rank == b.hosts[best].rank:
			n++
			if r.IntN(n) == 0 {
				best = host
			}
		}
	}
	return best
}

// OthersRunning is the number of requests of all hosts but one, granted places counted as taken.
func (b *Allocator) OthersRunning(now time.Duration, host string) int {
	n := b.Running(now)
	for name, h := range b.hosts {
		if name != host && now < h.grantExpiry {
			n += h.granted
		}
	}
	if h := b.hosts[host]; h != nil {
		n -= h.running
	}
	return n
}
