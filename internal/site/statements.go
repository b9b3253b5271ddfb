// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import "fmt"

// StateRate makes the endpoint state in its answers, from now on, the requests a second that it takes from all
// hosts together; a negative rate ends that.
func (e *Endpoint) StateRate(perSecond float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limited, e.rate = perSecond >= 0, perSecond
}

// rateHeader returns the header field that states the endpoint's rate, or nothing.
func (e *Endpoint) rateHeader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.limited {
		return ""
	}
	return fmt.Sprintf("Server-Limit: %.2f\r\n", e.rate)
}

// SayLeaving makes the endpoint say in its answers, from now on, whether it leaves.
func (e *Endpoint) SayLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = on
}

// leavingHeader returns the header field that says that the endpoint leaves, or nothing.
func (e *Endpoint) leavingHeader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leaving {
		return ""
	}
	return "Server-Leaving: 1\r\n"
}

// StateLoad makes the endpoint state a load in its answers, from now on: running, waiting and slots, and optionally how long work
// takes, where 100 is the usual time. The value is sent as it is, also if it is false or invalid; an empty value ends that.
func (e *Endpoint) StateLoad(value string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load = value
}

// loadHeader returns the header field that states the endpoint's load, or nothing.
func (e *Endpoint) loadHeader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.load == "" {
		return ""
	}
	return "Heathkeel-Server-Load: " + e.load + "\r\n"
}
