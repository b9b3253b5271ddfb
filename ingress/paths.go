// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heathkeel/heathkeel/reach"
)

// Times of the checks whether the host reaches any endpoint.
const (
	// silenceCheckAfter is the time without a byte from any endpoint, while requests wait for one, after which connections are tried.
	// Bytes that hang do not fail by themselves.
	silenceCheckAfter = 300 * time.Millisecond
	// silenceCheckInterval is the shortest time between two such checks: engines may compute long prompts in silence.
	silenceCheckInterval = 2 * time.Second
	// returnCheckInterval is the time between two tries while the host is cut off.
	returnCheckInterval = 300 * time.Millisecond
	// suspicionProbes and silenceProbes are the numbers of connections that are tried at a time after one failed, and in silence. A
	// single success ends the suspicion; in silence, each that hangs takes the whole timeout.
	suspicionProbes = 2
	silenceProbes   = 4
	// maxDecideWait is the time within which it is known whether the host is cut off: that of two connections which hang.
	maxDecideWait = 2 * dialTimeout
)

// paths finds out whether the host reaches any endpoint.
type paths struct {
	now       func() time.Duration
	dial      func(ctx context.Context, address string) error
	addresses func() []string // of the endpoints in use
	onChange  func(cutOff bool)

	waiting      atomic.Int64 // sends without a response
	waitingSince atomic.Int64 // when the first of them began, in nanoseconds
	heardAt      atomic.Int64 // when an endpoint last sent a byte, in nanoseconds
	cutOff       atomic.Bool

	mu          sync.Mutex
	tracker     reach.Tracker
	probing     map[string]bool // addresses that are being tried
	lastCheck   time.Duration   // when connections were last tried
	undecided   chan struct{}   // closed once it is known whether the host is cut off; nil if it is
	lastSilence time.Duration   // when silence last made the host try connections
}

// sendBegun and sendEnded record a send to an endpoint that waits for its response.
func (p *paths) sendBegun() {
	if p.waiting.Add(1) == 1 {
		p.waitingSince.Store(int64(p.now()))
	}
}

func (p *paths) sendEnded() { p.waiting.Add(-1) }

// heard records that an endpoint sent something.
func (p *paths) heard(now time.Duration) { p.heardAt.Store(int64(now)) }

// connected records the result of opening a connection to an endpoint, which began at a time.
func (p *paths) connected(address string, begun time.Duration, err error) {
	now := p.now()
	p.mu.Lock()
	if err == nil && p.undecided == nil && !p.tracker.CutOff() {
		p.tracker.Opened(now, address, 0) // the number of addresses matters only while cut off
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	addresses := p.addresses()
	p.mu.Lock()
	changed := false
	if err == nil {
		changed = p.tracker.Opened(now, address, len(addresses))
	} else {
		changed = p.tracker.Failed(now, begun, address, len(addresses))
	}
	cutOff := p.tracker.CutOff()
	p.settle()
	p.mu.Unlock()
	if changed {
		p.onChange(cutOff)
	}
	p.probe(addresses)
}

// settle updates what follows from the tracker; mu must be held.
func (p *paths) settle() {
	suspects := p.tracker.Suspects(p.now())
	p.cutOff.Store(p.tracker.CutOff())
	switch {
	case suspects && p.undecided == nil:
		p.undecided = make(chan struct{})
	case !suspects && p.undecided != nil:
		close(p.undecided)
		p.undecided = nil
	}
}

// isCutOff reports whether the host reaches no endpoint. If that is being found out, it waits for the result.
func (p *paths) isCutOff() bool {
	p.mu.Lock()
	undecided := p.undecided
	p.mu.Unlock()
	if undecided != nil {
		t := time.NewTimer(maxDecideWait)
		defer t.Stop()
		select {
		case <-undecided:
		case <-t.C:
		}
	}
	return p.cutOff.Load()
}

// check tries connections if it is time to; call it about ten times a second.
func (p *paths) check() {
	now := p.now()
	since := max(p.waitingSince.Load(), p.heardAt.Load())
	p.mu.Lock()
	p.settle()
	silent := p.waiting.Load() > 0 && now-time.Duration(since) > silenceCheckAfter && now-p.lastSilence >= silenceCheckInterval && !p.tracker.CutOff()
	if silent {
		p.lastSilence = now
	}
	due := p.tracker.CutOff() && now-p.lastCheck >= returnCheckInterval
	suspects := p.tracker.Suspects(now)
	p.mu.Unlock()
	if silent || due || suspects {
		addresses := p.addresses()
		if silent {
			p.tryOthers(addresses, silenceProbes)
		}
		p.probe(addresses)
	}
}

// probe tries the connections that the state of the tracker asks for.
func (p *paths) probe(addresses []string) {
	now := p.now()
	p.mu.Lock()
	n := 0
	switch {
	case p.tracker.Suspects(now):
		n = suspicionProbes
	case p.tracker.Recovering(), p.tracker.CutOff() && now-p.lastCheck >= returnCheckInterval:
		n = 1
	}
	p.mu.Unlock()
	if n > 0 {
		p.tryOthers(addresses, n)
	}
}

// tryOthers tries up to n connections to random endpoints: those that did not fail, unless the host is cut off.
func (p *paths) tryOthers(addresses []string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastCheck = p.now()
	for _, i := range rand.Perm(len(addresses)) {
		address := addresses[i]
		if len(p.probing) >= n {
			return
		}
		if p.probing[address] || (!p.tracker.CutOff() && p.tracker.Tried(address)) {
			continue
		}
		p.probing[address] = true
		go p.try(address)
	}
}

// try opens one connection.
func (p *paths) try(address string) {
	begun := p.now()
	err := p.dial(context.Background(), address)
	p.mu.Lock()
	delete(p.probing, address)
	p.mu.Unlock()
	p.connected(address, begun, err)
}

// addresses returns the addresses of the endpoints that may get requests.
func (b *balancer) addresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]string, 0, len(b.targets))
	for _, t := range b.targets {
		if !t.leaves() {
			out = append(out, t.Address)
		}
	}
	return out
}

// CutOff reports whether this host reaches no endpoint.
func (s *Server) CutOff() bool { return s.paths.cutOff.Load() }

// noteCutOff handles that the host lost, or found again, its paths to the endpoints. What it observed of them meanwhile says nothing
// about them.
func (s *Server) noteCutOff(cutOff bool) {
	if cutOff {
		s.Count.CutOffs.Add(1)
		s.pool.CloseIdle()
	}
	s.Log.Info("paths to endpoints changed", "cut_off", cutOff)
	s.balance.forgetFailures()
	s.balance.notifyPeers()
}

// forgetFailures forgets what this host observed of the failures of all endpoints.
func (b *balancer) forgetFailures() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.sched.ForgetFailures()
	for incarnation := range b.targets {
		b.changedLoads[incarnation] = true
	}
	b.poll(now)
}
