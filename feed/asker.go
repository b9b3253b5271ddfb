// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// fastRetryDelay is the time after which a call without an answer is followed by another one: many
	// times the time that a healthy store takes to answer.
	fastRetryDelay = 100 * time.Millisecond
	// callTimeout is the time after which this host gives up a call to a store that is not known to
	// fail. It is long because a process short of CPU time may read an answer late.
	callTimeout = 3 * time.Second
	// shortCallTimeout bounds a call that does not wait for changes while the store is known to fail,
	// and a call that is not repeated.
	shortCallTimeout = time.Second
)

// errNoAnswer means that the store did not answer.
var errNoAnswer = eris.New("store does not answer; retrying")

// poller calls the store for one of its followers, and retries calls that fail.
type poller struct {
	health *StoreHealth
	// rank returns this host's rank among the readers; it may be nil.
	rank func() int
	// retryInterval is the time between attempts while the store fails.
	retryInterval time.Duration
	// waitTime returns how long the next call may wait for changes.
	waitTime func() time.Duration
	// call does one call. sent is when it is sent, wait how long it waits for changes.
	call func(ctx context.Context, sent, wait time.Duration) error
}

// poll calls the store until a call succeeds or the store is known to fail; while it is known to fail,
// poll calls it only once. A single call may fail for reasons of its own. A call that is late stays in
// flight while further calls are sent; those do not wait for changes.
func (p *poller) poll(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if p.health.isFailing() {
		if err := p.callOnce(ctx, 0); !errors.Is(err, ErrCompacted) {
			return err
		}
	}
	answers := make(chan error)
	err := errNoAnswer
	for n := 1; ctx.Err() == nil; n++ {
		wait := time.Duration(0)
		if n == 1 {
			wait = p.waitTime()
		}
		delay, stopDelay := context.WithTimeout(ctx, p.retryDelay(n)+wait)
		if n == 1 || p.health.inFlight() < maxInFlight(n) {
			go func() {
				select {
				case answers <- p.callOnce(ctx, wait):
				case <-ctx.Done():
				}
			}()
		}
		select {
		case err = <-answers:
			if err == nil {
				stopDelay()
				return nil
			}
			if !errors.Is(err, ErrCompacted) || n > 1 {
				sleep(ctx, p.retryDelay(n))
			} // otherwise retry at once: the compacted range has to be read again
		case <-delay.Done():
		}
		stopDelay()
		if p.health.isFailing() {
			break
		}
	}
	return err
}

// maxInFlight bounds the calls that a host has in flight at attempt n. During the fast retries,
// unanswered calls of the host's other poller say as much about the store as more calls of this one
// would. Later the bound is higher, since calls that are unanswered may never be answered although the
// store is back.
func maxInFlight(n int) int {
	if n < outageCalls {
		return outageCalls
	}
	return 6 * outageCalls
}

// retryDelay is the time between attempt n and the next one: short for the first outageCalls attempts,
// which suffice to detect an outage, then the usual retry interval.
func (p *poller) retryDelay(n int) time.Duration {
	if n < outageCalls {
		return fastRetryDelay
	}
	return max(fastRetryDelay, p.retryInterval)
}

// callOnce does one call and records what its result says about the store.
func (p *poller) callOnce(ctx context.Context, wait time.Duration) error {
	timeout := wait + callTimeout
	if p.health.isFailing() {
		timeout = wait + shortCallTimeout
	}
	call := p.health.begin(wait)
	callCtx, cancel := context.WithTimeout(withAnswerStarted(ctx, func() { p.health.end(call) }), timeout)
	defer cancel()
	err := p.call(callCtx, call.sent, wait)
	switch {
	case err == nil || errors.Is(err, ErrCompacted):
		p.health.answered(call)
	case ctx.Err() != nil:
		p.health.end(call)
	case callCtx.Err() != nil:
		p.health.giveUp(call)
	default:
		p.health.fail(call)
	}
	return err
}

// backOff waits after a failure until the store may be called again, for one retry interval at least.
// The interval grows with the rank only in an outage. Then the pollers of a host take turns, and one
// of them calls before the last failed call is too old to excuse an old list.
func (p *poller) backOff(ctx context.Context) {
	interval := p.retryInterval
	if p.health.isFailing() {
		interval = outageRetryInterval(p.retryInterval, p.rank)
	}
	end := p.health.Now() + interval
	sleep(ctx, p.retryInterval)
	for interval > p.retryInterval && ctx.Err() == nil && !p.health.mayRetry(end, interval/2) {
		remaining := end - p.health.Now()
		if remaining <= 0 {
			remaining = p.retryInterval
		}
		sleep(ctx, min(remaining, p.retryInterval))
	}
}
