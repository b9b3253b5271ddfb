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
	// grantLife is the time in which a granted place is to be taken: a datagram each way between regions' zones, and the
	// wait for a slow host's turn of its processor.
	grantLife = 80 * time.Millisecond
	// askLife is the time for which a host is taken to want a place after it said so: it says so again sooner.
	askLife = 120 * time.Millisecond
	// rowLife is the silence after which what a host told counts no more: twice the time after which it tells its
	// requests again, and half of one.
	rowLife = 2500 * time.Millisecond
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
	rows map[string]*row
}

// row is what a host told.
type row struct {
	life    uint64
	seq     uint32
	running int
	rank    int
	heard   time.Duration
	granted int
	until   time.Duration // until when what was granted may be taken
}

// Update takes what a host told in a life of its process. Words that were overtaken do not count. Requests that it has begun since took what
// was granted.
func (b *Allocator) Update(now time.Duration, host string, life uint64, seq uint32, a Request) {
	if b.rows == nil {
		b.rows = make(map[string]*row)
	}
	r := b.rows[host]
	if r == nil || r.life != life || now-r.heard > rowLife {
		r = &row{life: life}
		b.rows[host] = r
	}
	if seq <= r.seq && r.seq != 0 && r.seq-seq < 1<<31 {
		return
	}
	a.Running = max(0, a.Running)
	r.granted = max(0, r.granted-max(0, a.Running-r.running))
	if a.Returned {
		r.granted = 0
	}
	r.seq, r.running, r.rank, r.heard = seq, a.Running, a.Rank, now
}

// Running is the number of requests there, as far as the hosts told.
func (b *Allocator) Running(now time.Duration) int {
	n := 0
	for host, r := range b.rows {
		if now-r.heard > rowLife {
			delete(b.rows, host)
			continue
		}
		n += r.running
	}
	return n
}

// Allocate grants the free places: limit tells how many requests may be there for one of a tier to be added. It returns
// the hosts that got one, the upper tiers first and drawn at random within a tier.
func (b *Allocator) Allocate(now time.Duration, limit func(rank int) int, r *rand.Rand) []string {
	taken := b.Running(now)
	for _, w := range b.rows {
		if now >= w.until {
			w.granted = 0
		}
		taken += w.granted
	}
	var out []string
	for {
		host := b.next(now, r)
		if host == "" || taken >= limit(b.rows[host].rank) {
			return out
		}
		w := b.rows[host]
		w.granted++
		w.until = now + grantLife
		taken++
		out = append(out, host)
	}
}

// next draws one of the hosts that want a place for the highest tier and have none granted.
func (b *Allocator) next(now time.Duration, r *rand.Rand) string {
	best, n := "", 0
	for host, w := range b.rows {
		if w.rank < 0 || w.granted > 0 || now-w.heard > askLife {
			continue
		}
		switch {
		case best == "" || w.rank < b.rows[best].rank:
			best, n = host, 1
		case w.rank == b.rows[best].rank:
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
	for name, r := range b.rows {
		if name != host && now < r.until {
			n += r.granted
		}
	}
	if r := b.rows[host]; r != nil {
		n -= r.running
	}
	return n
}
