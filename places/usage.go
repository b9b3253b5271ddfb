// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package places

// Usage is what a workspace got of an endpoint's slots.
type Usage struct {
	// Granted is the number of slots granted to it, and Passed the number of times that a host wanted a slot for it which went to a
	// workspace of the same tier that had received less.
	Granted, Passed int64
}

// TakeUsage calls add for each workspace and tier with what it got since the last call.
func (a *Allocator) TakeUsage(add func(workspace string, rank int, u Usage)) {
	for _, f := range a.shares.flows {
		if f.granted > 0 || f.passed > 0 {
			add(f.workspace, f.rank, Usage{f.granted, f.passed})
			f.granted, f.passed = 0, 0
		}
	}
}
