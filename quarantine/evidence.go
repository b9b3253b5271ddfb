// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import "time"

// Crash says that an endpoint ended while it had a request.
type Crash struct {
	// Fingerprint is the request, Life the run of the endpoint's process that ended.
	Fingerprint Fingerprint `json:"f"`
	Incarnation string      `json:"l"`
	// AgeMS is the time in milliseconds since it ended, RanMS for how long it had had the request.
	AgeMS        int64 `json:"a"`
	RequestAgeMS int64 `json:"r"`
	// NoResponse says that nothing of an answer had come.
	NoResponse bool `json:"m,omitempty"`
	// Host is who saw it.
	Host string `json:"h"`
	// Inconclusive says that it may have ended for another reason that is known.
	Inconclusive bool `json:"u,omitempty"`
}

// Clear says that a request was answered whole: what ended under it before did not end of it.
type Clear struct {
	// Fingerprint is the request.
	Fingerprint Fingerprint `json:"f"`
	// AgeMS is the time in milliseconds since it was answered.
	AgeMS int64 `json:"a"`
}

// Hold says that a request is on trial, or refused for a time.
type Hold struct {
	// Fingerprint is the request.
	Fingerprint Fingerprint `json:"f"`
	// Request says what it is, for operators.
	Request string `json:"q,omitempty"`
	// SavedMS is the time in milliseconds since the hold was written where it outlasts all hosts, 0 if it was not.
	SavedMS int64 `json:"k,omitempty"`
	// LeftMS is the time in milliseconds that is left, Times the number of times that it was held, and AgeMS the time in
	// milliseconds since the last crash under it.
	LeftMS    int64 `json:"l"`
	HoldCount int   `json:"n"`
	AgeMS     int64 `json:"a"`
	// OnTrial says that it is sent only if that is granted. Trials is the number of sends that were granted, TriedMS the time in milliseconds since
	// the newest.
	OnTrial     bool  `json:"o,omitempty"`
	Trials      int   `json:"t,omitempty"`
	LastTrialMS int64 `json:"d,omitempty"`
}

// Evidence is what a host tells others.
type Evidence struct {
	Crashes []Crash `json:"c,omitempty"`
	Clears  []Clear `json:"k,omitempty"`
	Holds   []Hold  `json:"h,omitempty"`
}

// Scope says who is told, and so what.
type Scope uint8

const (
	// Local is for hosts that are told directly, or pass on: what this host saw itself.
	Local Scope = iota
	// Repeated is for many hosts: what any host saw of requests under which two endpoints crashed or more. Most endpoints that
	// crash have some ten requests, of which none comes under a crash again.
	Repeated
	// All is for the few hosts that pass on to many: what any host saw.
	All
)

// Empty says that nothing is told.
func (t *Evidence) Empty() bool {
	return len(t.Crashes) == 0 && len(t.Clears) == 0 && len(t.Holds) == 0
}

// spent gives a span; one that cannot be is taken for the nearest that can.
func spent(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), forget.Milliseconds())) * time.Millisecond
}

// aged gives the moment that lies an age back; an age that cannot be is taken for the nearest that can.
func aged(now time.Duration, ms int64) time.Duration {
	return now - spent(ms)
}
