// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestLateCrashingRequest guards against a request that crashes its endpoint only after it has run
// for a while. A crash after 1.5 s proves little while other endpoints crash each second by chance,
// so the surprisal of the crashes stays below the threshold and the request is sent on, although all
// hosts learn of every crash: 5 and 7 sends reached endpoints later than the contact time after the
// third crash, where three are allowed, and 7 to 10 endpoints crashed. The number of sends must be
// limited even while the evidence is weak.
//
// Three callers repeat such requests at all hosts in turn. Their interval is more than half the
// contact time, so that sends continue beyond it after the third crash. Other callers send requests
// all the while.
func TestLateCrashingRequest(t *testing.T) {
	cases := []struct {
		name          string
		path          string
		crashDelay    time.Duration
		crashInterval time.Duration // between crashes of other endpoints, 0 for none
		span          time.Duration
	}{
		{"a stream that may not go on elsewhere, others crash each second", "/draft/a", 1500 * time.Millisecond, time.Second, 30 * time.Second},
		{"a stream that may go on elsewhere, others crash each second", "/review/a", 800 * time.Millisecond, time.Second, 20 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newCrashingSiteWith(t, crashingSiteOptions{hosts: 6, endpoints: 12, service: Engines, events: 60, pace: 50 * time.Millisecond, crashDelay: c.crashDelay, restartDelay: time.Second, answersBeforeCrash: true})
			var served, sent atomic.Int64
			var callers sync.WaitGroup
			stop := make(chan struct{})
			for k := range 12 {
				callers.Go(func() { f.sendOthers(k, "/review/x", stop, &sent, &served) })
			}
			if c.crashInterval > 0 {
				callers.Go(func() { f.crashOthers(c.crashInterval, stop) })
			}
			for g := range crashingCallers {
				callers.Go(func() { f.repeatRequest(g, c.path, stop) })
			}
			time.Sleep(c.span)
			close(stop)
			callers.Wait()
			for g := range crashingCallers {
				runs := f.sortedRuns(crashingBody(g))
				late := countLateRuns(runs)
				t.Logf("request %d reached %d endpoints, %d of them later than the contact time after the third crash", g, len(runs), late)
				must.LessEq(t, maxLateSends, late)
			}
			t.Logf("%d of %d other requests were served", served.Load(), sent.Load())
		})
	}
}

// crashingCallers is the number of callers that each have a request which crashes endpoints.
const crashingCallers = 3

// crashingBody returns the body of the request of caller g.
func crashingBody(g int) string { return fmt.Sprint(crashText, " of caller ", g, ".") }

// repeatRequest sends the request of caller g to the hosts in turn until stop is closed.
func (f *crashingSite) repeatRequest(g int, path string, stop chan struct{}) {
	for n := g; ; n++ {
		Do(f.hosts[n%len(f.hosts)].Boot.Front, Call{Path: path, Key: Key, ID: fmt.Sprintf("guilty-%d-%d", g, n), Body: crashingBody(g)})
		select {
		case <-stop:
			return
		case <-time.After(contactTime/2 + contactTime/10):
		}
	}
}

// crashOthers crashes the oldest endpoint at each interval until stop is closed.
func (f *crashingSite) crashOthers(interval time.Duration, stop chan struct{}) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			f.CrashOldest()
		}
	}
}

// sortedRuns returns the runs, at all endpoints, of requests whose body contains text, in the order
// of receipt.
func (f *crashingSite) sortedRuns(text string) []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Run
	for _, e := range f.endpoints {
		for _, r := range e.Runs() {
			if strings.Contains(r.Body, text) {
				out = append(out, r)
			}
		}
	}
	slices.SortFunc(out, func(x, y Run) int { return x.ReceivedAt.Compare(y.ReceivedAt) })
	return out
}

// countLateRuns counts the runs that began later than the contact time after the third endpoint had
// crashed under a request.
func countLateRuns(runs []Run) int {
	crashTimes := make([]time.Time, len(runs))
	for i := range runs {
		crashTimes[i] = runs[i].EndedAt
	}
	slices.SortFunc(crashTimes, time.Time.Compare)
	n := 0
	for i := range runs {
		if len(crashTimes) > 2 && runs[i].ReceivedAt.After(crashTimes[2].Add(contactTime)) {
			n++
		}
	}
	return n
}
