// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"time"

	"github.com/heathkeel/heathkeel/places"
	"github.com/heathkeel/heathkeel/quarantine"
)

// Heartbeat is the periodic report of a host. It is one datagram of JSON.
type Heartbeat struct {
	// Host is the name of the sender; Incarnation identifies one run of its process.
	Host        string `json:"h"`
	Incarnation uint64 `json:"l"`
	// Seq numbers the sender's heartbeats and digests.
	Seq uint32 `json:"s"`
	// Echo is the newest Seq received from each receiver.
	Echo map[string]uint32 `json:"e,omitempty"`
	// Info is the sender's information about itself.
	Info HostInfo `json:"r"`
	// Known lists other hosts that the sender heard from recently, and Size is the number of hosts that it
	// knows.
	Known []KnownHost `json:"k,omitempty"`
	Size  int         `json:"m,omitempty"`
	Words
}

// Words is what a host reports about its requests and about what it knows.
type Words struct {
	// Load is what runs, by endpoint, and Waiting the number of waiting requests, by service and tier. LoadSeq
	// numbers them together with those of updates.
	Load    map[string]Load  `json:"o,omitempty"`
	Waiting map[string][]int `json:"t,omitempty"`
	LoadSeq uint32           `json:"n,omitempty"`
	// Zones is the demand by zone and service; hosts that send by it to other zones report it. See package spill.
	Zones ZoneDemands `json:"z,omitempty"`
	// Used is what was used in the sender's current incarnation, by workspace.
	Used map[string]float64 `json:"u,omitempty"`
	// Left is the level of each workspace whose amount is nearly used up.
	Left map[string]float64 `json:"q,omitempty"`
	// Crashes is what the sender observed about requests under which endpoints crashed. Relays send each other
	// all that they know, and their members what concerns all hosts.
	Crashes quarantine.Evidence `json:"x,omitzero"`
	// Limits is what endpoints stated about their limits, by incarnation: what the sender read itself,
	// or from a relay all that it knows.
	Limits map[string]places.LimitReports `json:"y,omitempty"`
	// Settings and Endpoints are the versions that the sender knows, with their ages.
	Settings  Stamp `json:"v"`
	Endpoints Stamp `json:"w"`
}

// HostInfo holds the addresses and the location of a host, and whether it takes requests.
type HostInfo struct {
	// Address is where the host receives heartbeats, Front where callers connect, and Control where other hosts
	// send queries.
	Address string `json:"a"`
	Front   string `json:"f"`
	Control string `json:"c"`
	// Zone and Region are the location of the host.
	Zone   string `json:"z"`
	Region string `json:"g"`
	// Capacity is what the host can carry besides callers' requests, in cores; 0 means unknown.
	Capacity float64 `json:"p,omitempty"`
	// Ready says that the host takes requests; a host that stops clears it first.
	Ready bool `json:"y"`
	// CutOff says that the host reaches no endpoint.
	CutOff bool `json:"n,omitempty"`
	// Fresh says that the host's settings are recent enough for requests with keys.
	Fresh bool `json:"w"`
}

// KnownHost is another host as the sender knows it.
type KnownHost struct {
	// Host and Incarnation identify the host and one run of its process.
	Host        string `json:"h"`
	Incarnation uint64 `json:"l"`
	// Info is what the host reported about itself.
	Info HostInfo `json:"r"`
	// Age is the time since the host was heard from, in milliseconds.
	Age int64 `json:"a"`
}

// Load is what runs at an endpoint.
type Load struct {
	// Running is the number of requests; Prefill is the number of prompt tokens of requests without a first
	// token.
	Running int `json:"r"`
	Prefill int `json:"p,omitempty"`
	// Silent is the number of those requests at whose hosts nothing has come from the endpoint for a while.
	Silent int `json:"q,omitempty"`
	// Step is the measured time per token, or per request at a plain service, in microseconds; 0 means unknown.
	Step int64 `json:"s,omitempty"`
	// Good and Bad are the numbers of latest requests that the endpoint answered well and that it failed, in
	// tenths, counted as in outlier.Evidence.
	Good int `json:"g,omitempty"`
	Bad  int `json:"b,omitempty"`
}

// Stamp identifies a version of something, with its age when it was sent.
type Stamp struct {
	// Revision is the store's revision; Sum distinguishes versions with different content and the same
	// revision.
	Revision uint64 `json:"v,omitempty"`
	Sum      uint64 `json:"x,omitempty"`
	// AgeMS is the time since the version was certainly the newest, in milliseconds; -1 means that none is
	// known.
	AgeMS int64 `json:"a"`
}

// Version is a Stamp converted to the receiver's clock.
type Version struct {
	// Known says that the sender knew a version.
	Known bool
	// Revision and Sum identify the version, as in Stamp.
	Revision, Sum uint64
	// At is a time on the receiver's clock at which the version was the newest.
	At time.Duration
}

// since converts a stamp that was written at time sent or later.
func (s Stamp) since(sent time.Duration) Version {
	return Version{Known: s.AgeMS >= 0, Revision: s.Revision, Sum: s.Sum, At: sent - time.Duration(s.AgeMS)*time.Millisecond}
}
