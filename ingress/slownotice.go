// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"time"

	"github.com/heathkeel/heathkeel/sched"
)

// Parameters of notices of slow endpoints. A host asks the owner of an endpoint's slots only while slots are scarce, and hears from the
// endpoint itself only every few seconds.
const (
	// slowNoticeInterval is the time after which the owner repeats that an endpoint is slow, about the time in which hosts forget it.
	slowNoticeInterval = time.Second
	// noticeRate and noticeBurst limit the notices that a host sends, in messages per second: with 75 bytes each, 1.2 KB/s.
	noticeRate  = 16
	noticeBurst = 128
	// slowNoticeUserTTL is the time for which the owner remembers that a host uses an endpoint.
	slowNoticeUserTTL = 10 * time.Second
)

// slowNotice is what the owner of an endpoint's slots needs to tell other hosts that it is slow.
type slowNotice struct {
	users  map[string]time.Duration // hosts that use the endpoint, and when they last sent a message about it
	sent   bool
	sentAt time.Duration
}

// noticeBudget limits the notices that a host sends. The zero value is full.
type noticeBudget struct {
	used float64       // messages, as of at
	at   time.Duration // time of the last call of take
}

// take reports whether one more message may be sent, and counts it.
func (n *noticeBudget) take(now time.Duration) bool {
	n.used, n.at = max(0, n.used-noticeRate*(now-n.at).Seconds()), now
	if n.used+1 > noticeBurst {
		return false
	}
	n.used++
	return true
}

// announceSlow calls tell for the hosts that use an endpoint when it has become slow by its statements, and again while it stays so. from
// is the host whose message is being handled; mu must be held.
func (b *balancer) announceSlow(now time.Duration, t *target, from string, tell func(host string)) {
	n := &t.slowNotice
	if n.users == nil {
		n.users = make(map[string]time.Duration)
	}
	n.users[from] = now
	if b.sched.Slowdown(now, t.Incarnation()) < sched.NotablySlow {
		n.sent = n.sent && now-n.sentAt < slowNoticeInterval
		return
	}
	if n.sent && now-n.sentAt < slowNoticeInterval {
		return
	}
	n.sent, n.sentAt = true, now
	for host, at := range n.users {
		switch {
		case now-at > slowNoticeUserTTL:
			delete(n.users, host)
		case !b.slots.slowNotices.take(now):
			return // the others, in the random order of maps, with the next notice
		default:
			tell(host)
		}
	}
}
