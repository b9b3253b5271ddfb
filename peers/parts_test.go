// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// words returns the report of host i: some requests at a few of the endpoints, and what it has used of a few workspaces so far.
func words(i, endpoints, workspaces, step int) Words {
	w := Words{Load: make(map[string]Load), Used: make(map[string]float64)}
	r := rand.New(rand.NewPCG(uint64(i), 8))
	for range 2 {
		e := uint64(r.IntN(endpoints))
		id, started := rand.New(rand.NewPCG(e, 9)).Uint64()>>24, 1791234567890+e*977
		w.Load[fmt.Sprintf("i-%010x@%d", id, started)] = Load{Running: 1, Prefill: r.IntN(9000), Step: int64(3000 + r.IntN(9000)), Good: r.IntN(30)}
	}
	for range 5 {
		ws := uint64(r.IntN(workspaces))
		w.Used[fmt.Sprintf("%04x%03d", rand.New(rand.NewPCG(ws, 10)).Uint32()>>16, ws)] += float64((700 + r.IntN(9000)) * (step + 1))
	}
	return w
}

// relayOf returns a relay that has the reports of all hosts of a zone, and of a relay of each other zone.
func relayOf(hosts, zones, endpoints, workspaces, step int, r *Relay) {
	now := time.Duration(step) * DefaultInterval
	perZone := hosts / zones
	for i := range perZone {
		r.ReceiveHeartbeat(now, &Heartbeat{Host: fmt.Sprint("host-", i), Incarnation: 1, Seq: uint32(step + 1), Words: words(i, endpoints, workspaces, step)})
	}
	for z := 1; z < zones; z++ {
		sum := Relay{Host: fmt.Sprint("relay-", z), Incarnation: 1}
		for i := z * perZone; i < (z+1)*perZone; i++ {
			sum.ReceiveHeartbeat(now, &Heartbeat{Host: fmt.Sprint("host-", i), Incarnation: 1, Seq: uint32(step + 1), Words: words(i, endpoints, workspaces, step)})
		}
		d := sum.PartialDigest(now)
		d.Used = make(map[string]float64) // counting starts with the first report
		for i := z * perZone; i < (z+1)*perZone; i++ {
			for ws, n := range words(i, endpoints, workspaces, step).Used {
				d.Used[ws] += n
			}
		}
		d.Seq, d.Hosts = uint32(step+1), perZone
		r.ReceivePartial(now, &d)
	}
}

// TestDigestSize checks that a member's part of a digest does not grow with the fleet, and how many heartbeats it takes until a
// member has all parts.
func TestDigestSize(t *testing.T) {
	cases := []struct {
		hosts, endpoints, workspaces int
		maxParts                     int
	}{{30, 90, 10, 1}, {100, 300, 33, 1}, {300, 900, 100, 2}, {985, 3000, 333, 4}, {1970, 6000, 666, 8}}
	for _, tc := range cases {
		r := Relay{Host: "host-0", Incarnation: 1}
		relayOf(tc.hosts, 6, tc.endpoints, tc.workspaces, 0, &r)
		relayOf(tc.hosts, 6, tc.endpoints, tc.workspaces, 1, &r)
		full := r.FullDigest(DefaultInterval)
		whole, err := encode(&full)
		must.NoError(t, err)
		largest := 0
		for n := range 64 {
			part := memberDigest{Digest: r.nextPart(&full)}
			data, err := encode(&part)
			must.NoError(t, err)
			r.notePartSize(len(data))
			if n >= 32 { // by then the number of parts is settled
				largest = max(largest, len(data))
			}
		}
		t.Logf("%d hosts, %d endpoints, %d workspaces: whole %d bytes; in %d parts of at most %d bytes", tc.hosts, tc.endpoints, tc.workspaces, len(whole), r.part.Count, largest)
		must.LessEq(t, maxPartSize, largest)
		must.LessEq(t, tc.maxParts, r.part.Count)
	}
}

// TestPartsAddUp checks that a member which gets a digest in parts, some of which are lost, knows what a member knows that gets it
// whole, and that it is never told of more use than there was, also while the number of parts changes.
func TestPartsAddUp(t *testing.T) {
	const hosts, zones, workspaces = 300, 3, 100
	random := rand.New(rand.NewPCG(5, 6))
	r := Relay{Host: "host-0", Incarnation: 1}
	u := uplink{host: r.Host}
	var sent history
	told, last := 0, Usage{}
	for step := range 200 {
		now := time.Duration(step) * DefaultInterval
		endpoints := 900
		if step > 60 && step < 140 {
			endpoints = 20 // fewer are in use, which are fewer parts
		}
		own := Heartbeat{Host: "host-1", Incarnation: 1, Seq: uint32(step + 1), Words: words(1, endpoints, workspaces, step)}
		sent.add(&own)
		relayOf(hosts, zones, endpoints, workspaces, step, &r)
		full := r.FullDigest(now)
		full.Seq = uint32(step + 1)
		part := r.nextPart(&full)
		r.notePartSize(40 * len(full.Load) / max(1, part.Part.Count))
		part.Echo = map[string]uint32{"host-1": own.Seq}
		if random.IntN(5) == 0 {
			continue
		}
		usage, ok := u.receive(now, &part, &sent)
		if !ok {
			continue
		}
		told++
		must.EqOp(t, hosts-1, usage.Hosts)
		for ws, n := range usage.Used {
			must.LessEq(t, full.Used[ws]-own.Used[ws], n, must.Sprint(ws, " at step ", step))
			must.GreaterEq(t, 0, n)
		}
		last = usage
	}
	must.MapLen(t, len(r.fullUsed), last.Used)
	must.EqOp(t, relayedAge+time.Duration(r.part.Count-1)*DefaultInterval/2, u.loadAge())
	must.Greater(t, 100, told)
	// In a calm fleet the sums are those of the whole digest.
	full := r.FullDigest(199 * DefaultInterval)
	own := words(1, 900, workspaces, 199)
	loads, n := u.peerLoads(199*DefaultInterval, &sent)
	must.EqOp(t, hosts-1, n)
	for name, l := range full.Load {
		must.EqOp(t, l.Running-own.Load[name].Running, loads.Load[name].Running)
	}
}
