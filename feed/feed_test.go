// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/route"
)

// errDown is the error of a store that is down.
var errDown = errors.New("store is down")

// parseVersion reads a document that consists only of a route's name.
func parseVersion(b []byte) (*route.Document, error) {
	if string(b) == "broken" {
		return nil, errors.New("broken")
	}
	return &route.Document{Routes: []route.Route{{Name: string(b)}}}, nil
}

// startSettings starts a Settings on a store.
func startSettings(ctx context.Context, m *memoryStore) *Settings {
	start := time.Now()
	return startSettingsBy(ctx, m, func() time.Duration { return time.Since(start) })
}

// startSettingsBy starts a Settings on a store, with the given clock.
func startSettingsBy(ctx context.Context, m *memoryStore, now func() time.Duration) *Settings {
	s := &Settings{
		Store: m, Prefix: "op/", Key: "op/config", Parse: parseVersion, WatchTimeout: 600 * time.Millisecond, RetryInterval: 300 * time.Millisecond,
		Now: now, StoreHealth: testHealth(now), OnChange: func(*route.Table) {}, Log: logr.Discard(),
	}
	go s.Run(ctx)
	return s
}

func TestSettingsAge(t *testing.T) {
	cases := []struct {
		name  string
		fault func(m *memoryStore)
		// min and max bound the age 4 s after the fault began.
		min, max time.Duration
	}{
		{"calm", func(*memoryStore) {}, 0, 1300 * time.Millisecond},
		{"calls fail at once", func(m *memoryStore) { m.down = true }, 2500 * time.Millisecond, 5300 * time.Millisecond},
		{"calls get no answer", func(m *memoryStore) { m.down, m.failDelay = true, time.Minute }, 2500 * time.Millisecond, 5300 * time.Millisecond},
		{"slow", func(m *memoryStore) { m.answerDelay = 300 * time.Millisecond }, 0, 1900 * time.Millisecond},
		{"watches cut", func(m *memoryStore) { m.cutWatches = true }, 0, 700 * time.Millisecond},
		{"history compacted", func(m *memoryStore) { m.compactNext = true }, 0, 1300 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				m := newMemoryStore()
				m.put("op/config", "one")
				s := startSettings(ctx, m)
				time.Sleep(3 * time.Second)
				m.locked(func() { tc.fault(m) })
				time.Sleep(4 * time.Second)
				age, ok := s.Age.At(s.Now())
				must.True(t, ok)
				must.GreaterEq(t, tc.min, age)
				must.LessEq(t, tc.max, age)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestSettingsAgeIsNoUnderestimate compares the age with the truth: a host must never consider its
// revision the newest at a moment at which a newer one was in the store.
func TestSettingsAgeIsNoUnderestimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := newMemoryStore()
		m.put("op/config", "one")
		s := startSettings(ctx, m)
		faults := []func(){
			func() { m.answerDelay = 700 * time.Millisecond }, func() { m.down, m.failDelay = true, 2*time.Second }, func() { m.down = false },
			func() { m.answerDelay = 0 }, func() { m.cutWatches = true }, func() { m.cutWatches = false }, func() { m.compactNext = true },
		}
		for i := range 200 {
			m.locked(faults[i%len(faults)])
			m.put("op/config", strings.Repeat("x", i+1))
			wrote, newest := s.Now(), m.revision
			for range 13 {
				time.Sleep(97 * time.Millisecond)
				age, ok := s.Age.At(s.Now())
				if ok && s.Age.Revision() < newest {
					must.LessEq(t, wrote, s.Now()-age)
				}
			}
		}
		cancel()
		synctest.Wait()
	})
}

// TestCutWatchReadLateIsNoProof checks that a watch that the store ended early proves no more than its sending, however late the host reads
// the answer.
func TestCutWatchReadLateIsNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := newMemoryStore()
		m.put("op/config", "one")
		s := startSettings(ctx, m)
		m.locked(func() { m.cutWatches, m.readDelay = true, s.WatchTimeout+100*time.Millisecond })
		for i := range 40 {
			time.Sleep(1777 * time.Millisecond)
			m.put("op/config", strings.Repeat("x", i+1))
			wrote, newest := s.Now(), m.revision
			for {
				now := s.Now()
				revision, age, _ := s.Age.at(now) // of one moment: a newer revision may be proven between two calls
				if revision >= newest {
					break
				}
				must.LessEq(t, wrote, now-age)
				time.Sleep(10 * time.Millisecond)
			}
		}
		cancel()
		synctest.Wait()
	})
}

