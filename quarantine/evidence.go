// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import "time"

// Crash is the evidence that an endpoint ended while it had a request.
type Crash struct {
	// Fingerprint identifies the request, and Incarnation is the run of the endpoint's process that
	// ended.
	Fingerprint Fingerprint `json:"f"`
	Incarnation string      `json:"l"`
	// AgeMS is the time in milliseconds since the endpoint ended, and RequestAgeMS how long in
	// milliseconds it had had the request.
	AgeMS        int64 `json:"a"`
	RequestAgeMS int64 `json:"r"`
	// NoResponse reports that no part of an answer had arrived.
	NoResponse bool `json:"m,omitempty"`
	// Host is the host that observed the crash.
	Host string `json:"h"`
	// Inconclusive reports that another known reason may have ended the endpoint.
	Inconclusive bool `json:"u,omitempty"`
}

// Clear is the evidence that a request was answered completely, so it did not cause the crashes
// before that.
type Clear struct {
	// Fingerprint identifies the request.
	Fingerprint Fingerprint `json:"f"`
	// AgeMS is the time in milliseconds since the answer.
	AgeMS int64 `json:"a"`
}

// Hold is the evidence that a request is on trial or refused for a time.
type Hold struct {
	// Fingerprint identifies the request.
	Fingerprint Fingerprint `json:"f"`
	// Request describes the request for operators.
	Request string `json:"q,omitempty"`
	// SavedMS is the time in milliseconds since the hold was written to the store, which survives
	// the loss of all hosts, or 0 if it was not written.
	SavedMS int64 `json:"k,omitempty"`
	// LeftMS is the time in milliseconds that is left of the hold, HoldCount the number of holds so
	// far, and AgeMS the time in milliseconds since the last crash.
	LeftMS    int64 `json:"l"`
	HoldCount int   `json:"n"`
	AgeMS     int64 `json:"a"`
	// OnTrial reports that each send must be granted. Trials is the number of sends that were
	// granted, and LastTrialMS the time in milliseconds since the last of them.
	OnTrial     bool  `json:"o,omitempty"`
	Trials      int   `json:"t,omitempty"`
	LastTrialMS int64 `json:"d,omitempty"`
}

// Evidence is the message in which hosts exchange what they know.
type Evidence struct {
	Crashes []Crash `json:"c,omitempty"`
	Clears  []Clear `json:"k,omitempty"`
	Holds   []Hold  `json:"h,omitempty"`
	// Parts is the evidence on parts of prompts, nil if there is none.
	Parts *Evidence `json:"p,omitempty"`
}

// Scope selects the evidence to send by the receivers.
type Scope uint8

const (
	// Local is for peers that receive from this host directly and for relays that pass its evidence
	// on: what this host observed itself.
	Local Scope = iota
	// Repeated is for many peers: what any host observed of requests under which two or more
	// endpoints crashed. Most endpoints that crash have about ten requests, none of which meets a
	// second crash.
	Repeated
	// All is for the few peers that relay to many: what any host observed.
	All
)

// Empty reports whether there is no evidence.
func (e *Evidence) Empty() bool {
	return len(e.Crashes) == 0 && len(e.Clears) == 0 && len(e.Holds) == 0 && (e.Parts == nil || e.Parts.Empty())
}

// clampSpan converts milliseconds to a duration from 0 to evidenceTTL; values outside are clamped.
func clampSpan(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), evidenceTTL.Milliseconds())) * time.Millisecond
}

// momentAt returns the time that lies ms milliseconds before now; invalid ages are clamped.
func momentAt(now time.Duration, ms int64) time.Duration {
	return now - clampSpan(ms)
}
