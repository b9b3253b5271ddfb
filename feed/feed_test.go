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

// errDark is what a dark store gives.
var errDark = errors.New("dark")

// memoryStore is a store on injected time; its fields may be changed under mu.
type memoryStore struct {
	mu     sync.Mutex
	items  map[string]Item
	log    []Item
	at     uint64
	dark   bool          // calls fail after hang
	hang   time.Duration // how long they take to fail
	slow   time.Duration // each answer takes so long more
	forgot bool          // the next watch finds its history gone
	// forgotten is the revision up to which all history is gone.
	forgotten uint64
	cutWatch  bool // watches are cut at once
	calls     int
}

func newMemoryStore() *memoryStore { return &memoryStore{items: make(map[string]Item)} }

func (m *memoryStore) put(key, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.at++
	it := Item{Key: key, Value: []byte(value), Revision: m.at}
	m.items[key] = it
	m.log = append(m.log, it)
}

func (m *memoryStore) remove(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.at++
	delete(m.items, key)
	m.log = append(m.log, Item{Key: key, Revision: m.at, Deleted: true})
}

func (m *memoryStore) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// enter counts a call and fails it while the store is dark.
func (m *memoryStore) enter(ctx context.Context) error {
	m.mu.Lock()
	m.calls++
	dark, hang, slow := m.dark, m.hang, m.slow
	m.mu.Unlock()
	if !dark {
		sleep(ctx, slow)
		return ctx.Err()
	}
	sleep(ctx, hang)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errDark
}

