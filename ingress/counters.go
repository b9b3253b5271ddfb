// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"reflect"
	"sync/atomic"
)

// Counters count outcomes of requests since the start.
type Counters struct {
	// Received counts requests; Served those whose answer went back whole.
	Received, Served atomic.Int64
	// NoSettings, Stale, NoRoute, NoKey and Bad count refusals before a decision.
	NoSettings, Stale, NoRoute, NoKey, Bad atomic.Int64
	// OverQuota, Overload, Stopping and Memory count refusals for a time.
	OverQuota, Overload, Stopping, Memory atomic.Int64
	// Unproven counts requests that were refused because the host had not run for a while and had heard nothing since.
	Unproven atomic.Int64
	// OldList counts requests that were refused because the list of endpoints was too old.
	OldList atomic.Int64
	// Held counts requests that were refused because endpoints crash under them.
	Held atomic.Int64
	// Trials counts sends of requests on trial, TrialsUnknown those that were not made since the store gave no answer.
	Trials, TrialsUnknown atomic.Int64
	// Rejected counts sends that endpoints did not run, Lost those without a whole answer.
	Rejected, Lost atomic.Int64
	// Repeated counts sends beyond the first, Resumed streams that went on elsewhere.
	Repeated, Resumed atomic.Int64
	// Cut counts answers broken off, Gone callers that left.
	Cut, Gone atomic.Int64
	// LeftAtWork, LateAtWork and MuteAtWork count sends that this host ended while an endpoint may
	// have been at work on them: because their caller had left, because their deadline had
	// passed, and because the endpoint had been silent for so long that another one was
	// asked. WorkLostMS is the time, in milliseconds, from their sending to that end.
	LeftAtWork, LateAtWork, MuteAtWork, WorkLostMS atomic.Int64
	// LifeOver counts sends that this host ended because their endpoint had started again.
	LifeOver atomic.Int64
	// LinesDropped counts lines on requests that were beyond the bound on logs.
	LinesDropped atomic.Int64
}

// All gives the counters by name.
func (c *Counters) All() map[string]int64 {
	v := reflect.ValueOf(c).Elem()
	out := make(map[string]int64, v.NumField())
	for i := range v.NumField() {
		out[v.Type().Field(i).Name] = v.Field(i).Addr().Interface().(*atomic.Int64).Load()
	}
	return out
}
