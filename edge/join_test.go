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

// newTestHost returns a host that is assembled but not running.
func newTestHost(boot platform.Boot) *Host {
	h := &Host{Boot: boot, Log: logr.Discard(), Clock: clock.NewSteady(), stopping: make(chan struct{})}
	h.assemble()
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
		{"a seed with an invalid address", []string{"10.0.0.2:80", "host"}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newTestHost(platform.Boot{Host: "a", IP: "10.0.0.1", PeerPort: 7600, Seeds: tc.seeds})
			must.EqOp(t, tc.want, h.isSeed())
		})
	}
}

// TestHostCountInEntries checks the number of hosts that entries state, and how a host uses it.
func TestHostCountInEntries(t *testing.T) {
	h := newTestHost(platform.Boot{Host: "a", IP: "10.0.0.1", PeerPort: 7600})
	must.Eq(t, feed.HostEntry{Address: "10.0.0.1:7600", HostCount: 1}, feed.ParseHostEntry(h.hostEntry()))
	must.True(t, h.shouldRegister())
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
			h.applyHostEntries(tc.items)
			must.EqOp(t, tc.want, h.hostsInStore.Load())
		})
	}
}

// TestStartWaitsForPeers checks how long starting hosts wait for what peers read before they read
// the store themselves. Seeds and hosts of small fleets do not wait.
func TestStartWaitsForPeers(t *testing.T) {
	others := []string{"10.0.0.2:80", "10.0.0.3:80"}
	cases := []struct {
		name               string
		boot               platform.Boot
		found              int64
		minDelay, maxDelay time.Duration
	}{
		{"seed, first start", platform.Boot{Seeds: []string{"10.0.0.1:80"}, Bootstrap: true}, 0, 0, 0},
		{"first start", platform.Boot{Seeds: others, Bootstrap: true}, 0, firstStartWait, 2*firstStartWait + startPollInterval},
		{"large fleet", platform.Boot{Seeds: others}, 295, startWait, 2*startWait + startPollInterval},
		{"small fleet", platform.Boot{Seeds: others}, 6, 0, 0},
		{"number of hosts unknown", platform.Boot{Seeds: others}, 0, startWait, startWait + startPollInterval},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				tc.boot.Host, tc.boot.IP, tc.boot.PeerPort, tc.boot.Store = "a", "10.0.0.1", 7600, "store"
				start := time.Now()
				h := newTestHost(tc.boot)
				h.hostsInStore.Store(tc.found)
				store := &failingStore{}
				h.settings.Store, h.endpoints.Store, h.hostRegistry.Store = store, store, store
				go h.followStore(ctx)
				time.Sleep(2 * time.Second)
				must.Between(t, tc.minDelay, store.firstReadAt.Sub(start), tc.maxDelay)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// failingStore is a store that fails. It records when a host first reads the settings or the
// endpoints.
type failingStore struct {
	feed.Store
	firstReadAt time.Time
}

func (s *failingStore) Range(_ context.Context, prefix string, _ bool) (feed.Page, error) {
	if prefix != platform.PrefixOwn && s.firstReadAt.IsZero() {
		s.firstReadAt = time.Now()
	}
	return feed.Page{}, fmt.Errorf("the store is down")
}

func (s *failingStore) Grant(context.Context, time.Duration) (uint64, error) {
	return 0, fmt.Errorf("the store is down")
}
