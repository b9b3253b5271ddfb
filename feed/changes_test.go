// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
)

// newEndpoints returns Endpoints that are told of by others only.
func newEndpoints() *Endpoints {
	now := func() time.Duration { return time.Minute }
	e := &Endpoints{
		Now: now, OnChange: func([]Endpoint) {}, Log: logr.Discard(),
		StoreHealth: &StoreHealth{Now: now, RunTime: now, Log: logr.Discard()},
	}
	e.Init()
	return e
}

// endpointsOf returns n endpoints.
func endpointsOf(n int) map[string]Endpoint {
	out := make(map[string]Endpoint, n)
	for i := range n {
		name := fmt.Sprintf("i-%010x", i*7919)
		out[name] = Endpoint{Instance: name, StartedMS: 1791234567890, Service: "service", Address: fmt.Sprintf("10.128.%d.%d:8080", i/250, i%250), Zone: "zone-1", Version: "v1", Slots: 8}
	}
	return out
}

// listOf returns a list of endpoints as a peer that has read the store passes it on.
func listOf(revision uint64, known map[string]Endpoint) EndpointList {
	l := EndpointList{Revision: revision, FollowedFor: time.Hour}
	for _, e := range known {
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}

// TestListSinceMatchesList checks on random histories that a host which gets only changes has the same list as one that gets whole
// lists, however many changes it misses.
func TestListSinceMatchesList(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 0))
			reader, follower := newEndpoints(), newEndpoints()
			known := endpointsOf(50)
			parts := 0
			for revision := uint64(1); revision < 200; revision++ {
				for name, e := range known {
					switch r.IntN(60) {
					case 0:
						delete(known, name)
					case 1:
						e.Leaving = true
						known[name] = e
					}
				}
				if r.IntN(2) == 0 {
					name := fmt.Sprint("new-", revision)
					known[name] = Endpoint{Instance: name, Service: "service", Address: "10.0.0.1:80", Zone: "zone-2", Slots: 4}
				}
				reader.Offer(listOf(revision, known))
				if r.IntN(3) > 0 {
					continue
				}
				v, _ := follower.View()
				l, ok := reader.ListSince(v.Checksum)
				must.True(t, ok)
				if l.Since != 0 {
					parts++
				}
				follower.Offer(l)
				want, _ := reader.List()
				got, _ := follower.List()
				must.Eq(t, want.Endpoints, got.Endpoints)
			}
			must.Greater(t, 20, parts)
		})
	}
}

// TestChangesForOtherListAreIgnored checks that changes since a list that the host no longer has change nothing.
func TestChangesForOtherListAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEndpoints()
		e.Offer(listOf(1, endpointsOf(3)))
		before, _ := e.List()
		e.Offer(EndpointList{Revision: 2, Since: 12345, Removed: []string{before.Endpoints[0].Instance}})
		after, _ := e.List()
		must.Eq(t, before.Endpoints, after.Endpoints)
		must.EqOp(t, before.Revision, after.Revision)
	})
}

// TestListSinceSize checks that what a host gets when one endpoint leaves does not grow with the number of endpoints.
func TestListSinceSize(t *testing.T) {
	const maxBytes = 1024
	for _, n := range []int{100, 1000, 3000, 6000} {
		synctest.Test(t, func(t *testing.T) {
			e := newEndpoints()
			known := endpointsOf(n)
			e.Offer(listOf(1, known))
			v, _ := e.View()
			for name := range known {
				delete(known, name)
				break
			}
			e.Offer(listOf(2, known))
			l, _ := e.ListSince(v.Checksum)
			part, err := json.Marshal(l)
			must.NoError(t, err)
			l, _ = e.List()
			whole, err := json.Marshal(l)
			must.NoError(t, err)
			t.Logf("%d endpoints: %d bytes for one that left, %d for all", n, len(part), len(whole))
			must.LessEq(t, maxBytes, len(part))
		})
	}
}
