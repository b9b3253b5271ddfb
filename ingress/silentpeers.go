// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"maps"
	"time"

	"github.com/heathkeel/heathkeel/sched"
)

// Hosts tell each other at which endpoints their requests hear nothing. A host that hedges a request has at most a few requests of its own
// at each endpoint of a large fleet, and may have none at another one that is silent, too.

// Silence of an endpoint that other hosts are told: the longer of a fixed time and some usual times of a token, or of a request at a plain
// service.
const (
	minToldSilence   = 300 * time.Millisecond
	toldSilenceSteps = 8
)

// noteSilence records which endpoints have been silent for long enough to tell other hosts, and no longer are; mu must be held.
func (b *balancer) noteSilence(now time.Duration) {
	for incarnation, t := range b.busy {
		silent := t.silentFor(now) >= max(minToldSilence, toldSilenceSteps*t.stepTime())
		if silent != t.saidSilent {
			t.saidSilent = silent
			b.changedLoads[incarnation] = true
		}
		if t.ownLoad.Running == 0 || b.targets[incarnation] != t {
			delete(b.busy, incarnation)
		}
	}
}

// silentFor returns the time for which this host has heard nothing from the endpoint while a request of it ran there.
func (t *target) silentFor(now time.Duration) time.Duration {
	if t.ownLoad.Running == 0 {
		return 0
	}
	return now - max(t.heardAt, t.busySince)
}

// silentForAnyPeer reports whether another host hears nothing from the endpoint, and silentForMostPeers whether half of their requests do not.
// Requests that have just begun are silent for no host yet.
func (t *target) silentForAnyPeer() bool { return t.peerLoad.Silent > 0 }

func (t *target) silentForMostPeers() bool {
	return t.peerLoad.Silent > 0 && 2*t.peerLoad.Silent >= t.peerLoad.Running
}

// silentForPeers returns the endpoints of a service that are silent for other hosts, by the given test. It returns none if no endpoint
// speaks to another host: the silence may then have a common cause, and another endpoint would not answer sooner; mu must be held.
func (b *balancer) silentForPeers(service string, silent func(*target) bool) []string {
	var found []string
	speaking := false
	for incarnation, t := range b.targets {
		if t.Service != service {
			continue
		}
		speaking = speaking || (t.peerLoad.Running > 0 && !t.silentForAnyPeer())
		if silent(t) {
			found = append(found, incarnation)
		}
	}
	if !speaking {
		return nil
	}
	return found
}

// hedgeBesidePeers asks for a slot for a hedge at an endpoint that speaks to all other hosts with requests there, or else to most of them.
// avoid are the endpoints that it may not go to in any case; mu must be held.
func (b *balancer) hedgeBesidePeers(now time.Duration, c *call, first *sched.Request, avoid map[string]bool) sched.Decision {
	decision := sched.Decision{Verdict: sched.Refuse}
	for _, silent := range []func(*target) bool{(*target).silentForAnyPeer, (*target).silentForMostPeers} {
		c.req.Avoid = maps.Clone(avoid)
		for _, incarnation := range b.silentForPeers(c.service.Name, silent) {
			c.req.Avoid[incarnation] = true
		}
		if decision = b.sched.Hedge(now, c.req, first); decision.Verdict == sched.Run {
			break
		}
	}
	return decision
}
