// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package mesh

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/fleet"
)

// bigEnv adds the fleet of two years to the sizes tried; it takes minutes.
const bigEnv = "HEATHKEEL_TEST_BIG"

// fleetSizes are the numbers of hosts tried.
func fleetSizes() []int {
	if os.Getenv(bigEnv) != "" {
		return []int{7, 30, 90, 300, 930}
	}
	return []int{7, 30, 90}
}

// leaveWithin is the bound on naming a host that is gone.
const leaveWithin = 3 * time.Second

// settle is the time that a fleet started all at once gets before it is measured.
const settle = 20 * time.Second

// quiet is the time over which traffic is measured.
const quiet = 10 * time.Second

func TestMembershipAndPropagation(t *testing.T) {
	for _, n := range fleetSizes() {
		t.Run(fmt.Sprintf("hosts=%d", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				w := newWorld(t, ctx, n)
				time.Sleep(settle)
				before, msgs, calls := w.traffic()
				time.Sleep(quiet)
				after, msgs2, calls2 := w.traffic()
				t.Logf("hosts %d: %.0f B/s of heartbeats a host, %.1f messages/s, %.2f calls/s to the key-value service in all",
					n, float64(after-before)/quiet.Seconds()/float64(n), float64(msgs2-msgs)/quiet.Seconds()/float64(n),
					float64(calls2-calls)/quiet.Seconds())

				median, worst := w.untilAll(w.mustApply())
				t.Logf("hosts %d: change in force: median %.3f s, worst %.3f s", n, median.Seconds(), worst.Seconds())
				must.LessEq(t, inForceIn, worst)

				gone := w.all[n/2]
				gone.Kill()
				took := w.untilUnnamed(gone)
				t.Logf("hosts %d: killed host no longer named anywhere after %.2f s", n, took.Seconds())
				must.LessEq(t, leaveWithin, took)

				leaving := w.all[n/3]
				leaving.Agent.Update(func(h *fleet.Host) { h.Leaving = true })
				took = w.untilUnnamed(leaving)
				t.Logf("hosts %d: leaving host no longer named anywhere after %.3f s", n, took.Seconds())
				must.LessEq(t, leaveWithin, took)
			})
		})
	}
}

// traffic sums bytes and messages of all hosts and calls to the key-value service.
func (w *world) traffic() (bytes, messages, calls int64) {
	for _, n := range w.all {
		bytes += n.Bytes.Load()
		messages += n.Messages.Load()
	}
	c := w.kv.Calls()
	return bytes, messages, c.Reads + c.Writes
}

// untilUnnamed waits until no living host would name one.
func (w *world) untilUnnamed(gone *Node) time.Duration {
	start := time.Now()
	for range 2000 {
		named := 0
		for _, n := range w.all {
			if n != gone && !n.dead.Load() && n.ConsidersLive(gone) {
				named++
			}
		}
		if named == 0 {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.t.Fatalf("%s is named for ever", gone.Name)
	return 0
}

func TestCutHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := newWorld(t, ctx, 12)
		w.untilKnown(12)
		w.SetPartition(func(a, b *Node) bool { return (a.Zone == "z1") != (b.Zone == "z1") })
		for i, g := range w.gaps {
			g.cut.Store(w.all[i].Zone == "z1")
		}
		time.Sleep(10 * time.Minute)
		must.Eq(t, 4, w.all[0].LiveCount())
		must.Eq(t, 8, w.all[1].LiveCount())
		rev := w.mustApply()
		time.Sleep(10 * time.Second)
		must.Eq(t, rev-1, w.all[0].Follower.Revision())
		w.SetPartition(nil)
		start := time.Now()
		w.untilKnown(12)
		t.Logf("zone known again %.1f s after a cut of 10 minutes", time.Since(start).Seconds())
		// The zone has no way to the key-value service still; peers bring the change.
		_, worst := w.untilAll(rev)
		must.LessEq(t, inForceIn, worst)
	})
}

func TestWrongSuspicionIsRefuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := newWorld(t, ctx, 9)
		w.untilKnown(9)
		a, b := w.all[0], w.all[4]
		w.SetPartition(func(x, y *Node) bool { return (x == a && y == b) || (x == b && y == a) })
		// The two suspect each other for as long as the cut lasts; whoever else is
		// told hears the accused's own word soon and names both again.
		time.Sleep(time.Minute)
		w.SetPartition(nil)
		w.untilKnown(9)
	})
}

func TestRestartAtTheSameAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := fleet.NewTable(fleet.Host{Name: "a", Incarnation: 1, Address: "a"})
		old := fleet.Host{Name: "b", Incarnation: 2, Address: "b", Seq: 1}
		tab.MergeDirect(1, old)
		tab.MergeDirect(2, fleet.Host{Name: "b", Incarnation: 3, Address: "b", Seq: 1})
		h, ok := tab.Find(2)
		must.True(t, ok)
		must.True(t, h.Gone)
		must.Len(t, 2, tab.Live())
		// A late message of the old incarnation must not bring it back for good.
		tab.Merge(3, []fleet.Host{old})
		h, _ = tab.Find(2)
		must.True(t, h.Gone)
	})
}

func TestAccusedIsTold(t *testing.T) {
	tab := fleet.NewTable(fleet.Host{Name: "a", Incarnation: 1, Address: "a"})
	b := fleet.Host{Name: "b", Incarnation: 2, Address: "b", Seq: 1}
	tab.MergeDirect(1, b)
	b.Suspect = true
	tab.Merge(2, []fleet.Host{b})
	h, _ := tab.Find(2)
	must.True(t, h.Live())
	must.Eq(t, []fleet.Host{b}, tab.TakeRejectedSuspicions())
}

func TestForget(t *testing.T) {
	tab := fleet.NewTable(fleet.Host{Name: "a", Incarnation: 1, Address: "a"})
	tab.MergeDirect(1, fleet.Host{Name: "b", Incarnation: 2, Address: "b", Seq: 1})
	tab.MarkSuspect(2, 2)
	names := []string{"a"}
	tab.ApplyList(3, names)
	_, ok := tab.Find(2)
	must.True(t, ok)
	tab.ApplyList(fleet.DefaultForgetTimeout+time.Minute, names)
	_, ok = tab.Find(2)
	must.False(t, ok)
}
