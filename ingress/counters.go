// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"reflect"
	"sync/atomic"
)

// Counters count outcomes of requests since the start. They are published under their field names.
type Counters struct {
	// Received counts requests; Served counts those whose response was delivered completely.
	Received, Served atomic.Int64
	// NoSettings, Stale, NoRoute, NoKey and Bad count refusals before a scheduling decision.
	NoSettings, Stale, NoRoute, NoKey, Bad atomic.Int64
	// OverQuota, Overload, Stopping and Memory count temporary refusals.
	OverQuota, Overload, Stopping, Memory atomic.Int64
	// Unproven counts requests refused because the process had not run for a while and the host had received no confirmation of its
	// settings and endpoints since.
	Unproven atomic.Int64
	// OldList counts requests refused because the endpoint list was too old.
	OldList atomic.Int64
	// Held counts requests refused because endpoints crash while running them, and PartsHeld those of them that were refused for a part
	// of their prompts.
	Held, PartsHeld atomic.Int64
	// Trials counts sends of requests on trial, TrialsUnknown those not made because the store gave no answer.
	Trials, TrialsUnknown atomic.Int64
	// Rejected counts sends that endpoints did not execute, Lost those without a complete response.
	Rejected, Lost atomic.Int64
	// Skipped counts responses that were skipped since they belong to requests sent on the connection before.
	Skipped atomic.Int64
	// Repeated counts retries, Resumed streams that were continued at another endpoint in the same response, and ResumedByCallers streams that
	// callers resumed with another request.
	Repeated, Resumed, ResumedByCallers atomic.Int64
	// NoOrigin counts requests to resume a stream that were refused because no host knew at which version it began.
	NoOrigin atomic.Int64
	// CutUnframed counts responses without a length or chunks whose endpoint had crashed when they ended.
	CutUnframed atomic.Int64
	// EndedAfterClose counts such responses of endpoints that had closed their port and gone on to write.
	EndedAfterClose atomic.Int64
	// BrokenUnframed counts responses without a length or chunks whose connection failed before their end, and InvalidHeads those whose head
	// is not one of HTTP. Both count those of other hosts, too.
	BrokenUnframed, InvalidHeads atomic.Int64
	// OverLimit counts responses of endpoints and other hosts that exceeded a limit, and those with bytes behind their end.
	OverLimit atomic.Int64
	// IdleClosed counts callers' connections without a request that were closed because there were too many.
	IdleClosed atomic.Int64
	// SlowReaders counts responses that were ended because the caller did not read them, and SlowReadersForMemory those of them that
	// were ended sooner to free their memory.
	SlowReaders, SlowReadersForMemory atomic.Int64
	// Cut counts responses that broke off, Gone callers that left.
	Cut, Gone atomic.Int64
	// LeftAtWork, LateAtWork and MuteAtWork count sends that this host canceled while an endpoint may have been working on them:
	// because the caller had left, because the deadline had passed, and because the endpoint had been silent and another
	// one had taken over. WorkLostMS sums the time from these sends to their cancellation, in milliseconds.
	LeftAtWork, LateAtWork, MuteAtWork, WorkLostMS atomic.Int64
	// Hedged counts sends to another endpoint while the first one was silent, HedgesDropped those of them that did not take over.
	Hedged, HedgesDropped atomic.Int64
	// CutOffs counts how often the host reached no endpoint. Relayed counts the requests that it sent to other hosts then, RelaysLost
	// those of them without a complete response, and RelayedHere those that other hosts sent to this one.
	CutOffs, Relayed, RelaysLost, RelayedHere atomic.Int64
	// LifeOver counts sends that this host canceled because their endpoint had restarted.
	LifeOver atomic.Int64
	// BadLimits counts responses with a stated limit that is no number.
	BadLimits atomic.Int64
	// LoadsStated counts responses with a stated load, BadLoads those whose stated load is not valid, and DoubtedLoads those that state less
	// than this host itself has running there.
	LoadsStated, BadLoads, DoubtedLoads atomic.Int64
	// LeavingStated counts responses whose endpoint said that it leaves, RestsStated those that asked this host for rest, and BadRests
	// those that asked for it for a time that cannot be read.
	LeavingStated, RestsStated, BadRests atomic.Int64
	// SlotsGranted counts slots that this host granted as their owner, and SlotsReturned those that were granted to it and that it did not
	// need. ShareLimited counts, for each workspace, the seconds in which it was limited by its share of the slots that this host owns.
	SlotsGranted, SlotsReturned, ShareLimited atomic.Int64
	// LengthKnown counts requests with an expected length of the answer, LengthKnownServed those of them that were served, and Longest and
	// LongestServed the same of the longest tenth of each service. If a much smaller share of the longest is served, it is refused for its
	// length.
	LengthKnown, LengthKnownServed, Longest, LongestServed atomic.Int64
	// LinesDropped counts log lines about requests that were dropped because they exceeded the limit of their kind.
	LinesDropped atomic.Int64
}

// All returns the counters by field name.
func (c *Counters) All() map[string]int64 {
	v := reflect.ValueOf(c).Elem()
	out := make(map[string]int64, v.NumField())
	for i := range v.NumField() {
		out[v.Type().Field(i).Name] = v.Field(i).Addr().Interface().(*atomic.Int64).Load()
	}
	return out
}
