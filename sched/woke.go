// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// NoteGap records that this process did not run for a time that ends now. It excludes the gap from
// the time that requests have spent at their endpoints; otherwise the endpoints would be
// considered slow.
func (s *Scheduler) NoteGap(gap time.Duration) {
	for _, e := range s.endpoints {
		for _, r := range e.inflight {
			r.dispatchedAt += gap
			if r.progressAt != 0 {
				r.progressAt += gap
			}
		}
	}
}
