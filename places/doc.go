// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package places gives the places of an endpoint to hosts. In large fleets hosts hear of each other's requests
// by way of relays, 0.45 s late, so that many see the same free place and none knows of the next one. For each
// endpoint one host is therefore the owner of its places: by rendezvous hashing among the hosts of its zone, so that all that know
// the same hosts name the same, without any agreement. While places are short, hosts tell the owner how many requests
// they have there and that they want a place; it grants free ones, upper tiers first.
//
// A grant is no promise to a caller, and not the only right to send: two hosts that both take themselves for the
// owner make a place that is given twice, which costs what old news costs all the time. Book is pure and keeps no time of
// its own.
package places
