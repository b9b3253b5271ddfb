// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/peers"
	"github.com/heathkeel/heathkeel/platform"
)

// joiner makes a host that has not begun to run, with the given seeds.
func joiner(boot platform.Boot) *Host {
	h := &Host{Boot: boot, Log: logr.Discard(), Clock: clock.NewSteady(), stopping: make(chan struct{})}
	h.build()
	h.agent = &peers.Agent{
		Table: &peers.Table{Host: boot.Host, Incarnation: 1}, Host: h, Now: h.now, Rand: rand.New(rand.NewPCG(1, 2)), Log: logr.Discard(),
	}
	h.agent.Init()
	return h
}

func TestIsSeed(t *testing.T) {
	cases := []struct {
		name  string
		seeds []string
		want  bool
	}{
		{"named", []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}, true},
		{"not named", []string{"10.0.0.2:80", "10.0.0.3:80"}, false},
		{"no seeds", nil, true},
		{"a seed that cannot be read", []string{"10.0.0.2:80", "host"}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := joiner(platform.Boot{Host: "a", IP: "10.0.0.1", PeerPort: 7600, Seeds: tc.seeds})
			must.EqOp(t, tc.want, h.isSeed())
		})
	}
}

// TestEntryTellsHosts holds what entries tell of the number of hosts, and what a host makes of them.
func TestEntryTellsHosts(t *testing.T) {
	h := joiner(platform.Boot{Host: "a", IP: "10.0.0.1", PeerPort: 7600})
	must.Eq(t, feed.HostEntry{Address: "10.0.0.1:7600", HostCount: 1}, feed.ParseHostEntry(h.entryValue()))
	must.True(t, h.keepsEntry())
	cases := []struct {
		name  string
		items []feed.Item
		want  int64
	}{
		{"none", nil, 1},
		{"as many as entries", make([]feed.Item, 5), 5},
		{"more than entries", []feed.Item{{Value: feed.HostEntry{Address: "10.0.0.2:7600", HostCount: 295}.Encode()}, {Value: []byte("10.0.0.3:7600")}}, 295},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h.foundHosts(tc.items)
			must.EqOp(t, tc.want, h.found.Load())
		})
	}
}

// TestWaitsForPeers holds how long hosts wait for what peers read before they read themselves: the
// seeds and hosts of small fleets not at all.
func TestWaitsForPeers(t *testing.T) {
	others := []string{"10.0.0.2:80", "10.0.0.3:80"}
	cases := []struct {
		name        string
		boot        platform.Boot
		found       int64
		least, most time.Duration
	}{
		{"a seed, at the first start", platform.Boot{Seeds: []string{"10.0.0.1:80"}, Bootstrap: true}, 0, 0, 0},
		{"the first start", platform.Boot{Seeds: others, Bootstrap: true}, 0, firstPatience, 2*firstPatience + startLook},
		{"among many", platform.Boot{Seeds: others}, 295, startPatience, 2*startPatience + startLook},
		{"among few", platform.Boot{Seeds: others}, 6, 0, 0},
		{"the store does not tell how many", platform.Boot{Seeds: others}, 0, startPatience, startPatience + startLook},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				tc.boot.Host, tc.boot.IP, tc.boot.PeerPort, tc.boot.Store = "a", "10.0.0.1", 7600, "store"
				began := time.Now()
				h := joiner(tc.boot)
				h.found.Store(tc.found)
				store := &firstCall{}
				h.settings.Store, h.endpoints.Store, h.entry.Store = store, store, store
				go h.follow(ctx)
				time.Sleep(2 * time.Second)
				must.Between(t, tc.least, store.at.Sub(began), tc.most)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// firstCall notes when a host first reads the settings or the endpoints from a store that fails.
type firstCall struct {
	feed.Store
	at time.Time
}

func (s *firstCall) Range(_ context.Context, prefix string, _ bool) (feed.Page, error) {
	if prefix != platform.PrefixOwn && s.at.IsZero() {
		s.at = time.Now()
	}
	return feed.Page{}, fmt.Errorf("the store fails")
}

func (s *firstCall) Grant(context.Context, time.Duration) (uint64, error) {
	return 0, fmt.Errorf("the store fails")
}
