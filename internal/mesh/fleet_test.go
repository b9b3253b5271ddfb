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

// bigEnv is the environment variable that adds the fleet sizes expected within two years; they take
// minutes.
const bigEnv = "HEATHKEEL_TEST_BIG"

// fleetSizes returns the numbers of hosts to test.
func fleetSizes() []int {
	if os.Getenv(bigEnv) != "" {
		return []int{7, 30, 90, 300, 930}
	}
	return []int{7, 30, 90}
}

// maxLeaveTime limits the time until no host considers a host live that has left or died.
const maxLeaveTime = 3 * time.Second

// settleTime is the time between the start of all hosts at once and the measurement.
const settleTime = 20 * time.Second

// measureTime is the time over which traffic is measured.
const measureTime = 10 * time.Second

func TestMembershipAndPropagation(t *testing.T) {
	for _, n := range fleetSizes() {
		t.Run(fmt.Sprintf("hosts=%d", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				w := newTestMesh(t, ctx, n)
				time.Sleep(settleTime)
				before, msgs, calls := w.traffic()
				time.Sleep(measureTime)
				after, msgs2, calls2 := w.traffic()
				t.Logf("hosts %d: %.0f B/s of heartbeats a host, %.1f messages/s, %.2f calls/s to the key-value service in all",
					n, float64(after-before)/measureTime.Seconds()/float64(n), float64(msgs2-msgs)/measureTime.Seconds()/float64(n),
					float64(calls2-calls)/measureTime.Seconds())

				median, worst := w.awaitRevision(w.mustDeclareNext())
				t.Logf("hosts %d: change in force: median %.3f s, worst %.3f s", n, median.Seconds(), worst.Seconds())
				must.LessEq(t, maxApplyTime, worst)

				gone := w.hosts[n/2]
				gone.Kill()
				took := w.awaitNotLive(gone)
				t.Logf("hosts %d: killed host no longer considered live anywhere after %.2f s", n, took.Seconds())
				must.LessEq(t, maxLeaveTime, took)

				leaving := w.hosts[n/3]
				leaving.Agent.Update(func(h *fleet.Host) { h.Leaving = true })
				took = w.awaitNotLive(leaving)
				t.Logf("hosts %d: leaving host no longer considered live anywhere after %.3f s", n, took.Seconds())
				must.LessEq(t, maxLeaveTime, took)
			})
		})
	}
}

// traffic returns the bytes and messages of all hosts and the number of calls to the key-value
// service.
func (w *testMesh) traffic() (bytes, messages, calls int64) {
	for _, n := range w.hosts {
		bytes += n.Bytes.Load()
		messages += n.Messages.Load()
	}
	c := w.kv.Calls()
	return bytes, messages, c.Reads + c.Writes
}

// awaitNotLive waits until no running host considers a host live, and returns how long that took.
func (w *testMesh) awaitNotLive(gone *Node) time.Duration {
	start := time.Now()
	for range 2000 {
		considering := 0
		for _, n := range w.hosts {
			if n != gone && !n.killed.Load() && n.ConsidersLive(gone) {
				considering++
			}
		}
		if considering == 0 {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.t.Fatalf("%s is still considered live after 20 s", gone.Name)
	return 0
}

func TestPartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := newTestMesh(t, ctx, 12)
		w.awaitMembers(12)
		w.SetPartition(func(a, b *Node) bool { return (a.Zone == "z1") != (b.Zone == "z1") })
		for i, g := range w.kvs {
			g.unavailable.Store(w.hosts[i].Zone == "z1")
		}
		time.Sleep(10 * time.Minute)
		must.Eq(t, 4, w.hosts[0].LiveCount())
		must.Eq(t, 8, w.hosts[1].LiveCount())
		rev := w.mustDeclareNext()
		time.Sleep(10 * time.Second)
		must.Eq(t, rev-1, w.hosts[0].Follower.Revision())
		w.SetPartition(nil)
		start := time.Now()
		w.awaitMembers(12)
		t.Logf("zone live again everywhere %.1f s after a partition of 10 minutes", time.Since(start).Seconds())
		// The zone still cannot reach the key-value service; it gets the change from peers.
		_, worst := w.awaitRevision(rev)
		must.LessEq(t, maxApplyTime, worst)
	})
}

func TestWrongSuspicionIsRefuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := newTestMesh(t, ctx, 9)
		w.awaitMembers(9)
		a, b := w.hosts[0], w.hosts[4]
		w.SetPartition(func(x, y *Node) bool { return (x == a && y == b) || (x == b && y == a) })
		// The two suspect each other while they are partitioned. Any other host that learns of a
		// suspicion soon hears from the suspect itself and considers both live again.
		time.Sleep(time.Minute)
		w.SetPartition(nil)
		w.awaitMembers(9)
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
		// A late message of the old incarnation must not make it live again.
		tab.Merge(3, []fleet.Host{old})
		h, _ = tab.Find(2)
		must.True(t, h.Gone)
	})
}

func TestSuspectIsInformed(t *testing.T) {
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
