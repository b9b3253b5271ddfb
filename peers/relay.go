// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"maps"
	"slices"
	"time"
)

// sourceTimeout is the silence after which a host's report is left out of sums: three and a half heartbeats. A
// relay's report counts for two heartbeats longer, because a whole zone would be missing.
const (
	sourceTimeout = 700 * time.Millisecond
	relayTimeout  = 1100 * time.Millisecond
)

// Relay adds up the reports of hosts. In fleets where not every host can report to every other one, the hosts
// of a zone send their heartbeats to one of them, the relay; relays send each other the sums of their zones,
// and their members the sum of all. Each host then sends and receives one datagram per heartbeat, whatever the
// size of the fleet. A relay holds nothing that its successor does not receive anew within one heartbeat. It
// does no I/O, and it is not safe for concurrent use.
type Relay struct {
	// Host and Incarnation identify this host and one run of its process.
	Host        string
	Incarnation uint64

	members map[string]*source
	relays  map[string]*source
	lost    map[string]time.Duration // members that became silent, and when that was noticed
	// partialUsed and fullUsed are what members, and all hosts, used since the relay first received their
	// reports.
	partialUsed, fullUsed map[string]float64
	part                  Part // of the last digest to members
	largestPart           int  // size of the largest part since part 0, in bytes
}

// nextPart returns the part of the sum of all hosts that members get next. Call notePartSize with its size.
func (r *Relay) nextPart(full *Digest) Digest {
	r.part.Index++
	if r.part.Index >= r.part.Count {
		r.part = Part{Count: partCount(max(1, r.part.Count), r.largestPart)}
		r.largestPart = 0
	}
	return full.part(r.part)
}

// notePartSize records the size of an encoded part. Parts that fit into no datagram are made smaller at once.
func (r *Relay) notePartSize(n int) {
	r.largestPart = max(r.largestPart, n)
	if n > maxDatagramSize {
		r.part.Index = r.part.Count
	}
}

// source is the last report of a host or a relay.
type source struct {
	incarnation uint64
	seq         uint32
	receivedAt  time.Duration
	hosts       int
	address     string
	lost        []string
	report      Words
}

// init creates the maps.
func (r *Relay) init() {
	if r.members != nil {
		return
	}
	r.members, r.relays = make(map[string]*source), make(map[string]*source)
	r.lost = make(map[string]time.Duration)
	r.partialUsed, r.fullUsed = make(map[string]float64), make(map[string]float64)
}

// ReceiveHeartbeat stores a member's heartbeat.
func (r *Relay) ReceiveHeartbeat(now time.Duration, b *Heartbeat) {
	r.init()
	delete(r.lost, b.Host)
	used, ok := updateSource(r.members, b.Host, &source{incarnation: b.Incarnation, seq: b.Seq, receivedAt: now, hosts: 1, address: b.Info.Address, report: b.Words})
	if !ok {
		return
	}
	for ws, n := range used {
		r.partialUsed[ws] += n
		r.fullUsed[ws] += n
	}
}

// ReceivePartial stores another relay's partial digest.
func (r *Relay) ReceivePartial(now time.Duration, d *Digest) {
	r.init()
	used, ok := updateSource(r.relays, d.Host, &source{incarnation: d.Incarnation, seq: d.Seq, receivedAt: now, hosts: d.Hosts, address: d.Info.Address, lost: d.Lost, report: d.Words})
	if !ok {
		return
	}
	for ws, n := range used {
		r.fullUsed[ws] += n
	}
}

// updateSource stores a source's report and returns what was used there since its previous report. Counting
// starts with the first report of an incarnation. It returns false for a report that arrives after a newer
// one.
func updateSource(sources map[string]*source, name string, s *source) (map[string]float64, bool) {
	old := sources[name]
	if old != nil && old.incarnation == s.incarnation && s.seq <= old.seq {
		return nil, false
	}
	sources[name] = s
	if old == nil || old.incarnation != s.incarnation {
		return nil, true
	}
	used := make(map[string]float64)
	for ws, n := range s.report.Used {
		if delta := n - old.report.Used[ws]; delta > 0 {
			used[ws] = delta
		}
	}
	return used, true
}

