// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"maps"
	"slices"
	"time"
)

// sourceLife is the silence after which what a host told is left out of sums: three
// heartbeats and a part of one. What a relay told counts for two heartbeats more, since a
// whole zone would be missing.
const (
	sourceLife = 700 * time.Millisecond
	relayLife  = 1100 * time.Millisecond
)

// Relay adds up what hosts tell it. In fleets where not every host can be told by every
// other one, the hosts of a zone send their heartbeats to one of them, the relay; relays
// tell each other the sums of their zones, and their members the sum of all. Every host
// then sends and hears one datagram at a time, whatever the size of the fleet. A relay
// holds nothing that its successor does not hear anew within a heartbeat. It is pure and not
// safe for concurrent use.
type Relay struct {
	// Host and Life name this host.
	Host        string
	Incarnation uint64

	members map[string]*source
	relays  map[string]*source
	lost    map[string]time.Duration // members that fell silent, and when that was seen
	// partUsed and wholeUsed are what members, and all hosts, used since the relay began
	// to hear them.
	partUsed, wholeUsed map[string]float64
}

// source is what a host or a relay told last.
type source struct {
	incarnation uint64
	seq         uint32
	heard       time.Duration
	hosts       int
	address     string
	lost        []string
	words       Words
}

// init makes the maps.
func (r *Relay) init() {
	if r.members != nil {
		return
	}
	r.members, r.relays = make(map[string]*source), make(map[string]*source)
	r.lost = make(map[string]time.Duration)
	r.partUsed, r.wholeUsed = make(map[string]float64), make(map[string]float64)
}

// ReceiveHeartbeat takes a member's heartbeat.
func (r *Relay) ReceiveHeartbeat(now time.Duration, b *Heartbeat) {
	r.init()
	delete(r.lost, b.Host)
	used, ok := hear(r.members, b.Host, &source{incarnation: b.Incarnation, seq: b.Seq, heard: now, hosts: 1, address: b.Info.Address, words: b.Words})
	if !ok {
		return
	}
	for ws, n := range used {
		r.partUsed[ws] += n
		r.wholeUsed[ws] += n
	}
}

// ReceivePartial takes another relay's part.
func (r *Relay) ReceivePartial(now time.Duration, d *Digest) {
	r.init()
	used, ok := hear(r.relays, d.Host, &source{incarnation: d.Incarnation, seq: d.Seq, heard: now, hosts: d.Hosts, address: d.Info.Address, lost: d.Lost, words: d.Words})
	if !ok {
		return
	}
	for ws, n := range used {
		r.wholeUsed[ws] += n
	}
}

// hear notes what a source told and returns what was used there since its last words. The
// first words of a life are where the counting starts. It returns false for words that
// were overtaken.
func hear(from map[string]*source, name string, s *source) (map[string]float64, bool) {
	old := from[name]
	if old != nil && old.incarnation == s.incarnation && s.seq <= old.seq {
		return nil, false
	}
	from[name] = s
	if old == nil || old.incarnation != s.incarnation {
		return nil, true
	}
	used := make(map[string]float64)
	for ws, n := range s.words.Used {
		if more := n - old.words.Used[ws]; more > 0 {
			used[ws] = more
		}
	}
	return used, true
}

// MemberAddresses are the addresses of the other hosts that send their heartbeats here.
func (r *Relay) MemberAddresses(now time.Duration) []string {
	r.expire(now)
	var out []string
	for name, s := range r.members {
		if name != r.Host {
			out = append(out, s.address)
		}
	}
	return out
}

// RelayAddresses are the addresses of the relays that sent their parts here.
func (r *Relay) RelayAddresses(now time.Duration) []string {
	r.expire(now)
	var out []string
	for _, s := range r.relays {
		out = append(out, s.address)
	}
	return out
}

// expire drops what is too old to be added up.
func (r *Relay) expire(now time.Duration) {
	r.init()
	for name, s := range r.members {
		if now-s.heard > sourceLife {
			delete(r.members, name)
			r.lost[name] = now
		}
	}
	maps.DeleteFunc(r.relays, func(_ string, s *source) bool { return now-s.heard > relayLife })
	maps.DeleteFunc(r.lost, func(_ string, at time.Duration) bool { return now-at > lostFor })
}

// lostFor is the time for which a relay tells that a member fell silent: enough for some
// digests to be lost on the way.
const lostFor = 2 * time.Second

// PartialDigest is the sum of the members, for other relays.
func (r *Relay) PartialDigest(now time.Duration) Digest {
	r.expire(now)
	d := Digest{Host: r.Host, Incarnation: r.Incarnation, Partial: true, Echo: make(map[string]uint32)}
	var sum loadSum
	for _, s := range r.members {
		d.Hosts += s.hosts
		sum.add(&s.words)
	}
	for name, s := range r.relays {
		d.Echo[name] = s.seq
	}
	d.Load, d.Waiting, d.Used = sum.loads(), sum.waiting, maps.Clone(r.partUsed)
	d.Lost = slices.Sorted(maps.Keys(r.lost))
	return d
}

// FullDigest is the sum of all hosts, for the members.
func (r *Relay) FullDigest(now time.Duration) Digest {
	r.expire(now)
	d := Digest{Host: r.Host, Incarnation: r.Incarnation, Echo: make(map[string]uint32)}
	var sum loadSum
	for name, s := range r.members {
		d.Hosts += s.hosts
		d.Echo[name] = s.seq
		sum.add(&s.words)
	}
	d.Lost = slices.Collect(maps.Keys(r.lost))
	for _, s := range r.relays {
		d.Hosts += s.hosts
		d.Lost = append(d.Lost, s.lost...)
		sum.add(&s.words)
	}
	slices.Sort(d.Lost)
	d.Load, d.Waiting, d.Used = sum.loads(), sum.waiting, maps.Clone(r.wholeUsed)
	return d
}

// loadSum adds up loads; the zero value holds none.
type loadSum struct {
	load    map[string]Load
	steps   map[string]int64 // number of times of a token in the sum of load
	waiting map[string][]int
}

// add adds the loads of some words.
func (s *loadSum) add(w *Words) {
	if s.load == nil {
		s.load, s.steps = make(map[string]Load), make(map[string]int64)
		s.waiting = make(map[string][]int)
	}
	for name, l := range w.Load {
		sum := s.load[name]
		sum.Running += l.Running
		sum.Prefill += l.Prefill
		sum.Step += l.Step
		sum.Good += l.Good
		sum.Bad += l.Bad
		s.load[name] = sum
		if l.Step > 0 {
			s.steps[name]++
		}
	}
	for service, tiers := range w.Waiting {
		for len(s.waiting[service]) < len(tiers) {
			s.waiting[service] = append(s.waiting[service], 0)
		}
		for k, n := range tiers {
			s.waiting[service][k] += n
		}
	}
}

// loads gives the sums, with the mean time of a token.
func (s *loadSum) loads() map[string]Load {
	for name, n := range s.steps {
		l := s.load[name]
		l.Step /= n
		s.load[name] = l
	}
	return s.load
}
