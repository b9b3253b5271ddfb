// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/simsite"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// versionChange is what hosts do when engines appear while callers read streams.
type versionChange struct {
	calls   int           // to the store
	firstAt time.Duration // from the appearance of the engines to the first event that one of them wrote, 0 for never
}

// playVersionChange lets engines of a version appear beside those of v1, and watches for d what follows.
func playVersionChange(t *testing.T, boot platform.Boot, hosts int, version string, d time.Duration) versionChange {
	t.Helper()
	var got versionChange
	synctest.Test(t, func(t *testing.T) {
		s := &simsite.Site{Boot: boot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
		defer s.Stop()
		must.NoError(t, s.Start(site.Example(), 0, hosts))
		streams := simsite.Streams{Events: 4, Pace: 50 * time.Millisecond}
		for range 6 {
			must.NoError(t, s.AddEngine("v1", streams))
		}
		time.Sleep(4 * time.Second)
		before, begun := s.Store.TotalCalls(), time.Now()
		for range 6 {
			must.NoError(t, s.AddEngine(version, streams))
		}
		r := rand.New(rand.NewPCG(41, 42))
		first := make(chan time.Time, 1)
		for n := 0; time.Since(begun) < d; n++ {
			h := s.Hosts[r.IntN(len(s.Hosts))]
			go func() {
				a := s.SendStream(h, simsite.StreamCall{ID: fmt.Sprint("stream-", n)})
				if len(a.Versions) == 0 || a.Versions[0] != "v2" {
					return
				}
				select {
				case first <- time.Now().Add(-time.Duration(streams.Events-1) * streams.Pace):
				default:
				}
			}()
			time.Sleep(time.Second / 30)
		}
		time.Sleep(time.Second) // until all streams have ended
		got.calls = s.Store.TotalCalls() - before
		select {
		case at := <-first:
			got.firstAt = at.Sub(begun)
		default:
		}
	})
	return got
}

// TestVersionChangeCost measures what a change of the engines' version costs in calls to the store, and how soon a new version gets streams:
// its records are written once, each host reads them a few times, and the two hosts that save write 17 and one batch of streams a second at most.
func TestVersionChangeCost(t *testing.T) {
	const d = 10 * time.Second
	for _, fleet := range []struct {
		boot  platform.Boot
		hosts int
	}{{smallBoot, 6}, {largeBoot, 85}} {
		t.Run(fmt.Sprint(fleet.hosts, " hosts"), func(t *testing.T) {
			without := playVersionChange(t, fleet.boot, fleet.hosts, "v1", d)
			with := playVersionChange(t, fleet.boot, fleet.hosts, "v2", d)
			t.Logf("calls in %v: %d without, %d with a change of version; first stream of it after %v", d, without.calls, with.calls, with.firstAt)
			const writes, readsEach, savesPerSecond = 3, 3, 18
			must.LessEq(t, writes+readsEach*fleet.hosts+savesPerSecond*int(d/time.Second+1), with.calls-without.calls)
			must.Positive(t, with.firstAt)
			must.LessEq(t, 2*time.Second, with.firstAt)
		})
	}
}
