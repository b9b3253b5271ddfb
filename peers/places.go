// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"context"
	"time"

	"github.com/heathkeel/heathkeel/places"
)

// Figures of asking for places.
const (
	// askDelay is the time in which causes to ask are gathered into one datagram for each owner: a thousandth and more
	// of what requests to engines take, and so few datagrams that a small host bears them.
	askDelay = 3 * time.Millisecond
	// askInterval is the time after which a host asks again while something waits, less than places.askLife.
	askInterval = 40 * time.Millisecond
	// ownersInterval is the time after which owners are worked out anew: a heartbeat.
	ownersInterval = 200 * time.Millisecond
)

// Asks is what a host tells the owner of some endpoints' places. It is one datagram of JSON.
type Asks struct {
	// Host names the sender, Life one run of its process; Seq numbers its asks.
	Host string `json:"h"`
	Life uint64 `json:"l"`
	Seq  uint32 `json:"s"`
	// Asks are by the life of the endpoint.
	Asks map[string]places.Request `json:"a"`
}

// Grants is what an owner answers, and tells hosts when places get free. It is one datagram of JSON.
type Grants struct {
	// Host names the owner, To the run of the receiver's process that asked.
	Host string `json:"h"`
	To   uint64 `json:"t"`
	// Grants are by the life of the endpoint.
	Grants map[string]places.Grant `json:"g"`
}

// SlotHost is what an agent asks of the program about places.
type SlotHost interface {
	// ZoneOf names the zone of an endpoint, by its life.
	ZoneOf(endpoint string) string
	// Asks gives what is to be told to owners, and whether something waits.
	Asks() (asks map[string]places.Request, waits bool)
	// HandleAsks takes what a host tells this one as an owner and returns the grants, by host.
	HandleAsks(host string, life uint64, seq uint32, asks map[string]places.Request) map[string]map[string]places.Grant
	// HandleGrants takes what an owner answers.
	HandleGrants(grants map[string]places.Grant)
}

// owners remembers who owns the places of endpoints.
type owners struct {
	computedAt time.Duration
	byEndpoint map[string]string
	candidates []places.Candidate
}

// owner names the owner of an endpoint's places; mu must be held.
func (a *Agent) owner(now time.Duration, endpoint string) string {
	owners := &a.owners
	if owners.byEndpoint == nil || now-owners.computedAt >= ownersInterval {
		owners.computedAt, owners.byEndpoint, owners.candidates = now, make(map[string]string), owners.candidates[:0]
		for _, m := range a.Table.Live(now) {
			if m.Info.Ready {
				owners.candidates = append(owners.candidates, places.Candidate{Host: m.Host, Zone: m.Info.Zone})
			}
		}
		if a.info.Ready {
			owners.candidates = append(owners.candidates, places.Candidate{Host: a.Table.Host, Zone: a.info.Zone})
		}
	}
	name, ok := owners.byEndpoint[endpoint]
	if !ok {
		name = places.Owner(endpoint, a.Places.ZoneOf(endpoint), owners.candidates)
		owners.byEndpoint[endpoint] = name
	}
	return name
}

// TriggerAsks makes the agent ask for places soon.
func (a *Agent) TriggerAsks() {
	select {
	case a.askTrigger <- struct{}{}:
	default:
	}
}

// askLoop asks for places, soon after each cause and as long as something waits, until ctx ends. Where all others are
// told of changes directly, nobody owns places.
func (a *Agent) askLoop(ctx context.Context) {
	t := time.NewTicker(askInterval)
	defer t.Stop()
	waits := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.askTrigger:
			time.Sleep(askDelay)
		case <-t.C:
			if !waits {
				continue
			}
		}
		a.mu.Lock()
		relayed := a.usesRelays()
		a.mu.Unlock()
		if !relayed {
			continue
		}
		var asks map[string]places.Request
		asks, waits = a.Places.Asks()
		a.sendAsks(asks)
	}
}

// sendAsks tells each owner what concerns it.
func (a *Agent) sendAsks(asks map[string]places.Request) {
	if len(asks) == 0 {
		return
	}
	a.mu.Lock()
	now := a.Now()
	a.askSeq++
	seq := a.askSeq
	byOwner := make(map[string]map[string]places.Request)
	for endpoint, ask := range asks {
		name := a.owner(now, endpoint)
		if byOwner[name] == nil {
			byOwner[name] = make(map[string]places.Request)
		}
		byOwner[name][endpoint] = ask
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
			a.sendGrants(a.Places.HandleAsks(name, a.Table.Life, seq, part))
		} else if to[name] != "" {
			a.sendTo(&Asks{Host: a.Table.Host, Life: a.Table.Life, Seq: seq, Asks: part}, []string{to[name]})
		}
	}
}

// sendGrants tells hosts what they were granted.
func (a *Agent) sendGrants(grants map[string]map[string]places.Grant) {
	for host, part := range grants {
		if host == a.Table.Host {
			a.Places.HandleGrants(part)
			continue
		}
		a.mu.Lock()
		m := a.Table.members[host]
		address, life := "", uint64(0)
		if m != nil {
			address, life = m.Info.Address, m.Life
		}
		a.mu.Unlock()
		if address != "" {
			a.sendTo(&Grants{Host: a.Table.Host, To: life, Grants: part}, []string{address})
		}
	}
}
