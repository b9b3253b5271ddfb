// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package peers implements the membership of hosts without a leader and without consensus: each host sends a
// small heartbeat by UDP several times per second, and passes on which hosts it has heard from. A lost
// heartbeat only makes information older.
//
// In fleets of up to 9 hosts each host reports to all others (agent.go, update.go). In larger fleets the hosts
// of a zone send their heartbeats to one of them, the relay, which sends them the sum of the reports of all
// hosts (relay.go, digest.go, uplink.go); docs/design/fleet.md compares the alternatives. Inputs are datagrams
// and what the Host reports about itself; outputs are sums of loads, use of shared amounts and proofs of age.
// The package knows nothing about requests, settings or the store.
package peers
