// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"testing"
	"time"
)

// maxRetries limits the retries of a call that a host refused.
const maxRetries = 8

// doWithRetry sends a call and retries it when the host refused it because its own data were stale.
// On a busy machine a host's process may not run for a while; until it has received current data it
// refuses requests and counts them, and only such a refusal is retried. Tests on simulated time
// check that hosts which run in time refuse nothing.
func (s *testSite) doWithRetry(t *testing.T, h *Host, c Call) Answer {
	t.Helper()
	for retries := 0; ; retries++ {
		before := s.staleRefusals(t, h)
		a := Do(h.Boot.Front, c)
		if a.Status != 503 || retries == maxRetries || s.staleRefusals(t, h) != before+1 {
			return a
		}
		t.Logf("%s: %s", h.Boot.Host, a.Body)
		time.Sleep(250 * time.Millisecond)
	}
}

// staleRefusals returns how many requests a host has refused because its data were stale.
func (s *testSite) staleRefusals(t *testing.T, h *Host) int64 {
	t.Helper()
	requests, _ := s.readCounters(t, h)
	return requests["Unproven"] + requests["OldList"] + requests["Stale"]
}
