// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"context"
	"time"

	"github.com/heathkeel/heathkeel/places"
)

// Parameters of asking for slots.
const (
	// slotRequestDelay is the time for which triggers are gathered into one datagram per owner: one thousandth
	// or more of the duration of requests to engines, and few enough datagrams for a small host.
	slotRequestDelay = 3 * time.Millisecond
	// slotRequestInterval is the time after which a host asks again while something waits; it is less than
	// requestTTL in package places, for which an owner keeps a request.
	slotRequestInterval = 40 * time.Millisecond
	// ownersInterval is the time after which owners are computed anew: one heartbeat.
	ownersInterval = 200 * time.Millisecond
)

// SlotRequests is what a host asks the owner of some endpoints' slots. It is one datagram of JSON.
type SlotRequests struct {
	// Host is the name of the sender; Incarnation identifies one run of its process; Seq numbers its
	// messages of this kind.
	Host        string `json:"h"`
	Incarnation uint64 `json:"l"`
	Seq         uint32 `json:"s"`
	// Requests holds the requests by incarnation of the endpoint.
	Requests map[string]places.Request `json:"a"`
}

// Grants is what an owner answers, and sends to hosts when slots become free. It is one datagram of JSON.
type Grants struct {
	// Host is the name of the owner; To identifies the run of the receiver's process that asked.
	Host string `json:"h"`
	To   uint64 `json:"t"`
	// Grants holds the grants by incarnation of the endpoint.
	Grants map[string]places.Grant `json:"g"`
}

// SlotHost is what an agent needs from the program for sharing slots.
type SlotHost interface {
	// ZoneOf returns the zone of an endpoint, given its incarnation.
	ZoneOf(endpoint string) string
	// SlotRequests returns what to ask the owners, and whether something waits; with grantsOnly, only for
	// endpoints to which each request needs a grant.
	SlotRequests(grantsOnly bool) (requests map[string]places.Request, waits bool)
	// HandleSlotRequests handles what a host asks this one as an owner, and returns the grants by host.
	HandleSlotRequests(host string, incarnation uint64, seq uint32, requests map[string]places.Request) map[string]map[string]places.Grant
	// HandleGrants handles an owner's answer.
	HandleGrants(grants map[string]places.Grant)
}

// owners caches the owners of endpoints' slots.
type owners struct {
	computedAt time.Duration
	byEndpoint map[string]string
	candidates []places.Candidate
}

// owner returns the owner of an endpoint's slots. mu must be held.
func (a *Agent) owner(now time.Duration, endpoint string) string {
	owners := &a.owners
	if owners.byEndpoint == nil || now-owners.computedAt >= ownersInterval {
		owners.computedAt, owners.byEndpoint, owners.candidates = now, make(map[string]string), a.ownerCandidates(now)
	}
	name, ok := owners.byEndpoint[endpoint]
	if !ok {
		name = places.Owner(endpoint, a.Slots.ZoneOf(endpoint), owners.candidates)
		owners.byEndpoint[endpoint] = name
	}
	return name
}

// ownerCandidates returns the hosts that may own slots. mu must be held.
func (a *Agent) ownerCandidates(now time.Duration) []places.Candidate {
	var out []places.Candidate
	for _, m := range a.Table.Live(now) {
		if m.Info.Ready && !m.Info.CutOff {
			out = append(out, places.Candidate{Host: m.Host, Zone: m.Info.Zone})
		}
	}
	if a.info.Ready && !a.info.CutOff {
		out = append(out, places.Candidate{Host: a.Table.Host, Zone: a.info.Zone})
	}
	return out
}

// OwnerCandidates returns the hosts that may own slots.
func (a *Agent) OwnerCandidates() []places.Candidate {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ownerCandidates(a.Now())
}

// TriggerSlotRequests makes the agent ask for slots after slotRequestDelay.
func (a *Agent) TriggerSlotRequests() {
	select {
	case a.slotRequestTrigger <- struct{}{}:
	default:
	}
}

// slotRequestLoop asks for slots soon after each trigger, and repeatedly while something waits, until ctx ends.
// In fleets without relays changes are sent to all hosts directly, and only endpoints to which each request needs
// a grant have owners.
func (a *Agent) slotRequestLoop(ctx context.Context) {
	t := time.NewTicker(slotRequestInterval)
	defer t.Stop()
	waits := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.slotRequestTrigger:
			time.Sleep(slotRequestDelay)
		case <-t.C:
			if !waits {
				continue
			}
		}
		a.mu.Lock()
		relayed := a.usesRelays()
		a.mu.Unlock()
		var requests map[string]places.Request
		requests, waits = a.Slots.SlotRequests(!relayed)
		a.sendSlotRequests(requests)
	}
}

// sendSlotRequests sends each owner the requests for its endpoints.
func (a *Agent) sendSlotRequests(requests map[string]places.Request) {
	if len(requests) == 0 {
		return
	}
	a.mu.Lock()
	now := a.Now()
	a.slotRequestSeq++
	seq := a.slotRequestSeq
	byOwner := make(map[string]map[string]places.Request)
	for endpoint, request := range requests {
		name := a.owner(now, endpoint)
		if byOwner[name] == nil {
			byOwner[name] = make(map[string]places.Request)
		}
		byOwner[name][endpoint] = request
	}
	to := make(map[string]string, len(byOwner))
	for name := range byOwner {
		if m := a.Table.members[name]; m != nil {
			to[name] = m.Info.Address
		}
	}
	a.mu.Unlock()
	for name, part := range byOwner {
		if name == a.Table.Host {
			a.sendGrants(a.Slots.HandleSlotRequests(name, a.Table.Incarnation, seq, part))
		} else if to[name] != "" {
			a.sendTo(&SlotRequests{Host: a.Table.Host, Incarnation: a.Table.Incarnation, Seq: seq, Requests: part}, []string{to[name]})
		}
	}
}

// sendGrants sends grants to hosts.
func (a *Agent) sendGrants(grants map[string]map[string]places.Grant) {
	for host, part := range grants {
		if host == a.Table.Host {
			a.Slots.HandleGrants(part)
			continue
		}
		a.mu.Lock()
		m := a.Table.members[host]
		address, incarnation := "", uint64(0)
		if m != nil {
			address, incarnation = m.Info.Address, m.Incarnation
		}
		a.mu.Unlock()
		if address != "" {
			a.sendTo(&Grants{Host: a.Table.Host, To: incarnation, Grants: part}, []string{address})
		}
	}
}
