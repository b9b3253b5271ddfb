// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"time"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/upstream"
)

// relayCheckInterval is the time between two checks whether a relayed send is silent.
const relayCheckInterval = 100 * time.Millisecond

// relayWatch ends a relayed send that is silent for too long, if another host may take its place. Silence alone does not end it: the
// other host notices itself that its endpoint is silent, and what it runs would be lost, or run more often than the route allows.
type relayWatch struct {
	conn  *upstream.Conn
	limit time.Duration
	now   func() time.Duration
	gaps  *clock.GapDetector
	// mayEnd reports whether the send may be ended. It is called again and again, by another goroutine than that of the send.
	mayEnd func() bool

	stopped chan struct{}
	result  chan bool
}

// start starts the watch; a limit of 0 means that the send is not ended.
func (w *relayWatch) start() {
	if w.limit > 0 {
		w.stopped, w.result = make(chan struct{}), make(chan bool, 1)
		go func() { w.result <- w.run() }()
	}
}

// stop stops the watch and reports whether it has ended the send.
func (w *relayWatch) stop() bool {
	if w.limit <= 0 {
		return false
	}
	close(w.stopped)
	return <-w.result
}

// run watches the send until it is over, and reports whether it has ended it. Time in which this process did not run is no silence.
func (w *relayWatch) run() bool {
	t := time.NewTicker(relayCheckInterval)
	defer t.Stop()
	received, since := w.conn.Received(), w.now()
	for {
		select {
		case <-w.stopped:
			return false
		case <-t.C:
		}
		now := w.now()
		if n := w.conn.Received(); n != received || w.gaps.GapSince(since) {
			received, since = n, now
			continue
		}
		if now-since >= w.limit && w.mayEnd() {
			w.conn.Close()
			return true
		}
	}
}

// mayEndRelay reports whether a silent send to another host may be ended: that host is heard of no more, or reaches no endpoint itself,
// there is a host that was not tried, and the retry that it needs was granted.
func (c *call) mayEndRelay(to RelayTarget, tried map[string]bool) bool {
	if c.s.ReachesEndpoints != nil && c.s.ReachesEndpoints(to.Host) {
		return false
	}
	_, ok := pickTarget(c.s.relayTargets(), tried, 0)
	return ok && c.s.takeRetry(c.service.Name)
}