func (m *memoryStore) Range(ctx context.Context, prefix string, _ bool) (Page, error) {
	if err := m.enter(ctx); err != nil {
		return Page{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := Page{Revision: m.at}
	for k, it := range m.items {
		if strings.HasPrefix(k, prefix) {
			p.Items = append(p.Items, it)
		}
	}
	return p, nil
}

func (m *memoryStore) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (Page, error) {
	if err := m.enter(ctx); err != nil {
		return Page{}, err
	}
	for end := time.Now().Add(wait); ; {
		m.mu.Lock()
		if m.forgot || since < m.forgotten {
			m.forgot = false
			m.mu.Unlock()
			return Page{}, ErrCompacted
		}
		p := Page{Revision: m.at}
		for _, it := range m.log {
			if it.Revision > since && strings.HasPrefix(it.Key, prefix) {
				p.Items = append(p.Items, it)
			}
		}
		cut := m.cutWatch
		m.mu.Unlock()
		if len(p.Items) > 0 || cut || !time.Now().Before(end) {
			return p, nil
		}
		sleep(ctx, 10*time.Millisecond)
		if ctx.Err() != nil {
			return Page{}, ctx.Err()
		}
	}
}

func (m *memoryStore) Grant(context.Context, time.Duration) (uint64, error) { return 1, nil }
func (m *memoryStore) Renew(context.Context, uint64) error                  { return nil }
func (m *memoryStore) Put(context.Context, string, []byte, uint64) error    { return nil }

// parseVersion reads a document that is only a route's name.
func parseVersion(b []byte) (*route.Document, error) {
	if string(b) == "broken" {
		return nil, errors.New("broken")
	}
	return &route.Document{Routes: []route.Route{{Name: string(b)}}}, nil
}

// follow starts a Settings on a store and returns it with its clock.
func follow(ctx context.Context, m *memoryStore) *Settings {
	start := time.Now()
	return followBy(ctx, m, func() time.Duration { return time.Since(start) })
}

// followBy starts a Settings on a store by a clock.
func followBy(ctx context.Context, m *memoryStore, now func() time.Duration) *Settings {
	s := &Settings{
		Store: m, Prefix: "op/", Key: "op/config", Parse: parseVersion, WatchTimeout: 1200 * time.Millisecond, RetryInterval: 300 * time.Millisecond,
		Now: now, StoreHealth: testReach(now), OnChange: func(*route.Table) {}, Log: logr.Discard(),
	}
	go s.Run(ctx)
	return s
}

func TestSettingsAge(t *testing.T) {
	cases := []struct {
		name  string
		fault func(m *memoryStore)
		// least and most bound the age 4 s after the fault began.
		least, most time.Duration
	}{
		{"calm", func(*memoryStore) {}, 0, 1300 * time.Millisecond},
		{"dark at once", func(m *memoryStore) { m.dark = true }, 2500 * time.Millisecond, 5300 * time.Millisecond},
		{"dark and silent", func(m *memoryStore) { m.dark, m.hang = true, time.Minute }, 2500 * time.Millisecond, 5300 * time.Millisecond},
		{"slow", func(m *memoryStore) { m.slow = 300 * time.Millisecond }, 0, 1900 * time.Millisecond},
		{"watches cut", func(m *memoryStore) { m.cutWatch = true }, 0, 700 * time.Millisecond},
		{"history forgotten", func(m *memoryStore) { m.forgot = true }, 0, 1300 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				m := newMemoryStore()
				m.put("op/config", "one")
				s := follow(ctx, m)
				time.Sleep(3 * time.Second)
				m.set(func() { tc.fault(m) })
				time.Sleep(4 * time.Second)
				age, ok := s.Age.At(s.Now())
				must.True(t, ok)
				must.GreaterEq(t, tc.least, age)
				must.LessEq(t, tc.most, age)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestSettingsNeverClaimTooMuch holds the age against the truth: at no time may a
// host believe that what it has was newest at a moment when a newer one stood.
func TestSettingsNeverClaimTooMuch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := newMemoryStore()
		m.put("op/config", "one")
		s := follow(ctx, m)
		faults := []func(){
			func() { m.slow = 700 * time.Millisecond }, func() { m.dark, m.hang = true, 2*time.Second }, func() { m.dark = false },
			func() { m.slow = 0 }, func() { m.cutWatch = true }, func() { m.cutWatch = false }, func() { m.forgot = true },
		}
		for i := range 200 {
			m.set(faults[i%len(faults)])
			m.put("op/config", strings.Repeat("x", i+1))
			wrote, newest := s.Now(), m.at
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

func TestSettingsOnlyForward(t *testing.T) {
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

func TestAgeProofs(t *testing.T) {
	var a Age
	_, ok := a.At(0)
	must.False(t, ok)
	a.Prove(3, 10*time.Second)
	a.Prove(3, 8*time.Second) // an older proof says nothing
	a.Prove(2, 20*time.Second)
	age, _ := a.At(11 * time.Second)
	must.EqOp(t, time.Second, age)
	a.Prove(4, 9*time.Second) // newest in between: what was proven before still holds
	age, _ = a.At(11 * time.Second)
	must.EqOp(t, time.Second, age)
	must.EqOp(t, 4, a.Revision())
}

// parseEndpoint reads entries that hold "foreign", "leaving" or anything else, and behind an @ the time of
// the start.
func parseEndpoint(key string, value []byte) (Endpoint, error) {
	state, start, _ := strings.Cut(string(value), "@")
	if state == "foreign" {
		return Endpoint{}, errors.New("another program's")
	}
	n := Endpoint{Instance: strings.TrimPrefix(key, "servers/"), Leaving: state == "leaving"}
	if start != "" {
		born, err := strconv.ParseInt(start, 10, 64)
		if err != nil {
			return Endpoint{}, err
		}
		n.StartedMS = born
	}
	return n, nil
}

// listen starts an Endpoints on a store; the newest list is read with the returned function.
func listen(ctx context.Context, m *memoryStore) func() []Endpoint {
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
	e.StoreHealth = testReach(e.Now)
	e.Init()
	go e.Run(ctx)
	return func() []Endpoint {
		mu.Lock()
		defer mu.Unlock()
		return list
	}
}

// usable counts the endpoints that may get new work.
func usable(list []Endpoint) int {
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
	dark := func(m *memoryStore) { m.set(func() { m.dark = true }) }
	silent := func(m *memoryStore) { m.set(func() { m.dark, m.hang = true, time.Minute }) }
	light := func(m *memoryStore) { m.set(func() { m.dark = false }) }
	leave := func(m *memoryStore) { m.put("servers/a", "leaving") }
	stale := func(m *memoryStore) { m.put("servers/a", "ready") }
	vanish := func(m *memoryStore) { m.remove("servers/a") }
	cases := []struct {
		name  string
		steps []step
		// within is the time after the last step in which the host must have the wanted number of usable endpoints.
		within time.Duration
		want   int
	}{
		{"it says that it leaves", []step{{time.Second, leave}}, 700 * time.Millisecond, 1},
		{"an old entry comes very late", []step{{time.Second, leave}, {time.Minute, stale}}, 2 * time.Second, 1},
		{"its entry goes very late, and an old one comes", []step{{time.Second, leave}, {time.Minute, vanish}, {time.Second, stale}}, 2 * time.Second, 1},
		{"its entry goes without a word", []step{{time.Second, vanish}}, 700 * time.Millisecond, 1},
		{"an old entry comes late", []step{{time.Second, leave}, {time.Second, stale}}, 2 * time.Second, 1},
		{"the store is dark and entries lapse", []step{{time.Second, dark}, {time.Second, vanish}}, 2 * time.Second, 2},
		{"it leaves while this host is turned away", []step{{time.Second, dark}, {5 * time.Second, vanish}, {200 * time.Millisecond, light}}, 3 * time.Second, 1},
		{"it leaves while this host hears nothing", []step{{time.Second, silent}, {5 * time.Second, vanish}, {200 * time.Millisecond, light}}, 3800 * time.Millisecond, 1},
		{"it lapses and comes back", []step{{time.Second, dark}, {time.Second, vanish}, {time.Second, light}, {time.Second, stale}}, 3 * time.Second, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				m := newMemoryStore()
				m.put("servers/a", "ready")
				m.put("servers/b", "ready")
				list := listen(ctx, m)
				for _, s := range tc.steps {
					time.Sleep(s.after)
					s.do(m)
				}
				time.Sleep(tc.within)
				must.EqOp(t, tc.want, usable(list()))
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestCallsAreBounded counts the calls to a store that is dark: they must not become a storm.
func TestCallsAreBounded(t *testing.T) {
	for _, hang := range []time.Duration{0, 50 * time.Millisecond, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			m := newMemoryStore()
			m.put("op/config", "one")
			follow(ctx, m)
			listen(ctx, m)
			time.Sleep(2 * time.Second)
			m.set(func() { m.dark, m.hang = true, hang })
			before := m.calls
			time.Sleep(10 * time.Second)
			m.set(func() { must.LessEq(t, 70, m.calls-before) })
			cancel()
			synctest.Wait()
		})
	}
}
