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

// TestTrialsAreCounted sends a request to all hosts at the same times after three endpoints have
// crashed under it. All hosts together may send it three times more, and not at all while the store
// does not state how many trials are left. Callers must get a truthful refusal.
func TestTrialsAreCounted(t *testing.T) {
	cases := []struct {
		name  string
		fault StoreFault // of the store, in the first round
	}{
		{"the store answers", StoreFault{}},
		{"the store refuses first", StoreFault{Status: 503}},
		{"the store is silent first", StoreFault{Hang: 3 * time.Second}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newCrashingSiteWith(t, crashingSiteOptions{
				hosts: 6, endpoints: 12, service: Engines, events: 60, pace: 10 * time.Millisecond, crashDelay: 200 * time.Millisecond, restartDelay: 300 * time.Millisecond, answersBeforeCrash: true,
			})
			n := 0
			call := func(i int) Call {
				n++
				return Call{Path: "/draft/a", Key: Key, ID: fmt.Sprintf("trial-%d-%d", i, n), Body: crashText}
			}
			for i := range 3 {
				Do(f.hosts[i].Boot.Front, call(i))
			}
			must.SliceLen(t, 3, f.sortedRuns(crashText))
			time.Sleep(500 * time.Millisecond) // time for all hosts to learn of the crashes
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
			if c.fault != (StoreFault{}) {
				f.Site.Store.SetFault(c.fault)
				for _, a := range round() {
					must.EqOp(t, 503, a.Status)
				}
				must.SliceLen(t, 3, f.sortedRuns(crashText))
				f.Site.Store.SetFault(StoreFault{})
			}
			for range 4 {
				round()
			}
			must.SliceLen(t, 3+3, f.sortedRuns(crashText))
			for _, a := range round() {
				must.EqOp(t, 503, a.Status)
				must.StrContains(t, a.Body, "crashed while they ran this request")
			}
		})
	}
}

// TestTrialClears runs a request on trial that was running when endpoints crashed for other
// reasons. The trial must succeed, and from then on the request is sent as any other.
func TestTrialClears(t *testing.T) {
	f := newCrashingSiteWith(t, crashingSiteOptions{hosts: 3, endpoints: 6, service: Engines, events: 60, pace: 10 * time.Millisecond, restartDelay: 300 * time.Millisecond})
	n := 0
	send := func() Answer {
		n++
		return Do(f.hosts[n%len(f.hosts)].Boot.Front, Call{Path: "/draft/a", Key: Key, ID: fmt.Sprint("victim-", n), Body: "unlucky"})
	}
	for lost := 0; lost < 3; {
		answers := make(chan Answer, 1)
		go func() { answers <- send() }()
		time.Sleep(30 * f.Template.Pace) // a crash this late may be by chance
		(&testSite{Site: f.Site}).await(t, "it runs", func() bool { return f.CrashRunning("unlucky") })
		a := <-answers
		must.False(t, a.Status == 200 && a.Complete)
		lost++
	}
	time.Sleep(500 * time.Millisecond) // time for all hosts to learn of the crashes
	for range 6 {
		a := send()
		must.EqOp(t, 200, a.Status)
		must.True(t, a.Complete)
		time.Sleep(100 * time.Millisecond)
	}
}
