// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import "time"

// Endpoint is an endpoint as it tells of itself.
type Endpoint struct {
	// Instance names one life of the endpoint; Service is what it serves.
	Instance string `json:"instance"`
	Service  string `json:"service"`
	// Address is its IP number and port, Zone its availability zone.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is the number of requests it works on at once.
	Slots int `json:"slots"`
	// Leaving says that it gets no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Cold is how much longer it stays slow after its start, in nanoseconds.
	Cold time.Duration `json:"cold,omitempty"`
	// Lapsed says that its entry went while the store was in trouble.
	Lapsed bool `json:"lapsed,omitempty"`
}
