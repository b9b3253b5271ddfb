// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package fleet holds what hosts know of each other: a table of members kept
// by heartbeats among a few sampled peers and joined with the platform's
// lagging list, and the address answers made from it.
//
// Each incarnation of a host is a member of its own. A member's record changes
// only by its own word, with a rising sequence number; others may add a
// suspicion, which the member refutes with a higher number. Suspicion decides
// only who is named in answers, never who may run a request, so that a wrong
// one costs a detour and nothing else. Table, neighbours and rendezvous sets
// are pure; Agent joins them to the network.
package fleet
