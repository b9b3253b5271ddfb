// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// floor is the lowest tier that a pool accepts after a request was refused for lack of capacity.
type floor struct {
	rank  int
	until time.Duration
}

// excludes reports whether the floor excludes a tier.
func (f *floor) excludes(now time.Duration, rank int) bool {
	return now < f.until && rank > f.rank
}

// raise sets the floor to a tier that was refused, in force until the given time, unless a floor at
// a higher tier is in force. A floor at the same tier is only extended.
func (f *floor) raise(now time.Duration, rank int, until time.Duration) {
	if now >= f.until || rank < f.rank {
		f.rank, f.until = rank, until
		return
	}
	if rank == f.rank {
		f.until = max(f.until, until)
	}
}

// FloorState is a floor as hosts report it to each other.
type FloorState struct {
	// Pool is the pool's key and Rank the lowest tier accepted.
	Pool uint64
	Rank int
	// Age is the time since the refusal that set it.
	Age time.Duration
}

// maxFloors limits the floors reported.
const maxFloors = 8

// Floors returns the floors in force, at most maxFloors.
func (s *Scheduler) Floors(now time.Duration) []FloorState {
	var out []FloorState
	for _, p := range s.pools {
		if now < p.floor.until && len(out) < maxFloors {
			age := s.cfg.FloorDuration - (p.floor.until - now)
			out = append(out, FloorState{p.key, p.floor.rank, max(0, age)})
		}
	}
	return out
}

// SetFloor applies a floor reported by another host.
func (s *Scheduler) SetFloor(now time.Duration, f FloorState) {
	p := s.pools[f.Pool]
	until := now + s.cfg.FloorDuration - f.Age
	if p == nil || s.cfg.Disabled.Floor || until <= now || f.Rank < 0 {
		return
	}
	p.floor.raise(now, f.Rank, until)
}

// raiseFloor raises the floor of a pool to the tier of a request that was refused for lack of
// capacity.
func (s *Scheduler) raiseFloor(now time.Duration, p *pool, rank int) {
	if !s.cfg.Disabled.Floor {
		p.floor.raise(now, rank, now+s.cfg.FloorDuration)
	}
}
