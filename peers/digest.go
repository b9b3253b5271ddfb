// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

// Digest is what a relay passes on: the sum of what several hosts told it. It is one
// datagram of JSON.
type Digest struct {
	// Host names the relay, Life one run of its process.
	Host        string `json:"h"`
	Incarnation uint64 `json:"l"`
	// Seq numbers the relay's heartbeats and digests.
	Seq uint32 `json:"s"`
	// Partial says that it is the sum of the relay's own members, for other relays; else it
	// is the sum of all hosts, for the members.
	Partial bool `json:"b,omitempty"`
	// Hosts is the number of hosts whose words are in it.
	Hosts int `json:"m"`
	// Echo is the newest Seq of each receiver whose words are in it.
	Echo map[string]uint32 `json:"e,omitempty"`
	// Info is what the relay tells of itself.
	Info HostInfo `json:"r"`
	// Known are hosts that were heard of lately, and Lost those that fell silent.
	Known []KnownHost `json:"k,omitempty"`
	Lost  []string    `json:"d,omitempty"`
	// Words are sums; Used counts from the relay's start.
	Words
}
