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

// target is an endpoint as the host knows it.
type target struct {
	feed.Endpoint
	own    peers.Load
	others peers.Load
	step   sched.Quantile // time of a token with little beside it, or of a request at a plain service
	// sends are the requests that are there now, with what ends each.
	sends map[*call]func()
	ended bool // a later life has taken its place
}

// endSends ends all requests that are there, since a later life has taken the endpoint's place.
func (t *target) endSends() {
	t.ended = true
	for _, end := range t.sends {
		end()
	}
}

// pace is the time of a token as this host saw it, else as others did, or 0.
func (t *target) pace() time.Duration {
	if t.step.Value > 0 {
		return time.Duration(t.step.Value)
	}
	return time.Duration(t.others.Step) * time.Microsecond
}

// load is what the host tells others of its own requests there.
func (t *target) load(ev outlier.Evidence) peers.Load {
	l := t.own
	l.Step = time.Duration(t.step.Value).Microseconds()
	l.Good, l.Bad = int(math.Round(evidenceUnit*ev.Good)), int(math.Round(evidenceUnit*ev.Bad))
	return l
}

// evidenceUnit is the number of units of peers.Load in one request.
const evidenceUnit = 10

// evidence is what others tell of the latest requests there.
func (t *target) evidence() outlier.Evidence {
	return outlier.Evidence{Good: float64(t.others.Good) / evidenceUnit, Bad: float64(t.others.Bad) / evidenceUnit}
}

// Figures of the learning of speeds.
const (
	// prefillPerStep is the number of prompt tokens that an engine is taken to read in a
	// step before it was seen.
	prefillPerStep = 200
	// longPrompt is the prompt, in tokens, whose first event tells how fast an engine reads.
	longPrompt = 4000
	// stepShare and prefillShare are the quantiles taken of the time between tokens and
	// of the speed of reading: what runs beside only makes both look slower.
	stepShare    = 0.25
	prefillShare = 0.8
	// plainShare is the quantile taken of a plain service's time.
	plainShare = 0.5
)

// meanPace is the mean of the paces seen, by service; mu must be held.
func (b *balancer) meanPace() map[string]time.Duration {
	sum, n := make(map[string]time.Duration), make(map[string]time.Duration)
	for _, t := range b.targets {
		if p := t.pace(); p > 0 {
			sum[t.Service] += p
			n[t.Service]++
		}
	}
	for service := range sum {
		sum[service] /= n[service]
	}
	return sum
}

// prefillOf is the number of prompt tokens that an engine of a service reads in a step;
// mu must be held.
func (b *balancer) prefillOf(service string) int {
	if q := b.prefill[service]; q != nil && q.Value >= 1 {
		return int(q.Value)
	}
	return prefillPerStep
}

// learnPrefill takes the time that the first event of a long prompt took; mu must be held.
func (b *balancer) learnPrefill(t *target, prompt int, took time.Duration) {
	if prompt < longPrompt || t.step.Value <= 0 || took <= 0 {
		return
	}
	q := b.prefill[t.Service]
	if q == nil {
		q = &sched.Quantile{}
		b.prefill[t.Service] = q
	}
	q.Observe(float64(prompt)*t.step.Value/float64(took), prefillShare)
}

// paced notes the time between two tokens of a stream.
func (b *balancer) paced(c *call, token time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targets[c.at.Incarnation()]; t != nil {
		t.step.Observe(float64(token), stepShare)
	}
}
