// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/platform"
)

// TestRelayedAnswerTellsWhoLeaves checks that a host which passed on a relayed answer of an endpoint that leaves sends that endpoint
// nothing once it reaches endpoints again, and that callers are served by the others.
func TestRelayedAnswerTellsWhoLeaves(t *testing.T) {
	s := startCutOff(t, 2)
	for _, e := range s.plain {
		e.SayLeaving(true)
	}
	a := Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/x", Key: Key, ID: "relayed"})
	must.EqOp(t, http.StatusOK, a.Status)
	must.EqOp(t, "", a.Header.Get("Heathkeel-Relay-Leaving"))
	var leaver, other *Endpoint
	refused := 0
	for _, e := range s.plain {
		if runs := e.Runs(); len(runs) > 0 && runs[len(runs)-1].AttemptID == "relayed" {
			leaver = e
			continue
		}
		e.SayLeaving(false)
		other = e
	}
	must.NotNil(t, leaver)
	s.Hosts[0].CutOffEndpoints(false)
	before := s.relayed(t)
	s.await(t, "the host serves by itself", func() bool {
		a := Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/x", Key: Key, ID: fmt.Sprint("back-", before)})
		relayed := s.relayed(t)
		direct := a.Status == http.StatusOK && relayed == before
		before = relayed
		return direct
	})
	s.Store.Remove(platform.PrefixEndpoints + other.Instance)
	n := len(leaver.Runs())
	i := 0
	s.await(t, "requests are refused for as long as the host knows no other endpoint", func() bool {
		i++
		if Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/x", Key: Key, ID: fmt.Sprint("without-", i)}).Status == http.StatusServiceUnavailable {
			refused++
		}
		return refused >= 20
	})
	must.EqOp(t, n, len(leaver.Runs()))
	s.PutEntry(Plain, other, "ready")
	s.await(t, "the other endpoint serves", func() bool {
		i++
		return Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/x", Key: Key, ID: fmt.Sprint("with-", i)}).Status == http.StatusOK
	})
	must.EqOp(t, before, s.relayed(t))
	must.EqOp(t, n, len(leaver.Runs()))
}
