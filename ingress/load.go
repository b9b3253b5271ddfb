// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/places"
	"github.com/heathkeel/heathkeel/sched"
)

// An endpoint states its load in its responses: how many requests run and wait there, its slots, and how long work takes there now. The
// host that reads it tells the owner of the endpoint's slots, in a message that it sends anyway; see docs/design/stated-load.md.

// badLoadLine limits the log lines about stated loads that are not valid.
const badLoadLine outcome.Kind = "bad load"

// maxLoggedLoad limits the bytes of such a value in a line.
const maxLoggedLoad = 64

// maxStatedAge is the age up to which a stated load is sent to the owner of the endpoint's slots. Older ones have lost most of their
// weight.
const maxStatedAge = 2 * time.Second

var (
	errLoadFields = errors.New("not three or four fields")
	errLoadValue  = errors.New("a value is out of range")
)

// parseLoad parses a stated load: running, waiting and slots, and optionally how long work takes, where 100 is the usual time, separated
// by commas.
func parseLoad(v string) (places.StatedLoad, error) {
	fields := strings.SplitN(v, ",", 5)
	if len(fields) != 3 && len(fields) != 4 {
		return places.StatedLoad{}, errLoadFields
	}
	var values [4]int
	for i, f := range fields {
		n, err := strconv.ParseUint(strings.TrimSpace(f), 10, 31)
		if err != nil {
			return places.StatedLoad{}, err
		}
		values[i] = int(n)
	}
	l := places.StatedLoad{Running: values[0], Waiting: values[1], Slots: values[2], Slowdown: values[3]}
	if !l.Valid() || (len(fields) == 4 && l.Slowdown == 0) {
		return places.StatedLoad{}, errLoadValue
	}
	return l, nil
}

// noteLoad records the load that a response states. A value that is not valid is logged and ignored.
func (c *call) noteLoad(h http.Header) {
	values := h.Values(c.s.Headers.Load)
	if len(values) == 0 || c.s.Policy.Disabled.StatedLoad {
		return
	}
	value := strings.Join(values, ",")
	l, err := parseLoad(value)
	if err != nil {
		c.s.Count.BadLoads.Add(1)
		if c.allowLine(badLoadLine, c.s.Now()) {
			c.s.Log.Info("endpoint states a load that is not valid; it is ignored", "endpoint", c.endpoint.Instance, "value", value[:min(len(value), maxLoggedLoad)], "error", err.Error())
		}
		return
	}
	c.s.Count.LoadsStated.Add(1)
	if !c.s.balance.noteLoad(c.endpoint.Incarnation(), c.req, l) {
		c.s.Count.DoubtedLoads.Add(1)
	}
}

// noteLoad records a load stated in the response to a request, and reports whether it is believed. A changed slowdown is sent to the
// owner of the endpoint's slots soon, anything else with the next message.
func (b *balancer) noteLoad(incarnation string, r *sched.Request, l places.StatedLoad) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[incarnation]
	if t == nil || b.sched.Config.Disabled.StatedLoad {
		return true
	}
	now := b.now()
	believed, changed := b.sched.ObserveStatedLoad(now, incarnation, r, l)
	if !believed {
		return false
	}
	t.unsentLoad.StatedLoad, t.unsentLoad.at, t.unsentLoad.urgent = l, now, t.unsentLoad.urgent || changed
	if changed {
		b.requestSlots()
	}
	return true
}

// unsentLoad is a stated load that the owner of the endpoint's slots was not told yet.
type unsentLoad struct {
	places.StatedLoad
	at     time.Duration
	urgent bool // it is sent without waiting for another reason for a message
}

// take returns the load to send to the owner and forgets it, or nil if there is none.
func (u *unsentLoad) take(now time.Duration) *places.StatedLoad {
	l, at := u.StatedLoad, u.at
	*u = unsentLoad{}
	if l.Slots == 0 || now-at > maxStatedAge {
		return nil
	}
	l.AgeMS = int((now - at).Milliseconds())
	return &l
}

// noteReportedLoad records, as the owner of an endpoint's slots, the load that another host read; mu must be held.
func (b *balancer) noteReportedLoad(now time.Duration, incarnation string, l *places.StatedLoad) {
	if l == nil || !l.Valid() {
		return
	}
	b.sched.ObserveReportedLoad(now-time.Duration(l.AgeMS)*time.Millisecond, incarnation, *l)
}

// Parameters of notices of slow endpoints. A host asks the owner of an endpoint's slots only while slots are scarce, and hears from the
// endpoint itself only every few seconds.
const (
	// slowNoticeInterval is the time after which the owner repeats that an endpoint is slow, about the time in which hosts forget it.
	slowNoticeInterval = time.Second
	// noticeRate and noticeBurst limit the notices that a host sends, in messages per second: with 75 bytes each, 1.2 KB/s.
	noticeRate  = 16
	noticeBurst = 128
	// slowNoticeUsers is the time for which the owner remembers that a host uses an endpoint.
	slowNoticeUsers = 10 * time.Second
)

// slowNotice is what the owner of an endpoint's slots needs to tell other hosts that it is slow.
type slowNotice struct {
	users  map[string]time.Duration // hosts that use the endpoint, and when they last sent a message about it
	sent   bool
	sentAt time.Duration
}

// noticeBudget limits the notices that a host sends. The zero value is full.
type noticeBudget struct {
	used float64
	at   time.Duration
}

// take takes one message and reports whether there was one left.
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
		case now-at > slowNoticeUsers:
			delete(n.users, host)
		case !b.slots.slowNotices.take(now):
			return // the others, in the random order of maps, with the next notice
		default:
			tell(host)
		}
	}
}

// StatedSlow returns the number of endpoints whose statements say now that work takes notably longer there than usual.
func (s *Server) StatedSlow() int {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sched.StatedSlow(b.now())
}
