// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/simsite"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
	"github.com/heathkeel/heathkeel/rollout"
)

// arrivalsOf returns the requests that reached the endpoints of a version from one moment to another, and the time of the last one.
func arrivalsOf(s *simsite.Site, version string, from, to time.Time) (n int, last time.Time) {
	for _, e := range s.Endpoints {
		if e.Version != version {
			continue
		}
		for _, a := range e.Arrivals() {
			if a.ReceivedAt.Before(from) || a.ReceivedAt.After(to) {
				continue
			}
			n++
			if a.ReceivedAt.After(last) {
				last = a.ReceivedAt
			}
		}
	}
	return n, last
}

// TestRolloutOfVersions checks with whole hosts that a good version gets all requests before the deadline of the order and that
// the operators are told so, and that a bad version gets no more than its share, nothing for long after its 50th error, and
// nothing from hosts that start again afterwards, also if the store is away for a while.
func TestRolloutOfVersions(t *testing.T) {
	const (
		duration                 = 14 * time.Second
		exposeShare, exposeSlack = 0.1, 50
		maxRollBackTime          = 5 * time.Second
	)
	cases := []struct {
		name     string
		errors   float64 // share of the new version's answers that are errors
		restart  bool    // a third of the hosts, one after the other
		storeOut bool    // the store is away for 3 s
		want     rollout.State
	}{
		{"good", 0, false, false, rollout.Succeeded},
		{"good, hosts start again", 0, true, false, rollout.Succeeded},
		{"good, the store is away", 0, false, true, rollout.Succeeded},
		{"bad", 0.5, false, false, rollout.RolledBack},
		{"bad, hosts start again", 0.5, true, false, rollout.RolledBack},
		{"bad, the store is away", 0.5, false, true, rollout.RolledBack},
	}
	for _, boot := range []struct {
		platform.Boot
		hosts    int
		interval time.Duration
	}{{smallBoot, 6, 50 * time.Millisecond}, {largeBoot, 24, 200 * time.Millisecond}} {
		for _, tc := range cases {
			t.Run(fmt.Sprint(tc.name, ", ", boot.hosts, " hosts"), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					boot.ExposeShare = exposeShare
					s := &simsite.Site{Boot: boot.Boot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
					defer s.Stop()
					must.NoError(t, s.Start(site.Example(), 6, boot.hosts))
					time.Sleep(4 * time.Second)

					var mu sync.Mutex
					r := rand.New(rand.NewPCG(3, 4))
					var errorTimes []time.Time
					fails := func() bool {
						mu.Lock()
						defer mu.Unlock()
						failed := r.Float64() < tc.errors
						if failed {
							errorTimes = append(errorTimes, time.Now())
						}
						return failed
					}
					for range 6 {
						must.NoError(t, s.AddVersion("v2", fails))
					}
					s.Store.Put(platform.PrefixRollouts+site.Plain, map[string]any{"Service": site.Plain, "TargetVersion": "v2", "DurationS": duration.Seconds()})
					ordered := time.Now()
					if tc.storeOut {
						time.AfterFunc(duration/3, func() { s.SetStoreBehavior(simsite.Refuse) })
						time.AfterFunc(duration/3+3*time.Second, func() { s.SetStoreBehavior(simsite.Normal) })
					}
					if tc.restart {
						go func() {
							for _, h := range s.Hosts[:boot.hosts/3] {
								time.Sleep(duration / time.Duration(boot.hosts/3+1))
								h.Kill()
								s.StartHost(h)
							}
						}()
					}
					sendFromAll(s, duration, boot.interval)
					deadline := ordered.Add(duration)
					value, _ := s.Store.Value(platform.PrefixRolloutStatus + site.Plain)
					version, state, err := platform.ParseRolloutStatus(value)
					must.NoError(t, err)
					must.EqOp(t, "v2", version)
					must.EqOp(t, tc.want, state)
					sendFromAll(s, 3*time.Second, boot.interval)
					if tc.want == rollout.Succeeded {
						n, _ := arrivalsOf(s, "v1", deadline, time.Now())
						must.Zero(t, n)
						n, _ = arrivalsOf(s, "v2", deadline, time.Now())
						must.Positive(t, n)
						return
					}
					oldCount, _ := arrivalsOf(s, "v1", ordered, deadline)
					newCount, _ := arrivalsOf(s, "v2", ordered, deadline)
					must.LessEq(t, exposeShare*float64(oldCount+newCount)+exposeSlack, float64(newCount))
					if len(errorTimes) >= 50 {
						_, last := arrivalsOf(s, "v2", ordered, time.Now())
						must.LessEq(t, maxRollBackTime, last.Sub(errorTimes[49]))
					}
				})
			})
		}
	}
}