func TestSettingsRevisionsOnlyRise(t *testing.T) {
	s := &Settings{Parse: parseVersion, OnChange: func(*route.Table) {}, Log: logr.Discard()}
	offers := []struct {
		value    string
		revision uint64
		want     string
	}{
		{"five", 5, "five"}, {"four", 4, "five"}, {"other five", 5, "five"}, {"broken", 9, "five"}, {"six", 6, "six"},
	}
	for _, o := range offers {
		s.Offer([]byte(o.value), o.revision)
		must.EqOp(t, o.want, s.Current().Table.Document.Routes[0].Name)
	}
	must.EqOp(t, 1, s.RefusedCount())
}

// TestAgeIsOfTheSameSettings checks that settings that are replaced while a host looks at them do not get the age of the newer ones.
func TestAgeIsOfTheSameSettings(t *testing.T) {
	const now = 10 * time.Second
	replace := func() {}
	s := &Settings{Parse: parseVersion, OnChange: func(*route.Table) {}, Log: logr.Discard(), Now: func() time.Duration {
		replace()
		return now
	}}
	s.Offer([]byte("one"), 1)
	s.Age.Prove(1, time.Second)
	c, age := s.InForce()
	must.EqOp(t, 1, c.Revision)
	must.EqOp(t, now-time.Second, age)
	replace = func() {
		s.Offer([]byte("two"), 2)
		s.Age.Prove(2, now)
	}
	c, age = s.InForce()
	must.EqOp(t, 2, c.Revision)
	must.EqOp(t, 0, age)
}

// TestProofsOfPeers checks which proofs of peers say how old a host's settings are: none of newer settings, which a peer that has
// restarted may have proven without sending them.
func TestProofsOfPeers(t *testing.T) {
	cases := []struct {
		name     string
		revision uint64
		fetch    bool
		proven   bool
	}{
		{"older", 4, false, false}, {"the same", 5, false, true}, {"newer", 6, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := &Settings{Parse: parseVersion, OnChange: func(*route.Table) {}, Log: logr.Discard(), Now: func() time.Duration { return 10 * time.Second }}
			must.True(t, s.ReceiveProof(tc.revision, 0, 9*time.Second)) // no settings yet
			s.Offer([]byte("five"), 5)
			must.EqOp(t, tc.fetch, s.ReceiveProof(tc.revision, 0, 9*time.Second))
			c, age := s.InForce()
			must.EqOp(t, 5, c.Revision)
			must.EqOp(t, tc.proven, age >= 0)
		})
	}
}

func TestAgeProofs(t *testing.T) {
	var a Age
	_, ok := a.At(0)
	must.False(t, ok)
	a.Prove(3, 10*time.Second)
	a.Prove(3, 8*time.Second) // an older proof is ignored
	a.Prove(2, 20*time.Second)
	age, _ := a.At(11 * time.Second)
	must.EqOp(t, time.Second, age)
	a.Prove(4, 9*time.Second) // revision 4 replaced 3 in between: what was proven before still holds
	age, _ = a.At(11 * time.Second)
	must.EqOp(t, time.Second, age)
	must.EqOp(t, 4, a.Revision())
}

// TestPeersProofsBeforeStart checks that what a peer proved before this host's start is as old on this
// host. Taken for proven at the start, it would count as young at all hosts to which this host passes it on.
func TestPeersProofsBeforeStart(t *testing.T) {
	const provenAt, started = -4 * time.Second, 100 * time.Millisecond
	var a Age
	a.Prove(7, provenAt)
	age, ok := a.At(started)
	must.True(t, ok)
	must.EqOp(t, started-provenAt, age)

	now := func() time.Duration { return started }
	e := &Endpoints{Now: now, StoreHealth: testHealth(now), MaxAge: testMaxAge, OnChange: func([]Endpoint) {}, Log: logr.Discard()}
	e.Init()
	e.Offer(EndpointList{Revision: 5, Endpoints: []Endpoint{{Instance: "a"}}})
	must.False(t, e.Usable()) // a list without a proof has no age
	v, _ := e.View()
	e.ReceiveView(View{Revision: 5, Checksum: v.Checksum, ProvenAt: provenAt})
	v, _ = e.View()
	must.EqOp(t, provenAt, v.ProvenAt)
	must.False(t, e.Usable())
}

