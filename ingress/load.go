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

// badLoadLine is the kind of the log lines about stated loads that are not valid.
const badLoadLine outcome.Kind = "bad load"

// maxLoggedLoad limits the bytes of an invalid value in a log line.
const maxLoggedLoad = 64

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
			c.s.Log.Info("endpoint states a load that is not valid; it is ignored, expected running,waiting,slots and optionally a time in hundredths", "endpoint", c.endpoint.Instance, "value", value[:min(len(value), maxLoggedLoad)], "error", err.Error())
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

// noteReportedLoad records, as the owner of an endpoint's slots, the load that another host read; mu must be held.
func (b *balancer) noteReportedLoad(now time.Duration, incarnation string, l *places.StatedLoad) {
	if l == nil || !l.Valid() {
		return
	}
	b.sched.ObserveReportedLoad(now-time.Duration(l.AgeMS)*time.Millisecond, incarnation, *l)
}

// StatedSlow returns the number of endpoints whose statements say now that work takes notably longer there than usual.
func (s *Server) StatedSlow() int {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sched.StatedSlow(b.now())
}
