// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fleet

import "github.com/heathkeel/heathkeel/once"

// Host is the record of one incarnation of a host, as hosts exchange it.
type Host struct {
	// Name is stable over restarts; Incarnation differs for each run of the process.
	Name        string           `json:"name"`
	Incarnation once.Incarnation `json:"inc"`
	// Address is the IP number and port for callers and peers.
	Address string `json:"addr"`
	// Zone is the availability zone, Region the group of zones that it belongs to.
	Zone   string `json:"zone"`
	Region string `json:"region,omitempty"`
	// Seq increases with each change that the host makes to its own record.
	Seq uint64 `json:"seq"`
	// Generation is the generation in ID prefixes that name the host.
	Generation once.Generation `json:"gen"`
	// Leaving means that the host accepts no new callers, Gone that it has ended.
	Leaving bool `json:"leaving,omitempty"`
	Gone    bool `json:"gone,omitempty"`
	// Suspect means that a peer got no answer from the host.
	Suspect bool `json:"suspect,omitempty"`
	// AnswersFor lists the earlier witnesses whose records the host took over.
	AnswersFor []once.Incarnation `json:"answers,omitempty"`
}

// Live reports whether the host may be named in answers.
func (h *Host) Live() bool { return !h.Leaving && !h.Gone && !h.Suspect }

// newer reports whether record a replaces record b of the same incarnation.
func newer(a, b *Host) bool {
	if a.Seq != b.Seq {
		return a.Seq > b.Seq
	}
	return a.Suspect && !b.Suspect
}
