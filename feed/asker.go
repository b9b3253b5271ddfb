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
	// tryPace is the time after which a call without an answer is followed by another one: many times that of an answer of a sound
	// store.
	tryPace = 100 * time.Millisecond
	// patience is the time after which this host gives up a call to a store that is not known to fail: a process short of processor
	// may come to read the answer late.
	patience = 3 * time.Second
	// storeTimeout bounds a call that does not wait for changes while the store is known to fail, and one that is not repeated.
	storeTimeout = time.Second
)

// errSilent means that the store gave no answer.
var errSilent = eris.New("store gives no answer; it is asked again")

// asker asks the store for one of those who follow it.
type asker struct {
	reach *StoreHealth
	// turn is this host's turn, or nil.
	turn func() int
	// pause is the time between tries while the store fails.
	pause time.Duration
	// wait is how long the next call may wait for changes.
	wait func() time.Duration
	// call does one call, which was sent at a moment and waits for changes for a time.
	call func(ctx context.Context, sent, wait time.Duration) error
}

// try asks the store until a call succeeds or it is known to fail; then it asks once. Each call may be the only one that fails. One that is
// late goes on beside those that follow it, which wait for nothing.
func (a *asker) try(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if a.reach.isOut() {
		if err := a.ask(ctx, 0); !errors.Is(err, ErrCompacted) {
			return err
		}
	}
	answers := make(chan error)
	err := errSilent
	for n := 1; ctx.Err() == nil; n++ {
		wait := time.Duration(0)
		if n == 1 {
			wait = a.wait()
		}
		pace, over := context.WithTimeout(ctx, a.pace(n)+wait)
		if n == 1 || a.reach.underWay() < mostUnder(n) {
			go func() {
				select {
				case answers <- a.ask(ctx, wait):
				case <-ctx.Done():
				}
			}()
		}
		select {
		case err = <-answers:
			if err == nil {
				over()
				return nil
			}
			if !errors.Is(err, ErrCompacted) || n > 1 {
				sleep(ctx, a.pace(n))
			} // else at once: what the store forgot is to be read anew
		case <-pace.Done():
		}
		over()
		if a.reach.isOut() {
			break
		}
	}
	return err
}

// mostUnder bounds the calls of a host that are under way at once. In a quick row those of another asker that are silent tell as much as
// more of this one's would; later those that are silent may never be answered although the store is back.
func mostUnder(n int) int {
	if n < outageTries {
		return outageTries
	}
	return 6 * outageTries
}

// pace is the time between a call and the next one, of a row: short for as many as tell an outage, then the usual pause.
func (a *asker) pace(n int) time.Duration {
	if n < outageTries {
		return tryPace
	}
	return max(tryPace, a.pause)
}

// ask does one call and notes what it tells of the store.
func (a *asker) ask(ctx context.Context, wait time.Duration) error {
	timeout := wait + patience
	if a.reach.isOut() {
		timeout = wait + storeTimeout
	}
	call := a.reach.begin(wait)
	cctx, cancel := context.WithTimeout(withHeard(ctx, func() { a.reach.end(call) }), timeout)
	defer cancel()
	err := a.call(cctx, call.sent, wait)
	switch {
	case err == nil || ctx.Err() != nil || errors.Is(err, ErrCompacted):
		a.reach.end(call)
	case cctx.Err() != nil:
		a.reach.giveUp(call)
	default:
		a.reach.fail(call)
	}
	return err
}

// rest waits after a failure until the store is asked again, for a pause at least. It grows with the turn only in an outage; then the askers of
// a host ask by turns, and one does before the last call that failed excuses nothing any more.
func (a *asker) rest(ctx context.Context) {
	pause := a.pause
	if a.reach.isOut() {
		pause = pauseAfterFailure(a.pause, a.turn)
	}
	end := a.reach.Now() + pause
	sleep(ctx, a.pause)
	for pause > a.pause && ctx.Err() == nil && !a.reach.mayAsk(end, pause/2) {
		left := end - a.reach.Now()
		if left <= 0 {
			left = a.pause
		}
		sleep(ctx, min(left, a.pause))
	}
}
