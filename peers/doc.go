// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package peers lets hosts know of each other without a leader and without
// agreement: each host sends a small heartbeat by UDP several times a second, and passes
// on whom it heard. A lost heartbeat only makes knowledge older.
//
// In fleets of up to 9 hosts all tell all others (agent.go, update.go). In larger ones the
// hosts of a zone tell one of them, the relay, which tells them the sum of what all hosts
// told (relay.go, digest.go, uplink.go); docs/design/fleet.md has the ways weighed. What comes
// in are datagrams and what the Host tells of itself; what goes out are sums of loads, use
// of amounts and proofs of age. The package knows nothing of requests, settings or the store.
package peers
