// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/quarantine"
)

// crashHost is a host of a fleet with a registry of requests under which endpoints crash.
type crashHost struct {
	*node
	registry quarantine.Registry
}

func (h *crashHost) Fill(b *Heartbeat) {
	h.node.Fill(b)
	h.mu.Lock()
	defer h.mu.Unlock()
	b.Crashes = h.registry.Outgoing(h.now(), quarantine.Local)
}

func (h *crashHost) Crashes(to quarantine.Scope) quarantine.Evidence {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registry.Outgoing(h.now(), to)
}

func (h *crashHost) CrashesReceived(t *quarantine.Evidence) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registry.Merge(h.now(), t)
}

// crash simulates the crash of an endpoint under a request of this host.
func (h *crashHost) crash(f quarantine.Fingerprint, incarnation string) {
	h.noteEnd(f, quarantine.Termination{Incarnation: incarnation, At: h.now(), RequestAge: 100 * time.Millisecond, NoResponse: true})
}

// noteEnd records the termination of an endpoint under a request of this host.
func (h *crashHost) noteEnd(f quarantine.Fingerprint, e quarantine.Termination) {
	h.mu.Lock()
	h.registry.Host = h.agent.Table.Host
	h.registry.NoteCrash(h.now(), f, e)
	h.mu.Unlock()
	h.agent.TriggerHeartbeat()
}

// refuses reports whether the host refuses a request.
func (h *crashHost) refuses(f quarantine.Fingerprint) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, held := h.registry.Held(h.now(), f)
	return held
}

// crashFleet starts a fleet of such hosts.
func crashFleet(ctx context.Context, n int, loss float64) []*crashHost {
	var out []*crashHost
	fleetOf(ctx, n, 3, loss, func(n *node) Host {
		out = append(out, &crashHost{node: n})
		return out[len(out)-1]
	})
	return out
}

// TestCrashesReachAll simulates crashes of three endpoints under the same request at three hosts. It checks how
// long it takes until all hosts refuse the request, also if datagrams are lost, if the relays become silent at
// the same time, and at a host that starts later. The contact time of the smallest sites is 3 s.
func TestCrashesReachAll(t *testing.T) {
	cases := []struct {
		hosts   int
		loss    float64
		silent  bool // the relays become silent at the time of the crashes
		maxTime time.Duration
		big     bool
	}{
		{6, 0, false, 50 * time.Millisecond, false},
		{6, 0.1, false, 700 * time.Millisecond, false},
		{24, 0, false, 300 * time.Millisecond, false},
		{24, 0.1, false, time.Second, false},
		{24, 0, true, 1500 * time.Millisecond, false},
		{85, 0, false, 300 * time.Millisecond, false},
		{85, 0.1, false, 1500 * time.Millisecond, false},
		{85, 0.1, true, 2 * time.Second, false},
		{300, 0, false, 300 * time.Millisecond, true},
		{300, 0.1, false, 1500 * time.Millisecond, true},
		{300, 0.1, true, 2 * time.Second, true},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d hosts, %.0f percent lost, relays silent %t", c.hosts, 100*c.loss, c.silent), func(t *testing.T) {
			if c.big && os.Getenv("HEATHKEEL_TEST_BIG") == "" {
				t.Skip("set HEATHKEEL_TEST_BIG to run it")
			}
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				hosts := crashFleet(ctx, c.hosts, c.loss)
				time.Sleep(4 * time.Second)
				live := hosts
				if c.silent {
					live = nil
					for _, h := range hosts {
						if _, relay := h.agent.relayStatus(); relay {
							h.conn.isolate()
							continue
						}
						live = append(live, h)
					}
				}
				r := quarantine.Request{URI: "/a"}
				f := r.Fingerprint()
				began := live[0].now()
				for i := range 3 {
					live[i*len(live)/3].crash(f, fmt.Sprint("life-", i))
				}
				elapsed := timeUntilRefused(live, f, began)
				t.Logf("all %d hosts refuse the request after %v", len(live), elapsed)
				must.LessEq(t, c.maxTime, elapsed)

				last := live[len(live)-1]
				last.cancel()
				time.Sleep(5 * time.Second)
				last.registry = quarantine.Registry{}
				last.conn = last.conn.network.open(c.hosts + 1)
				last.info.Address = last.conn.address.String()
				began = last.now()
				last.start(ctx, c.hosts-1, live[0].info.Address)
				elapsed = timeUntilRefused([]*crashHost{last}, f, began)
				t.Logf("a host that starts refuses the request after %v", elapsed)
				must.LessEq(t, 2*time.Second, elapsed)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// timeUntilRefused waits up to 5 s until all hosts refuse a request, and returns how long that took.
func timeUntilRefused(hosts []*crashHost, f quarantine.Fingerprint, began time.Duration) time.Duration {
	for range 1000 {
		all := true
		for _, h := range hosts {
			all = all && h.refuses(f)
		}
		if all {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return hosts[0].now() - began
}
