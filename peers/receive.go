// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"context"
	"time"

	"github.com/heathkeel/heathkeel/places"
	"github.com/heathkeel/heathkeel/quarantine"
)

// receive reads and handles datagrams until ctx ends.
func (a *Agent) receive(ctx context.Context) {
	go func() {
		<-ctx.Done()
		_ = a.Conn.Close()
	}()
	buf := make([]byte, maxDatagramSize)
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
		if a.hasStaleDatagrams() {
			a.discardPending(buf)
			continue
		}
		// A datagram that cannot be decoded is ignored: it may be damaged or of another version, and the next
		// full heartbeat has all information.
		if msg, err := decode(buf[:n]); err == nil {
			a.handle(msg)
		}
	}
}

// handle handles one message.
func (a *Agent) handle(msg any) {
	switch msg := msg.(type) {
	case *Heartbeat:
		a.receiveHeartbeat(msg)
	case *memberHeartbeat:
		a.receiveHeartbeat(&msg.Heartbeat)
		a.mu.Lock()
		a.relay.ReceiveHeartbeat(a.Now(), &msg.Heartbeat)
		a.mu.Unlock()
	case *Digest:
		a.receiveDigest(msg)
	case *memberDigest:
		if msg.echo > 0 {
			msg.Echo = map[string]uint32{a.Table.Host: msg.echo}
		}
		a.receiveDigest(&msg.Digest)
	case *Update:
		a.receiveUpdate(msg)
	case *SlotRequests:
		if a.Slots != nil && msg.Host != a.Table.Host {
			a.markAlive(msg.Host, msg.Incarnation)
			a.sendGrants(a.Slots.HandleSlotRequests(msg.Host, msg.Incarnation, msg.Seq, msg.Requests))
		}
	case *Grants:
		if a.Slots != nil && msg.To == a.Table.Incarnation {
			a.markAlive(msg.Host, 0)
			a.Slots.HandleGrants(msg.Grants)
		}
	case *Origins:
		if a.Origins != nil {
			a.Origins.OriginsReceived(msg.Host, &msg.Report)
		}
	case *OriginQuery:
		if a.Origins != nil {
			a.answerOriginQuery(msg)
		}
	}
}

// markAlive records that a host sent something.
func (a *Agent) markAlive(host string, incarnation uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Table.MarkAlive(a.Now(), host, incarnation)
}

// receiveHeartbeat handles one heartbeat.
func (a *Agent) receiveHeartbeat(b *Heartbeat) {
	if b.Host == a.Table.Host {
		return
	}
	a.mu.Lock()
	now := a.Now()
	a.noteNewcomer(b)
	proof, ok := a.Table.ReceiveHeartbeat(now, b)
	relayed := a.usesRelays()
	source, few := a.tableSource(b.Size)
	a.mu.Unlock()
	if few && a.OnFewKnown != nil {
		a.OnFewKnown(source)
	}
	if !relayed {
		a.Host.UsageReceived(Usage{Source: b.Host, Incarnation: b.Incarnation, Hosts: 1, Used: b.Used, Left: b.Left})
	}
	if ok {
		a.Host.ProofReceived(proof)
	}
	a.receiveLimits(b.Limits)
	a.receiveCrashes(&b.Crashes)
}

// receiveLimits handles what endpoints stated to a peer.
func (a *Agent) receiveLimits(limits map[string]places.LimitReports) {
	if len(limits) > 0 {
		a.Host.LimitsReceived(limits)
	}
}

// receiveCrashes handles a peer's evidence about requests under which endpoints crashed. A relay passes on new
// evidence that concerns all hosts immediately; otherwise its members would get it with the next two
// heartbeats.
func (a *Agent) receiveCrashes(ev *quarantine.Evidence) {
	if !ev.Empty() && a.Host.CrashesReceived(ev) && a.isRelay() {
		a.TriggerHeartbeat()
	}
}

// isRelay reports whether this host is a relay.
func (a *Agent) isRelay() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usesRelays() && a.uplink.host == a.Table.Host
}

// receiveUpdate handles changed loads.
func (a *Agent) receiveUpdate(u *Update) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.Table.ReceiveUpdate(u) {
		a.loadsReceived = true
	}
}

// receiveDigest handles a relay's digest.
func (a *Agent) receiveDigest(d *Digest) {
	if d.Host == a.Table.Host {
		return
	}
	a.mu.Lock()
	now := a.Now()
	proof, ok := a.Table.ReceiveDigest(now, d)
	if d.Partial {
		a.relay.ReceivePartial(now, d)
	}
	u, counted := a.uplink.receive(now, d, &a.sentReports)
	a.loadsReceived = a.loadsReceived || counted
	source, few := a.tableSource(d.Hosts)
	a.mu.Unlock()
	if few && a.OnFewKnown != nil {
		a.OnFewKnown(source)
	}
	if counted {
		a.Host.UsageReceived(u)
	}
	if ok {
		a.Host.ProofReceived(proof)
	}
	a.receiveLimits(d.Limits)
	a.receiveCrashes(&d.Crashes)
}
