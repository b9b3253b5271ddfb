// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestTrialsAreCounted lets a request that crashes its endpoints come to all hosts at the same moments once three have ended under it: it gets
// three sends from all of them together, none while the store does not tell how many are left, and callers are told the truth.
func TestTrialsAreCounted(t *testing.T) {
	cases := []struct {
		name string
		down StoreFault // of the store, in the first rounds
	}{
		{"the store answers", StoreFault{}},
		{"the store refuses first", StoreFault{Status: 503}},
		{"the store is silent first", StoreFault{Hang: 3 * time.Second}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFragileOf(t, fragileCase{
				hosts: 6, endpoints: 12, service: Engines, events: 60, pace: 10 * time.Millisecond, delay: 200 * time.Millisecond, back: 300 * time.Millisecond, answers: true,
			})
			n := 0
			call := func(i int) Call {
				n++
				return Call{Path: "/draft/a", Key: Key, ID: fmt.Sprintf("trial-%d-%d", i, n), Body: fatal}
			}
			for i := range 3 {
				Do(f.hosts[i].Boot.Front, call(i))
			}
			must.SliceLen(t, 3, f.runsOf(fatal))
			time.Sleep(500 * time.Millisecond) // all hosts hear of it
			round := func() []Answer {
				answers := make([]Answer, len(f.hosts))
				var all sync.WaitGroup
				for i, h := range f.hosts {
					request := call(i)
					all.Go(func() { answers[i] = Do(h.Boot.Front, request) })
				}
				all.Wait()
				return answers
			}
			if c.down != (StoreFault{}) {
				f.Site.Store.SetFault(c.down)
				for _, a := range round() {
					must.EqOp(t, 503, a.Status)
				}
				must.SliceLen(t, 3, f.runsOf(fatal))
				f.Site.Store.SetFault(StoreFault{})
			}
			for range 4 {
				round()
			}
			must.SliceLen(t, 3+3, f.runsOf(fatal))
			for _, a := range round() {
				must.EqOp(t, 503, a.Status)
				must.StrContains(t, a.Body, "crashed while they ran this request")
			}
		})
	}
}

// TestTrialClears lets a request that met the ends of others run on trial: it is answered, and sent as any other from then on.
func TestTrialClears(t *testing.T) {
	f := newFragileOf(t, fragileCase{hosts: 3, endpoints: 6, service: Engines, events: 60, pace: 10 * time.Millisecond, back: 300 * time.Millisecond})
	n := 0
	try := func() Answer {
		n++
		return Do(f.hosts[n%len(f.hosts)].Boot.Front, Call{Path: "/draft/a", Key: Key, ID: fmt.Sprint("victim-", n), Body: "unlucky"})
	}
	for lost := 0; lost < 3; {
		answers := make(chan Answer, 1)
		go func() { answers <- try() }()
		time.Sleep(30 * f.Template.Pace) // so late an end may be chance
		(&scene{Site: f.Site}).await(t, "it runs", func() bool { return f.CrashRunning("unlucky") })
		a := <-answers
		must.False(t, a.Status == 200 && a.Complete)
		lost++
	}
	time.Sleep(500 * time.Millisecond) // all hosts hear of it
	for range 6 {
		a := try()
		must.EqOp(t, 200, a.Status)
		must.True(t, a.Complete)
		time.Sleep(100 * time.Millisecond)
	}
}
