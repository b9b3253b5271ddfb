// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// fastRetryDelay is the time after which one of the first calls without an answer is followed by
	// another one: many times the time that a healthy store takes to answer.
	fastRetryDelay = 100 * time.Millisecond
	// slowRetryDelay is that time on hosts on which no others rely, once outageCalls calls are without
	// an answer: the store may be late because it has much to do.
	slowRetryDelay = 400 * time.Millisecond
	// callTimeout is the time after which this host gives up a call. An answer that comes later tells
	// nothing recent enough to decide by.
	callTimeout = 3 * time.Second
	// shortCallTimeout is the time for which a host that knows of an outage waits for an answer before
	// its next call. It also bounds a call that is not repeated.
	shortCallTimeout = time.Second
)

// maxInFlight is the largest number of calls that a poller can have in flight: it starts one each
// fastRetryDelay, and each ends after callTimeout. There is no lower limit, since calls that are
// unanswered may never be answered although the store is back.
const maxInFlight = int(callTimeout / fastRetryDelay)

// errNoAnswer means that the store did not answer.
var errNoAnswer = eris.New("store does not answer; retrying")

// poller calls the store for one of its followers, and retries calls that fail. Calls stay in flight
// when others are answered, and between polls: a late answer is as good as its call is recent.
type poller struct {
	health *StoreHealth
	// rank returns this host's rank among the readers; it may be nil. lastReader is the highest rank of
	// the hosts on whose reads the others rely.
	rank       func() int
	lastReader int
	// retryInterval is the time between attempts while the store fails.
	retryInterval time.Duration
	// waitTime returns how long the next call may wait for changes.
	waitTime func() time.Duration
	// isDue tells whether the next read is still due; peers may have proven meanwhile what this host
	// reads.
	isDue func() bool
	// call does one call. sent is when it is sent, wait how long it waits for changes.
	call func(ctx context.Context, sent, wait time.Duration) error

	results    chan error    // results of calls, dropped if nobody waits for them
	lastStart  time.Duration // when the last call was started
	answeredAt atomic.Int64  // when this host last read an answer to one of the calls, by its clock, in nanoseconds
}

// init prepares the poller for use.
func (p *poller) init() { p.results = make(chan error, maxInFlight) }

// lastAnswer returns when this host last read an answer to one of the calls, 0 for never.
func (p *poller) lastAnswer() time.Duration { return time.Duration(p.answeredAt.Load()) }

// poll calls the store until a call succeeds or the store is known to fail; while it is known to fail,
// poll calls it only once. A single call may fail for reasons of its own. A call that is late is
// followed by further ones; those do not wait for changes. Calls end with ctx, not with poll.
func (p *poller) poll(ctx context.Context) error {
	p.dropResults()
	if rest := p.lastStart + p.retryDelay() - p.health.Now(); p.lastStart > 0 && rest > 0 {
		if err := p.await(ctx, rest); err == nil {
			return nil
		}
	}
	if p.health.isFailing() {
		p.start(ctx, 0)
		if err := p.await(ctx, shortCallTimeout); !errors.Is(err, ErrCompacted) {
			return err
		}
	}
	wait := p.waitTime()
	for compacted := false; ctx.Err() == nil; wait = 0 {
		p.start(ctx, wait)
		err := p.await(ctx, wait+p.retryDelay())
		switch {
		case err == nil:
			return nil
		case p.health.isFailing():
			return err
		case !p.isDue():
			return nil
		case errors.Is(err, ErrCompacted) && !compacted:
			compacted = true // retry at once: the compacted range has to be read again
		case !errors.Is(err, errNoAnswer):
			sleep(ctx, p.retryDelay())
		}
	}
	return ctx.Err()
}

// start starts a call.
func (p *poller) start(ctx context.Context, wait time.Duration) {
	p.lastStart = p.health.Now()
	call := p.health.begin(wait)
	go func() {
		err := p.doCall(ctx, call, wait)
		select {
		case p.results <- err:
		default:
		}
	}()
}

// await waits for the result of any call, for d at most.
func (p *poller) await(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case err := <-p.results:
		return err
	case <-t.C:
		return errNoAnswer
	case <-ctx.Done():
		return ctx.Err()
	}
}

// dropResults drops the results that nobody waited for. What was read is in force all the same.
func (p *poller) dropResults() {
	for {
		select {
		case <-p.results:
		default:
			return
		}
	}
}

// readAge is the age at which this host reads again what has maxAge: interval on the hosts on which the
// others rely, or less if the store is slow, so that the answer arrives before the data is too old; and
// the age that ReadAge returns on the others.
func (p *poller) readAge(interval, maxAge time.Duration, viaRelay func() bool) time.Duration {
	if p.isReader() {
		return min(interval, p.health.latestRead(maxAge))
	}
	return ReadAge(interval, p.rank()-p.lastReader, viaRelay != nil && viaRelay())
}

// isReader reports whether other hosts rely on the reads of this one.
func (p *poller) isReader() bool { return p.rank == nil || p.rank() <= p.lastReader }

// retryDelay is the time between two calls of which the first has no answer.
func (p *poller) retryDelay() time.Duration {
	if p.isReader() || p.health.unansweredCalls() < outageCalls {
		return fastRetryDelay
	}
	return slowRetryDelay
}

// doCall does one call and records what its result says about the store.
func (p *poller) doCall(ctx context.Context, call storeCall, wait time.Duration) error {
	callCtx, cancel := context.WithTimeout(withAnswerStarted(ctx, func() { p.health.beginAnswer(call) }), wait+callTimeout)
	defer cancel()
	err := p.call(callCtx, call.sent, wait)
	switch {
	case err == nil:
		p.answeredAt.Store(int64(p.health.Now()))
		p.health.answered(call)
	case errors.Is(err, ErrCompacted):
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
	p.health.awaitRegained(ctx, p.retryInterval)
	for interval > p.retryInterval && ctx.Err() == nil && p.health.isFailing() && !p.health.mayRetry(end, interval/2) {
		remaining := end - p.health.Now()
		if remaining <= 0 {
			remaining = p.retryInterval
		}
		p.health.awaitRegained(ctx, min(remaining, p.retryInterval))
	}
}