// memberEcho is the address of a member, and the Seq of its report that is included in digests.
type memberEcho struct {
	address string
	seq     uint32
}

// Members returns the other hosts that send their heartbeats to this relay.
func (r *Relay) Members(now time.Duration) []memberEcho {
	r.expire(now)
	out := make([]memberEcho, 0, len(r.members))
	for name, s := range r.members {
		if name != r.Host {
			out = append(out, memberEcho{s.address, s.seq})
		}
	}
	return out
}

// RelayAddresses returns the addresses of the relays that sent their partial digests to this one.
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
		if now-s.receivedAt > sourceTimeout {
			delete(r.members, name)
			r.lost[name] = now
		}
	}
	maps.DeleteFunc(r.relays, func(_ string, s *source) bool { return now-s.receivedAt > relayTimeout })
	maps.DeleteFunc(r.lost, func(_ string, at time.Duration) bool { return now-at > lostPeriod })
}

// lostPeriod is the time for which a relay reports that a member became silent: long enough for some digests to
// be lost.
const lostPeriod = 2 * time.Second

// PartialDigest returns the sum of the members, for other relays.
func (r *Relay) PartialDigest(now time.Duration) Digest {
	r.expire(now)
	d := Digest{Host: r.Host, Incarnation: r.Incarnation, Partial: true, Echo: make(map[string]uint32)}
	var sum loadSum
	for _, s := range r.members {
		d.Hosts += s.hosts
		sum.add(&s.report)
	}
	for name, s := range r.relays {
		d.Echo[name] = s.seq
	}
	d.Load, d.Waiting, d.Zones, d.Used = sum.loads(), sum.waiting, sum.zones, maps.Clone(r.partialUsed)
	d.Lost = slices.Sorted(maps.Keys(r.lost))
	return d
}

// FullDigest returns the sum of all hosts, for the members.
func (r *Relay) FullDigest(now time.Duration) Digest {
	r.expire(now)
	d := Digest{Host: r.Host, Incarnation: r.Incarnation, Echo: make(map[string]uint32)}
	var sum loadSum
	for _, s := range r.members {
		d.Hosts += s.hosts
		sum.add(&s.report)
	}
	if self := r.members[r.Host]; self != nil {
		d.Echo[r.Host] = self.seq
	}
	d.Lost = slices.Collect(maps.Keys(r.lost))
	for _, s := range r.relays {
		d.Hosts += s.hosts
		d.Lost = append(d.Lost, s.lost...)
		sum.add(&s.report)
	}
	slices.Sort(d.Lost)
	d.Load, d.Waiting, d.Zones, d.Used = sum.loads(), sum.waiting, sum.zones, maps.Clone(r.fullUsed)
	return d
}

// loadSum adds up loads; the zero value holds none.
type loadSum struct {
	sum        map[string]Load
	stepCounts map[string]int64 // number of times per token in the sum, by endpoint
	waiting    map[string][]int
	zones      ZoneDemands
}

// add adds the loads of a report.
func (s *loadSum) add(w *Words) {
	if s.sum == nil {
		s.sum, s.stepCounts = make(map[string]Load), make(map[string]int64)
		s.waiting, s.zones = make(map[string][]int), make(ZoneDemands)
	}
	s.zones.Add(w.Zones, 1)
	for name, l := range w.Load {
		sum := s.sum[name]
		sum.Running += l.Running
		sum.Prefill += l.Prefill
		sum.Silent += l.Silent
		sum.Step += l.Step
		sum.Good += l.Good
		sum.Bad += l.Bad
		s.sum[name] = sum
		if l.Step > 0 {
			s.stepCounts[name]++
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

// loads returns the sums, with the mean time per token.
func (s *loadSum) loads() map[string]Load {
	for name, n := range s.stepCounts {
		l := s.sum[name]
		l.Step /= n
		s.sum[name] = l
	}
	return s.sum
}
