// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"math"
	"time"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/outlier"
	"github.com/heathkeel/heathkeel/peers"
	"github.com/heathkeel/heathkeel/sched"
)

// target is an endpoint as this host knows it.
type target struct {
	feed.Endpoint
	ownLoad  peers.Load
	peerLoad peers.Load
	// requestTime is the mean time of a request while a plain service has free slots, in seconds; see zones.
	requestTime float64
	step        sched.Quantile        // time of a token with little concurrent load, or of a request at a plain service
	sends       map[*call]*targetSend // the requests in flight at the endpoint
	saidSilent  bool                  // other hosts are told that it has sent nothing for a while
	saidLeaving bool                  // it said itself that it leaves; its list entry may say otherwise
	replaced    bool                  // a later incarnation has replaced it
	heardAt     time.Duration         // when it last sent something to this host, by the host's clock
	busySince   time.Duration         // when it got a request of this host while it had none
	coldUntil   time.Duration         // when it is warm, by the host's clock
	// stated is what the endpoint stated about its limits, according to all hosts, and ownStated what this host read itself.
	stated, ownStated statedLimits
	inForce           limitsInForce
	rejectLimitedAt   time.Duration // when a limit on rejections comes into force
	owned             bool          // this host owns the slots, if any limit is in force
	ownedSince        time.Duration // when owned changed
	unsentLoad        unsentLoad
	slowNotice        slowNotice
	rejected          bool // the endpoint limits rejections and rejected a request, and the owner was not told yet
}

// leaves reports whether the endpoint leaves, by its entry or by its own words.
func (t *target) leaves() bool { return t.Leaving || t.saidLeaving }

// cancelSends cancels all requests in flight, because a later incarnation has replaced the endpoint.
func (t *target) cancelSends() {
	t.replaced = true
	for _, send := range t.sends {
		send.cancel()
	}
}

// targetSend is a request in flight at an endpoint.
type targetSend struct {
	cancel func()
	framed bool // the head of its response says where the response ends
}

// awaitsEnd reports whether the endpoint works on a request whose response may end with its connection.
func (t *target) awaitsEnd() bool {
	for _, send := range t.sends {
		if !send.framed {
			return true
		}
	}
	return false
}

// stepTime returns the time of a token as this host observed it, else as other hosts did, or 0 if unknown.
func (t *target) stepTime() time.Duration {
	if t.step.Value > 0 {
		return time.Duration(t.step.Value)
	}
	return time.Duration(t.peerLoad.Step) * time.Microsecond
}

// load returns what this host reports to other hosts about its own requests at the endpoint.
func (t *target) load(evidence outlier.Evidence) peers.Load {
	l := t.ownLoad
	l.Step = time.Duration(t.step.Value).Microseconds()
	if t.saidSilent {
		l.Silent = l.Running
	}
	l.Good, l.Bad = int(math.Round(evidencePerRequest*evidence.Good)), int(math.Round(evidencePerRequest*evidence.Bad))
	return l
}

// evidencePerRequest is the number of units of peers.Load.Good and Bad for one request.
const evidencePerRequest = 10

// peerEvidence returns what other hosts report about their latest requests at the endpoint.
func (t *target) peerEvidence() outlier.Evidence {
	return outlier.Evidence{Good: float64(t.peerLoad.Good) / evidencePerRequest, Bad: float64(t.peerLoad.Bad) / evidencePerRequest}
}

// Parameters of speed estimation.
const (
	// defaultPrefillPerStep is the number of prompt tokens that an engine is assumed to read in a step until observed.
	defaultPrefillPerStep = 200
	// minPrefillSample is the smallest prompt, in tokens, whose time to the first event shows the prefill rate.
	minPrefillSample = 4000
	// stepQuantile and prefillQuantile are the quantiles taken of the time between tokens and of the prefill rate: concurrent work
	// can only make both look slower.
	stepQuantile    = 0.25
	prefillQuantile = 0.8
	// plainQuantile is the quantile taken of a plain service's request time.
	plainQuantile = 0.5
)

// meanStepTime returns the mean of the known step times, by service; mu must be held.
func (b *balancer) meanStepTime() map[string]time.Duration {
	sum, n := make(map[string]time.Duration), make(map[string]time.Duration)
	for _, t := range b.targets {
		if p := t.stepTime(); p > 0 {
			sum[t.Service] += p
			n[t.Service]++
		}
	}
	for service := range sum {
		sum[service] /= n[service]
	}
	return sum
}

// prefillRate returns the number of prompt tokens that an engine of a service reads in a step; mu must be held.
func (b *balancer) prefillRate(service string) int {
	if q := b.prefillRates[service]; q != nil && q.Value >= 1 {
		return int(q.Value)
	}
	return defaultPrefillPerStep
}

// observePrefill adds a sample of the prefill rate: the time to the first event of a long prompt; mu must be held.
func (b *balancer) observePrefill(t *target, prompt int, elapsed time.Duration) {
	if prompt < minPrefillSample || t.step.Value <= 0 || elapsed <= 0 {
		return
	}
	q := b.prefillRates[t.Service]
	if q == nil {
		q = &sched.Quantile{}
		b.prefillRates[t.Service] = q
	}
	q.Observe(float64(prompt)*t.step.Value/float64(elapsed), prefillQuantile)
}

// observeStep adds a sample of the time between two tokens of a stream.
func (b *balancer) observeStep(c *call, token time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targets[c.endpoint.Incarnation()]; t != nil {
		t.heardAt = b.now()
		t.step.Observe(float64(token), stepQuantile)
	}
}
