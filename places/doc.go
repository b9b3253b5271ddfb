// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package places allocates the slots of an endpoint to hosts. In large fleets hosts learn of each
// other's requests through relays, 0.45 s late, so that many see the same free slot and none knows
// of the next one. For each endpoint one host is therefore the owner of its slots. It is chosen by
// rendezvous hashing among the hosts of the endpoint's zone, so that all hosts with the same list
// of hosts name the same owner without coordination. While slots are scarce, hosts send the owner
// the number of their requests at the endpoint and ask it for a slot; the owner grants free ones,
// higher tiers first, and within a tier first to the workspace that has received the least of the
// endpoint's time for its weight.
//
// A grant is no promise to a caller. It is the only right to send to an endpoint that states a limit
// for all hosts together: the requests a second that it takes, or the rejections after which it
// crashes. In fleets of any size, the owner then grants no more than that; see StatedLimit. At other
// endpoints two hosts that both consider themselves the owner may grant a slot twice, which costs no
// more than stale information does without owners. The package does no I/O and reads no clock.
package places
