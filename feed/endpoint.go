// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import "time"

// Endpoint is an endpoint as it tells of itself.
type Endpoint struct {
	// Instance names one life of the endpoint; Service is what it serves.
	Instance, Service string
	// Address is its IP number and port, Zone its availability zone.
	Address, Zone string
	// Slots is the number of requests it works on at once.
	Slots int
	// Leaving says that it gets no new work.
	Leaving bool
	// Cold is how much longer it stays slow after its start.
	Cold time.Duration
	// Lapsed says that its entry went while the store was in trouble.
	Lapsed bool
}
