// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"context"
	"slices"
	"time"

	"github.com/heathkeel/heathkeel/quarantine"
)

// receive hears datagrams until ctx ends.
func (a *Agent) receive(ctx context.Context) {
	go func() {
		<-ctx.Done()
		_ = a.Conn.Close()
	}()
	buf := make([]byte, largestBeat)
	for {
		n, _, err := a.Conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(a.Interval)
			continue
		}
		if a.CheckGap != nil {
			a.CheckGap()
		}
		if a.isStale() {
			a.skim(buf)
			continue
		}
		// One that cannot be read is passed over: it may be damaged or of another
		// version, and the next full heartbeat tells all.
		if msg, err := decode(buf[:n]); err == nil {
			a.take(msg)
		}
	}
}

// take takes one message.
func (a *Agent) take(msg any) {
	switch msg := msg.(type) {
	case *Heartbeat:
		a.hear(msg)
	case *member:
		a.hear(&msg.Heartbeat)
		a.mu.Lock()
		a.relay.ReceiveHeartbeat(a.Now(), &msg.Heartbeat)
		a.mu.Unlock()
	case *Digest:
		a.hearDigest(msg)
	case *Update:
		a.hearUpdate(msg)
	case *SlotRequests:
		if a.Slots != nil && msg.Host != a.Table.Host {
			a.lives(msg.Host, msg.Incarnation)
			a.answerAsks(a.Slots.HandleSlotRequests(msg.Host, msg.Incarnation, msg.Seq, msg.Requests))
		}
	case *Grants:
		if a.Slots != nil && msg.To == a.Table.Incarnation {
			a.lives(msg.Host, 0)
			a.Slots.HandleGrants(msg.Grants)
		}
	}
}

// lives notes a sign of life of a host.
func (a *Agent) lives(host string, life uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Table.MarkAlive(a.Now(), host, life)
}

// hear takes one heartbeat.
func (a *Agent) hear(b *Heartbeat) {
	if b.Host == a.Table.Host {
		return
	}
	a.mu.Lock()
	now := a.Now()
	a.welcome(b)
	proof, ok := a.Table.ReceiveHeartbeat(now, b)
	relayed := a.relayed()
	a.mu.Unlock()
	if !relayed {
		a.Host.UsageReceived(Usage{Source: b.Host, Incarnation: b.Incarnation, Hosts: 1, Used: b.Used, Left: b.Left})
	}
	if ok {
		a.Host.ProofReceived(proof)
	}
	a.hearCrashes(&b.Crashes)
}

// hearCrashes takes what a peer knows of requests under which endpoints crashed. What concerns all hosts a relay passes on at once: its
// members would else hear of it with the next two heartbeats.
func (a *Agent) hearCrashes(t *quarantine.Evidence) {
	if !t.Empty() && a.Host.CrashesReceived(t) && a.relays() {
		a.TriggerHeartbeat()
	}
}

// relays tells whether this host is a relay.
func (a *Agent) relays() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.relayed() && a.uplink.host == a.Table.Host
}

// welcome lets a host be answered with the next heartbeat that knows less than half of the
// hosts that this one knows, so that it learns of the others; mu must be held.
func (a *Agent) welcome(b *Heartbeat) {
	g := greeted{b.Host, b.Info.Address}
	if g.address == "" || 2*b.Size >= a.Table.Size() || slices.Contains(a.greet, g) {
		return
	}
	a.greet = append(a.greet, g)
	a.TriggerHeartbeat()
}

// hearUpdate takes changed loads.
func (a *Agent) hearUpdate(u *Update) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.Table.ReceiveUpdate(u) {
		a.heard = true
	}
}

// hearDigest takes what a relay passes on.
func (a *Agent) hearDigest(d *Digest) {
	if d.Host == a.Table.Host {
		return
	}
	a.mu.Lock()
	now := a.Now()
	proof, ok := a.Table.ReceiveDigest(now, d)
	if d.Partial {
		a.relay.ReceivePartial(now, d)
	}
	u, whole := a.uplink.hear(now, d, &a.told)
	a.heard = a.heard || whole
	a.mu.Unlock()
	if whole {
		a.Host.UsageReceived(u)
	}
	if ok {
		a.Host.ProofReceived(proof)
	}
	a.hearCrashes(&d.Crashes)
}
