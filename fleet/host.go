// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fleet

import "github.com/heathkeel/heathkeel/once"

// Host is the record of one incarnation of a host, as it spreads among hosts.
type Host struct {
	// Name is stable over restarts, Incarnation is not.
	Name        string           `json:"name"`
	Incarnation once.Incarnation `json:"inc"`
	// Address is the IP number and port for callers and peers.
	Address string `json:"addr"`
	// Zone is the availability zone and Region the group of zones it lies in.
	Zone   string `json:"zone"`
	Region string `json:"region,omitempty"`
	// Seq rises with each change that the host makes to its own record.
	Seq uint64 `json:"seq"`
	// Generation is the one that prefixes naming the host carry.
	Generation once.Generation `json:"gen"`
	// Leaving says that it takes no new callers; Gone that it has ended.
	Leaving bool `json:"leaving,omitempty"`
	Gone    bool `json:"gone,omitempty"`
	// Suspect says that a peer got no answer from it.
	Suspect bool `json:"suspect,omitempty"`
	// AnswersFor lists earlier witnesses whose records it took over.
	AnswersFor []once.Incarnation `json:"answers,omitempty"`
}

// Live reports whether the host should be named in answers.
func (h *Host) Live() bool { return !h.Leaving && !h.Gone && !h.Suspect }

// newer reports whether record a replaces record b of the same incarnation.
func newer(a, b *Host) bool {
	if a.Seq != b.Seq {
		return a.Seq > b.Seq
	}
	return a.Suspect && !b.Suspect
}
