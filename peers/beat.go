// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"time"

	"github.com/heathkeel/heathkeel/quarantine"
)

// Heartbeat is a heartbeat. It is one datagram of JSON.
type Heartbeat struct {
	// Host names the sender, Life one run of its process.
	Host        string `json:"h"`
	Incarnation uint64 `json:"l"`
	// Seq numbers the sender's heartbeats and digests.
	Seq uint32 `json:"s"`
	// Echo is the newest Seq heard of each receiver.
	Echo map[string]uint32 `json:"e,omitempty"`
	// Info is what the sender tells of itself.
	Info HostInfo `json:"r"`
	// Known are other hosts that the sender heard of lately, and Size the number of those
	// that it knows.
	Known []KnownHost `json:"k,omitempty"`
	Size  int         `json:"m,omitempty"`
	Words
}

// Words are what a host tells of its requests and of what it knows.
type Words struct {
	// Load is what runs, by endpoint, and Waiting the number of requests that wait, by
	// service and tier. LoadSeq numbers them together with those of updates.
	Load    map[string]Load  `json:"o,omitempty"`
	Waiting map[string][]int `json:"t,omitempty"`
	LoadSeq uint32           `json:"n,omitempty"`
	// Used is what was used in the sender's life, by workspace.
	Used map[string]float64 `json:"u,omitempty"`
	// Left is the level of workspaces whose amount is nearly used up.
	Left map[string]float64 `json:"q,omitempty"`
	// Crashes is what the sender saw of requests under which endpoints crashed; relays tell each other all that they know, and their
	// members what concerns all hosts.
	Crashes quarantine.Evidence `json:"x,omitzero"`
	// Settings and Endpoints tell what the sender knows of either, and its age.
	Settings  Stamp `json:"v"`
	Endpoints Stamp `json:"w"`
}

// HostInfo is where a host is and whether it takes requests.
type HostInfo struct {
	// Address is where it hears heartbeats, Front where callers connect and
	// Control where other hosts ask it.
	Address string `json:"a"`
	Front   string `json:"f"`
	Control string `json:"c"`
	// Zone and Region tell where it stands.
	Zone   string `json:"z"`
	Region string `json:"g"`
	// Capacity is what it can carry beside callers' requests, in cores; 0 is unknown.
	Capacity float64 `json:"p,omitempty"`
	// Ready says that it takes requests; a host that stops says so first.
	Ready bool `json:"y"`
	// Fresh says that its settings are young enough for requests with keys.
	Fresh bool `json:"w"`
}

// KnownHost is another host as the sender knows it.
type KnownHost struct {
	// Host and Life name it.
	Host        string `json:"h"`
	Incarnation uint64 `json:"l"`
	// Info is what it told.
	Info HostInfo `json:"r"`
	// Age is the time in milliseconds since it was heard.
	Age int64 `json:"a"`
}

// Load is what runs at an endpoint.
type Load struct {
	// Running counts requests; Prefill is prompt tokens without a first token.
	Running int `json:"r"`
	Prefill int `json:"p,omitempty"`
	// Step is the seen time of a token, or of a request at a plain service, in microseconds; 0 is unknown.
	Step int64 `json:"s,omitempty"`
	// Good and Bad are the latest requests that it answered well, and that it failed, in tenths, as outlier.Evidence
	// counts them.
	Good int `json:"g,omitempty"`
	Bad  int `json:"b,omitempty"`
}

// Stamp names a version of something and its age when it was sent.
type Stamp struct {
	// Revision is the store's revision, and Sum tells versions of different content apart
	// where the revision does not.
	Revision uint64 `json:"v,omitempty"`
	Sum      uint64 `json:"x,omitempty"`
	// AgeMS is the time in milliseconds since it was surely the newest, -1 for none known.
	AgeMS int64 `json:"a"`
}

// Version is a stamp in the receiver's own time.
type Version struct {
	// Known says that the sender had one.
	Known bool
	// Revision and Sum name it.
	Revision, Sum uint64
	// At is a moment of the receiver's clock at which it was the newest.
	At time.Duration
}

// since gives the version that a stamp names, if it was sent at a moment or later.
func (s Stamp) since(sent time.Duration) Version {
	return Version{Known: s.AgeMS >= 0, Revision: s.Revision, Sum: s.Sum, At: sent - time.Duration(s.AgeMS)*time.Millisecond}
}