// parseEndpoint reads entries that hold "foreign", "leaving" or anything else, and the start time
// after an @.
func parseEndpoint(key string, value []byte) (Endpoint, error) {
	state, start, _ := strings.Cut(string(value), "@")
	if state == "foreign" {
		return Endpoint{}, errors.New("another program's")
	}
	n := Endpoint{Instance: strings.TrimPrefix(key, "servers/"), Leaving: state == "leaving"}
	if start != "" {
		startedMS, err := strconv.ParseInt(start, 10, 64)
		if err != nil {
			return Endpoint{}, err
		}
		n.StartedMS = startedMS
	}
	return n, nil
}

// startEndpoints starts an Endpoints on a store; the returned function returns the newest list.
func startEndpoints(ctx context.Context, m *memoryStore) func() []Endpoint {
	start := time.Now()
	var mu sync.Mutex
	var list []Endpoint
	e := &Endpoints{
		Store: m, Prefix: "servers/", Interval: 600 * time.Millisecond, WatchTimeout: time.Second, RetryInterval: 400 * time.Millisecond,
		Now: func() time.Duration { return time.Since(start) }, Log: logr.Discard(),
		Parse: parseEndpoint,
		OnChange: func(l []Endpoint) {
			mu.Lock()
			defer mu.Unlock()
			list = l
		},
	}
	e.StoreHealth = testHealth(e.Now)
	e.Init()
	go e.Run(ctx)
	return func() []Endpoint {
		mu.Lock()
		defer mu.Unlock()
		return list
	}
}

// usableCount counts the endpoints that may get new work.
func usableCount(list []Endpoint) int {
	n := 0
	for _, e := range list {
		if !e.Leaving {
			n++
		}
	}
	return n
}

func TestEndpointsLeave(t *testing.T) {
	type step struct {
		after time.Duration
		do    func(m *memoryStore)
	}
	down := func(m *memoryStore) { m.locked(func() { m.down = true }) }
	hang := func(m *memoryStore) { m.locked(func() { m.down, m.failDelay = true, time.Minute }) }
	up := func(m *memoryStore) { m.locked(func() { m.down = false }) }
	leave := func(m *memoryStore) { m.put("servers/a", "leaving") }
	staleEntry := func(m *memoryStore) { m.put("servers/a", "ready") }
	remove := func(m *memoryStore) { m.remove("servers/a") }
	cases := []struct {
		name  string
		steps []step
		// within is the time after the last step in which the host must have the wanted number of
		// usable endpoints.
		within time.Duration
		want   int
	}{
		{"it announces that it leaves", []step{{time.Second, leave}}, 700 * time.Millisecond, 1},
		{"an old entry is written very late", []step{{time.Second, leave}, {time.Minute, staleEntry}}, 2 * time.Second, 1},
		{"its entry is removed very late, and an old one is written", []step{{time.Second, leave}, {time.Minute, remove}, {time.Second, staleEntry}}, 2 * time.Second, 1},
		{"its entry is removed unannounced", []step{{time.Second, remove}}, 700 * time.Millisecond, 1},
		{"an old entry is written late", []step{{time.Second, leave}, {time.Second, staleEntry}}, 2 * time.Second, 1},
		{"the store is down and entries lapse", []step{{time.Second, down}, {time.Second, remove}}, 2 * time.Second, 2},
		{"it leaves while the store refuses this host", []step{{time.Second, down}, {5 * time.Second, remove}, {200 * time.Millisecond, up}}, 3 * time.Second, 1},
		{"it leaves while this host gets no answer", []step{{time.Second, hang}, {5 * time.Second, remove}, {200 * time.Millisecond, up}}, 3800 * time.Millisecond, 1},
		{"it lapses and comes back", []step{{time.Second, down}, {time.Second, remove}, {time.Second, up}, {time.Second, staleEntry}}, 3 * time.Second, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				m := newMemoryStore()
				m.put("servers/a", "ready")
				m.put("servers/b", "ready")
				list := startEndpoints(ctx, m)
				for _, s := range tc.steps {
					time.Sleep(s.after)
					s.do(m)
				}
				time.Sleep(tc.within)
				must.EqOp(t, tc.want, usableCount(list()))
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestCallsAreBounded counts the calls to a store that is down: hosts must not flood it.
func TestCallsAreBounded(t *testing.T) {
	for _, hang := range []time.Duration{0, 50 * time.Millisecond, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			m := newMemoryStore()
			m.put("op/config", "one")
			startSettings(ctx, m)
			startEndpoints(ctx, m)
			time.Sleep(2 * time.Second)
			m.locked(func() { m.down, m.failDelay = true, hang })
			before := m.calls
			time.Sleep(10 * time.Second)
			m.locked(func() { must.LessEq(t, 70, m.calls-before) })
			cancel()
			synctest.Wait()
		})
	}
}
