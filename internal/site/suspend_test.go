// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/platform"
)

// suspensionTimes are the lengths of suspensions: shorter than the validity of any proof, about as
// long, and longer than anything that a host remembers.
var suspensionTimes = []time.Duration{300 * time.Millisecond, 2 * time.Second, 8 * time.Second, time.Minute}

// TestSuspendedHostForgetsProofs suspends a host while a key is withdrawn and endpoints leave.
// Requests that arrive before the host has received anything after the suspension must not run on
// what was confirmed before it. Once the host receives data again, it serves what is allowed and
// refuses the withdrawn key.
func TestSuspendedHostForgetsProofs(t *testing.T) {
	for _, d := range suspensionTimes {
		for _, path := range []string{"/ask/a", "/draft/a"} {
			t.Run(fmt.Sprint(d, path), func(t *testing.T) {
				s := startTestSite(t, 1)
				h := s.Hosts[0]
				h.StallStore(true)
				c := Example()
				c.Version, c.Tenants[0].Keys = 2, []string{"new-key"}
				s.Store.Put(platform.KeyConfig, c)
				s.Store.Remove(platform.PrefixEndpoints + s.plain[0].Instance)
				s.Store.Remove(platform.PrefixEndpoints + s.engines[0].Instance)
				h.Suspend(d)
				for i := range 6 {
					id := fmt.Sprint("early-", i)
					a := Do(h.Boot.Front, Call{Path: path, Key: Key, ID: id, Body: "b"})
					must.EqOp(t, 503, a.Status)
					must.NotEqOp(t, "", a.Header.Get("Retry-After"))
					must.EqOp(t, 0, s.countRuns(id))
				}
				list, err := s.Resolve(h)
				must.True(t, err != nil || len(list) == 0)
				h.StallStore(false)
				s.await(t, "the withdrawn key is refused", func() bool { return Do(h.Boot.Front, Call{Path: path, Key: Key, ID: "late", Body: "b"}).Status == 401 })
				s.await(t, "the new key works", func() bool {
					return Do(h.Boot.Front, Call{Path: path, Key: "new-key", ID: "new", Body: "b"}).Status == 200
				})
				before := len(s.plain[0].Runs()) + len(s.engines[0].Runs())
				for i := range 10 {
					must.EqOp(t, 200, Do(h.Boot.Front, Call{Path: path, Key: "new-key", ID: fmt.Sprint("new-", i), Body: "b"}).Status)
				}
				must.EqOp(t, before, len(s.plain[0].Runs())+len(s.engines[0].Runs()))
			})
		}
	}
}

// TestSuspendedWhileRequestsWait suspends a host while requests wait for a slot. Requests past
// their deadline must be answered at once and truthfully, and no waiting request may run under a
// key that was withdrawn meanwhile.
func TestSuspendedWhileRequestsWait(t *testing.T) {
	s := startTestSite(t, 1)
	h := s.Hosts[0]
	for i := range 2 {
		s.engines[i].SetPace(400 * time.Millisecond)
	}
	const n = 60 // the engines run 16 or a few more at once
	answers := make(chan Answer, n)
	for i := range n {
		go func() {
			answers <- Do(h.Boot.Front, Call{Path: "/draft/a", Key: Key, ID: fmt.Sprint("w-", i), Body: "b", Tokens: "10,30", Deadline: 6000})
		}()
	}
	s.await(t, "the engines are full", func() bool { return s.engines[0].InFlight()+s.engines[1].InFlight() >= 16 })
	running := s.engines[0].InFlight() + s.engines[1].InFlight()
	h.StallStore(true)
	c := Example()
	c.Version, c.Tenants[0].Keys = 2, []string{"new-key"}
	s.Store.Put(platform.KeyConfig, c)
	h.Suspend(8 * time.Second)
	resumedAt := time.Now()
	cut, refused := 0, 0
	for range n {
		switch a := <-answers; {
		case a.Status == 503 || a.Status == 429:
			refused++
		case !a.Complete || a.Status >= 500:
			cut++
		}
	}
	elapsed := time.Since(resumedAt)
	h.StallStore(false)
	t.Logf("%d ran when the host was suspended; %d refused, %d cut or failed, the last %v after it resumed", running, refused, cut, elapsed)
	must.EqOp(t, n, refused+cut)
	must.Less(t, 2*time.Second, elapsed) // by the host's steady clock the deadlines are 5 s away
	ran := 0
	for i := range n {
		ran += s.countRuns(fmt.Sprint("w-", i))
	}
	must.EqOp(t, n-refused, ran)
	s.await(t, "the engines' work ends", func() bool { return s.engines[0].InFlight()+s.engines[1].InFlight() == 0 })
}
