// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"strconv"
	"time"
)

// Endpoint is an endpoint as described by its own entry.
type Endpoint struct {
	// Instance names the endpoint; Service is what it serves. An endpoint that restarts may keep its
	// name.
	Instance string `json:"instance"`
	Service  string `json:"service"`
	// StartedMS distinguishes the incarnations of an instance: the Unix time of its start in
	// milliseconds by its own clock, or 0 if the entry does not say.
	StartedMS int64 `json:"born,omitempty"`
	// Address is its IP number and port, Zone its availability zone.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Version is the version of its software.
	Version string `json:"version,omitempty"`
	// Slots is the number of requests that it works on at once.
	Slots int `json:"slots"`
	// Leaving says that it gets no new work.
	Leaving bool `json:"leaving,omitempty"`
	// ColdLeft is how much longer it stays cold, in nanoseconds, from when its entry was read; see
	// route.Service.ColdRate.
	ColdLeft time.Duration `json:"cold,omitempty"`
	// Lapsed says that its entry disappeared while the store was failing.
	Lapsed bool `json:"lapsed,omitempty"`
}

// Incarnation names one incarnation of the endpoint. What was learned of another incarnation of the
// same instance does not hold for it, and what ran there has ended.
func (e *Endpoint) Incarnation() string {
	if e.StartedMS == 0 {
		return e.Instance
	}
	return e.Instance + "@" + strconv.FormatInt(e.StartedMS, 10)
}
