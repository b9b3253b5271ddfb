// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"testing"
	"time"
)

// maxRetries is how often a caller comes again after a refusal, each time after a host's usual time to come back.
const maxRetries = 8

// doWithRetry does a call as a caller that comes again. A host whose process does not run for a while, as this one on a busy machine, refuses requests until it has heard anew
// what it must know, and counts each of them: only such an answer is asked for again. That hosts in time refuse nothing is held by tests on simulated time.
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

// staleRefusals is how many requests a host has refused because it had not heard in time what it must know.
func (s *testSite) staleRefusals(t *testing.T, h *Host) int64 {
	t.Helper()
	requests, _ := s.readCounters(t, h)
	return requests["Unproven"] + requests["OldList"] + requests["Stale"]
}
