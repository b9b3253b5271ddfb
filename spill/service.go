// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package spill

import "time"

// Service is the input of a decision: a service in all zones.
type Service struct {
	// Zones are the zones, sorted by name.
	Zones []Zone
	// Objective is the time within which a request is to be answered, or get its first token; 0 means
	// DefaultObjective.
	Objective time.Duration
	// Bytes is the mean number of bytes of a request and its response.
	Bytes float64
	// Price is the value of one GB between zones in units of the value of one top-tier request; 0
	// means unknown, and traffic then counts nothing.
	Price float64
	// Delay returns the one-way latency between two zones.
	Delay func(from, to string) time.Duration
}

// DefaultObjective is the objective of requests that have none.
const DefaultObjective = time.Second

// objective returns the objective or its default.
func (s *Service) objective() time.Duration {
	if s.Objective > 0 {
		return s.Objective
	}
	return DefaultObjective
}

// bytesPerGB is the number of bytes for which Price is paid.
const bytesPerGB = 1e9

// Cost returns the cost of serving a request of one zone in another, as a share of the value of a
// request: the price of its bytes, and the round trip as a share of the objective.
func (s *Service) Cost(from, to string) float64 {
	cost := s.Price * s.Bytes / bytesPerGB
	if s.Delay != nil {
		cost += 2 * s.Delay(from, to).Seconds() / s.objective().Seconds()
	}
	return cost
}
