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
	// askSoon is the time in which causes to ask are gathered into one datagram for each owner: a thousandth and more
	// of what requests to engines take, and so few datagrams that a small host bears them.
	askSoon = 3 * time.Millisecond
	// askEvery is the time after which a host asks again while something waits, less than places.askLife.
	askEvery = 40 * time.Millisecond
	// ownersEvery is the time after which owners are worked out anew: a heartbeat.
	ownersEvery = 200 * time.Millisecond
)

// SlotRequests is what a host tells the owner of some endpoints' places. It is one datagram of JSON.
type SlotRequests struct {
	// Host names the sender, Life one run of its process; Seq numbers its asks.
	Host        string `json:"h"`
	Incarnation uint64 `json:"l"`
	Seq         uint32 `json:"s"`
	// Requests are by the life of the endpoint.
	Requests map[string]places.Request `json:"a"`
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
	// SlotRequests gives what is to be told to owners, and whether something waits.
	SlotRequests() (asks map[string]places.Request, waits bool)
	// HandleSlotRequests takes what a host tells this one as an owner and returns the grants, by host.
	HandleSlotRequests(host string, life uint64, seq uint32, asks map[string]places.Request) map[string]map[string]places.Grant
	// HandleGrants takes what an owner answers.
	HandleGrants(grants map[string]places.Grant)
}

// owners remembers who owns the places of endpoints.
type owners struct {
	at    time.Duration
	names map[string]string
	hosts []places.Candidate
}

// owner names the owner of an endpoint's places; mu must be held.
func (a *Agent) owner(now time.Duration, endpoint string) string {
	o := &a.owners
	if o.names == nil || now-o.at >= ownersEvery {
		o.at, o.names, o.hosts = now, make(map[string]string), o.hosts[:0]
		for _, m := range a.Table.Live(now) {
			if m.Info.Ready {
				o.hosts = append(o.hosts, places.Candidate{Host: m.Host, Zone: m.Info.Zone})
			}
		}
		if a.row.Ready {
			o.hosts = append(o.hosts, places.Candidate{Host: a.Table.Host, Zone: a.row.Zone})
		}
	}
	name, ok := o.names[endpoint]
	if !ok {
		name = places.Owner(endpoint, a.Slots.ZoneOf(endpoint), o.hosts)
		o.names[endpoint] = name
	}
	return name
}

// TriggerSlotRequests makes the agent ask for places soon.
func (a *Agent) TriggerSlotRequests() {
	select {
	case a.asking <- struct{}{}:
	default:
	}
}

// ask asks for places, soon after each cause and as long as something waits, until ctx ends. Where all others are
// told of changes directly, nobody owns places.
func (a *Agent) ask(ctx context.Context) {
	t := time.NewTicker(askEvery)
	defer t.Stop()
	waits := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.asking:
			time.Sleep(askSoon)
		case <-t.C:
			if !waits {
				continue
			}
		}
		a.mu.Lock()
		relayed := a.relayed()
		a.mu.Unlock()
		if !relayed {
			continue
		}
		var asks map[string]places.Request
		asks, waits = a.Slots.SlotRequests()
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
	by := make(map[string]map[string]places.Request)
	for endpoint, ask := range asks {
		name := a.owner(now, endpoint)
		if by[name] == nil {
			by[name] = make(map[string]places.Request)
		}
		by[name][endpoint] = ask
	}
	to := make(map[string]string, len(by))
	for name := range by {
		if m := a.Table.members[name]; m != nil {
			to[name] = m.Info.Address
		}
	}
	a.mu.Unlock()
	for name, part := range by {
		if name == a.Table.Host {
			a.answerAsks(a.Slots.HandleSlotRequests(name, a.Table.Incarnation, seq, part))
		} else if to[name] != "" {
			a.write(&SlotRequests{Host: a.Table.Host, Incarnation: a.Table.Incarnation, Seq: seq, Requests: part}, []string{to[name]})
		}
	}
}

// answerAsks tells hosts what they were granted.
func (a *Agent) answerAsks(grants map[string]map[string]places.Grant) {
	for host, part := range grants {
		if host == a.Table.Host {
			a.Slots.HandleGrants(part)
			continue
		}
		a.mu.Lock()
		m := a.Table.members[host]
		address, life := "", uint64(0)
		if m != nil {
			address, life = m.Info.Address, m.Incarnation
		}
		a.mu.Unlock()
		if address != "" {
			a.write(&Grants{Host: a.Table.Host, To: life, Grants: part}, []string{address})
		}
	}
}
