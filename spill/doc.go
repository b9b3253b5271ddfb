// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package spill decides which share of a service's requests each availability zone sends to other
// zones. Every host computes the plan of all zones from the demand that hosts report to each other,
// and applies the shares of its own zone. Hosts with the same data compute the same plan, so that
// the senders of a zone's free capacity divide it without coordination.
//
// A zone keeps its requests while it can serve them within their objective. Its excess is the demand
// beyond its capacity: arrivals, plus the backlog that would wait too long. The excess goes to zones
// with free capacity where it costs less than at home, with the least total cost of time and traffic
// (a transportation problem). docs/design/zones.md compares this with a fixed penalty, a queue
// threshold and equal marginal costs. The package does no I/O and reads no clock.
package spill
