// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"fmt"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/logs"
	"github.com/heathkeel/heathkeel/outcome"
)

// TestSilentEndpoint lets the connections to the only endpoint of a service fall silent: the first
// request that is sent over one of them finds out, and no other one meets the rest of them.
func TestSilentEndpoint(t *testing.T) {
	var out buffer
	s := startWith(t, 1, func(s *Site) {
		s.ProxyEndpoints = true
		s.Log, _ = logs.Open("test", "0", &out)
	})
	front, e, other := s.Hosts[0].Boot.Front, s.plain[0], s.plain[1]
	s.PutEntry(Plain, other, "draining")
	s.await(t, "the other one has left", func() bool {
		n := len(other.Runs())
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() { Do(front, Call{Path: "/ask/a", Key: Key, ID: fmt.Sprint("warm-", i)}) })
		}
		wg.Wait()
		return len(other.Runs()) == n
	})
	e.Proxy.Silence()
	lost, n := 0, 0
	s.await(t, "it is served again", func() bool {
		n++
		id := fmt.Sprint("after-", n)
		a := Do(front, Call{Path: "/ask/a", Key: Key, ID: id})
		for _, ev := range out.events(t, id) {
			if ev.Outcome == outcome.SendLost {
				lost++
			}
		}
		return a.Status == 200
	})
	must.LessEq(t, 1, lost)
}
