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

// suspensions are the times for which hosts are suspended: less than any proof's life, about as long as one, and longer than all that a
// host remembers.
var suspensions = []time.Duration{300 * time.Millisecond, 2 * time.Second, 8 * time.Second, time.Minute}

// TestSuspendedHostForgetsProofs suspends a host while a key is withdrawn and an endpoint leaves. The first request after it comes before the host
// has heard anything: nothing runs on what was proven before. Once it hears, what is allowed is served and what is not is refused for good.
func TestSuspendedHostForgetsProofs(t *testing.T) {
	for _, d := range suspensions {
		for _, path := range []string{"/ask/a", "/draft/a"} {
			t.Run(fmt.Sprint(d, path), func(t *testing.T) {
				s := start(t, 1)
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
					must.EqOp(t, 0, s.runs(id))
				}
				list, err := s.Resolve(h)
				must.True(t, err != nil || len(list) == 0)
				h.StallStore(false)
				s.await(t, "the key is known to be withdrawn", func() bool { return Do(h.Boot.Front, Call{Path: path, Key: Key, ID: "late", Body: "b"}).Status == 401 })
				s.await(t, "the new one works", func() bool {
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

// TestSuspendedInAWait suspends a host while requests wait for a place: those past their deadline are answered at once, with the truth, and none
// that waited runs under a key that was withdrawn meanwhile.
func TestSuspendedInAWait(t *testing.T) {
	s := start(t, 1)
	h := s.Hosts[0]
	for i := range 2 {
		s.engines[i].SetPace(400 * time.Millisecond)
	}
	const n = 60 // the engines take 16, and some beyond
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
	began := time.Now()
	cut, refused := 0, 0
	for range n {
		switch a := <-answers; {
		case a.Status == 503 || a.Status == 429:
			refused++
		case !a.Complete || a.Status >= 500:
			cut++
		}
	}
	took := time.Since(began)
	h.StallStore(false)
	t.Logf("%d ran when the host was suspended; %d refused, %d cut or failed, the last %v after it woke", running, refused, cut, took)
	must.EqOp(t, n, refused+cut)
	must.Less(t, 2*time.Second, took) // the deadlines by the host's steady clock are 5 s away
	ran := 0
	for i := range n {
		ran += s.runs(fmt.Sprint("w-", i))
	}
	must.EqOp(t, n-refused, ran)
	s.await(t, "the engines' work ends", func() bool { return s.engines[0].InFlight()+s.engines[1].InFlight() == 0 })
}
