// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heathkeel/heathkeel/origin"
)

// Parameters of telling where streams began.
const (
	// originWitnesses is the number of hosts that are told where a stream began, in fleets that use relays; they are chosen by the
	// stream's key, so that any host finds them. In smaller fleets all hosts are told.
	originWitnesses = 3
	// originSavers is the number of hosts, those of the lowest ranks, that are told of all streams in such fleets, since they save them
	// where they outlast all hosts.
	originSavers = 2
	// maxOriginKeys limits the streams in one datagram, to about 12 KB.
	maxOriginKeys = 1000
)

// Origins tells other hosts where streams began. It is one datagram of JSON.
type Origins struct {
	// Host is the name of the sender.
	Host string `json:"h"`
	origin.Report
}

// OriginQuery asks other hosts where streams began. It is one datagram of JSON.
type OriginQuery struct {
	// Host is the name of the sender.
	Host string `json:"h"`
	// Keys identify the streams.
	Keys origin.Keys `json:"k"`
}

// OriginHost is what an agent needs from the program for telling where streams began.
type OriginHost interface {
	// TakeOrigins returns the streams of which other hosts are to be told, each once.
	TakeOrigins() origin.Report
	// LookUpOrigins returns what the program knows of streams that another host asks about.
	LookUpOrigins(keys origin.Keys) origin.Report
	// OriginsReceived is called with what another host told.
	OriginsReceived(host string, r *origin.Report)
}

// witnesses returns the members that are told of a stream and asked about it. mu must be held.
func (a *Agent) witnesses(now time.Duration, k origin.Key) []*Member {
	live := a.Table.Live(now)
	if !a.usesRelays() {
		return live
	}
	// The hosts with the largest weights, the largest first; this one may be among them.
	top := make([]weighted, 0, originWitnesses+1)
	top = insertWeighted(top, weighted{nil, rendezvous(k, a.Table.Host)})
	for _, m := range live {
		top = insertWeighted(top, weighted{m, rendezvous(k, m.Host)})
	}
	out := make([]*Member, 0, originWitnesses)
	for _, w := range top {
		if w.m != nil {
			out = append(out, w.m)
		}
	}
	return out
}

// weighted is a host with its weight for a stream; a nil member is this host.
type weighted struct {
	m      *Member
	weight uint64
}

// insertWeighted inserts a host into the list of the originWitnesses largest weights.
func insertWeighted(top []weighted, w weighted) []weighted {
	i := len(top)
	for i > 0 && top[i-1].weight < w.weight {
		i--
	}
	if i >= originWitnesses {
		return top
	}
	top = slices.Insert(top, i, w)
	return top[:min(len(top), originWitnesses)]
}

// rendezvous returns the weight of a host for a stream (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
// 1998).
func rendezvous(k origin.Key, host string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(k))
	_, _ = d.WriteString(host)
	return d.Sum64()
}

// originAddresses returns the addresses at which hosts are told of a stream. A host that hears no other tells the seeds, which may hear
// it. mu must be held.
func (a *Agent) originAddresses(now time.Duration, k origin.Key) []string {
	if members := a.witnesses(now, k); len(members) > 0 {
		return addressesOf(members)
	}
	return append(addressesOf(a.Table.Unexpired(now)), a.Seeds...)
}

// sendOrigins tells other hosts of new streams.
func (a *Agent) sendOrigins() {
	r := a.Origins.TakeOrigins()
	if len(r.Known) == 0 {
		return
	}
	reports := make(map[string]*origin.Report) // by address
	a.mu.Lock()
	now := a.Now()
	savers := a.saverAddresses(now)
	for version, keys := range r.Known {
		for _, k := range keys {
			for _, address := range withoutDuplicates(append(a.originAddresses(now, k), savers...)) {
				to := reports[address]
				if to == nil {
					to = &origin.Report{Known: make(map[string]origin.Keys)}
					reports[address] = to
				}
				to.Known[version] = append(to.Known[version], k)
			}
		}
	}
	a.mu.Unlock()
	for address, report := range reports {
		a.sendOriginReport(address, report)
	}
}

// saverAddresses returns the addresses of the hosts that save origins, other than this one, in fleets that use relays; in smaller ones all
// hosts are told anyway. mu must be held.
func (a *Agent) saverAddresses(now time.Duration) []string {
	if !a.usesRelays() {
		return nil
	}
	live := a.Table.Live(now)
	slices.SortFunc(live, func(x, y *Member) int { return cmp.Compare(xxhash.Sum64String(x.Host), xxhash.Sum64String(y.Host)) })
	return addressesOf(live[:min(originSavers, len(live))])
}

// withoutDuplicates returns some addresses, each once.
func withoutDuplicates(addresses []string) []string {
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// sendOriginReport sends a report in datagrams of limited size.
func (a *Agent) sendOriginReport(address string, r *origin.Report) {
	for version, keys := range r.Known {
		for part := range slices.Chunk(keys, maxOriginKeys) {
			a.sendTo(&Origins{Host: a.Table.Host, Report: origin.Report{Known: map[string]origin.Keys{version: part}}}, []string{address})
		}
	}
	for part := range slices.Chunk(r.Unknown, maxOriginKeys) {
		a.sendTo(&Origins{Host: a.Table.Host, Report: origin.Report{Unknown: part, Seen: r.Seen}}, []string{address})
	}
}

// AskOrigins asks the hosts that were told of some streams where they began, and returns the number of hosts asked. The keys are
// those of one stream.
func (a *Agent) AskOrigins(keys origin.Keys) int {
	a.mu.Lock()
	now := a.Now()
	var addresses []string
	for _, k := range keys {
		addresses = append(addresses, addressesOf(a.witnesses(now, k))...)
	}
	a.mu.Unlock()
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	a.sendTo(&OriginQuery{Host: a.Table.Host, Keys: keys}, addresses)
	return len(addresses)
}

// answerOriginQuery answers another host.
func (a *Agent) answerOriginQuery(q *OriginQuery) {
	a.mu.Lock()
	address := ""
	if m := a.Table.members[q.Host]; m != nil {
		address = m.Info.Address
	}
	a.mu.Unlock()
	if address == "" {
		return
	}
	r := a.Origins.LookUpOrigins(q.Keys[:min(maxOriginKeys, len(q.Keys))])
	a.sendOriginReport(address, &r)
}
