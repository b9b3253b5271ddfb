// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

// memberDigest is a digest for one member. Its datagrams differ only in the echo, so that the rest is encoded
// once for all members.
type memberDigest struct {
	echo uint32 // newest Seq of the member whose report is included, or 0
	Digest
}

// Digest is what a relay passes on: the sum of the reports of several hosts. It is one datagram of JSON.
type Digest struct {
	// Host is the name of the relay; Incarnation identifies one run of its process.
	Host        string `json:"h"`
	Incarnation uint64 `json:"l"`
	// Seq numbers the relay's heartbeats and digests.
	Seq uint32 `json:"s"`
	// Partial says that the digest is the sum of the relay's own members, for other relays; otherwise it is the
	// sum of all hosts, for the members.
	Partial bool `json:"b,omitempty"`
	// Part says which part of the sums it has.
	Part Part `json:"p,omitzero"`
	// Hosts is the number of hosts whose reports are included.
	Hosts int `json:"m"`
	// Echo is the newest Seq of each receiver whose report is included. Members are told theirs in the header
	// of the datagram, see memberDigest.
	Echo map[string]uint32 `json:"e,omitempty"`
	// Info is the relay's information about itself.
	Info HostInfo `json:"r"`
	// Known lists hosts heard from recently, and Lost those that became silent.
	Known []KnownHost `json:"k,omitempty"`
	Lost  []string    `json:"d,omitempty"`
	// Words holds sums; Used counts from the relay's start.
	Words
}
