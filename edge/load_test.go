// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/site"
)

// TestStatedLoad guards against whole hosts that do not read the loads that endpoints state, or send as much to one that says to be four
// times slower as to the others.
func TestStatedLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startWorking(t, site.Example(), smallBoot, 6, 4, 50*time.Millisecond)
		defer s.Stop()
		slow := s.Endpoints[0]
		slowFrom := time.Now().Add(3 * time.Second)
		for _, e := range s.Endpoints {
			e.StatesLoad = true
			e.Slowdown = func() float64 {
				if e == slow && time.Now().After(slowFrom) {
					return 4
				}
				return 1
			}
		}
		sendAtRate(s, 3*time.Second, 100)
		before := len(slow.Arrivals())
		sent, served := sendAtRate(s, 2*time.Second, 100)
		got := len(slow.Arrivals()) - before
		t.Logf("%d of %d requests went to the slow endpoint, %d were served", got, sent, served)
		must.EqOp(t, sent, served)
		must.Less(t, int(sent)/8, got) // a quarter without stated loads
	})
}
