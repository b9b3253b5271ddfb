// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package mesh

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/fake"
	"github.com/heathkeel/heathkeel/keyval"
	"github.com/heathkeel/heathkeel/revision"
	"github.com/heathkeel/heathkeel/settings"
)

// cuttableKV is a host's access to the key-value service, which can be cut off.
type cuttableKV struct {
	keyval.KV
	unavailable atomic.Bool
}

// checkAvailable returns an error while the host is cut off.
func (g *cuttableKV) checkAvailable() error {
	if g.unavailable.Load() {
		return keyval.ErrUnavailable
	}
	return nil
}

func (g *cuttableKV) Get(ctx context.Context, key string) (keyval.Item, error) {
	if err := g.checkAvailable(); err != nil {
		return keyval.Item{}, err
	}
	return g.KV.Get(ctx, key)
}

func (g *cuttableKV) Watch(ctx context.Context, key string, after uint64) (keyval.Item, error) {
	if err := g.checkAvailable(); err != nil {
		return keyval.Item{}, err
	}
	return g.KV.Watch(ctx, key, after)
}

// testMesh is a mesh with a key-value service and an operator.
type testMesh struct {
	*Mesh
	t            *testing.T
	ctx          context.Context
	kv           *fake.KV
	kvs          []*cuttableKV
	hosts        []*Node
	lastRevision map[string]uint64 // by host; a lower revision than this is a fault
	changeCount  int
}

// newTestMesh starts n hosts and waits until revision 1 is in force at all of them.
func newTestMesh(t *testing.T, ctx context.Context, n int) *testMesh {
	w := &testMesh{
		Mesh: &Mesh{Latency: time.Millisecond, Zones: []string{"z1", "z2", "z3"}, HostList: &fake.HostList{Lag: time.Second}},
		t:    t, ctx: ctx, kv: &fake.KV{MaxWriteRate: 100, MaxReadRate: 2000}, lastRevision: make(map[string]uint64),
	}
	must.NoError(t, w.declareWorkspace("first", "w0", "1"))
	for range n {
		w.add()
	}
	w.awaitRevision(1)
	w.awaitMembers(n)
	return w
}

// awaitMembers waits until every running host considers n hosts live.
func (w *testMesh) awaitMembers(n int) {
	for range 4000 {
		if !slices.ContainsFunc(w.hosts, func(x *Node) bool { return !x.killed.Load() && x.LiveCount() != n }) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.t.Fatalf("not all hosts consider %d hosts live after 200 s; the first considers %d live", n, w.hosts[0].LiveCount())
}

// add starts a host and adds it to the platform's list at once.
func (w *testMesh) add() *Node {
	g := &cuttableKV{KV: w.kv}
	n := w.Add(w.ctx, g)
	w.kvs = append(w.kvs, g)
	w.hosts = append(w.hosts, n)
	w.HostList.(*fake.HostList).Put(keyval.ListEntry{Name: n.Name, Address: n.Name, Zone: n.Zone})
	return n
}

// weightEdit returns the edits that set a workspace's weight to val. An empty old means that the
// workspace is not declared yet.
func weightEdit(ws, old, val string) []settings.Edit {
	node := "workspaces/" + ws
	if old == "" {
		return []settings.Edit{{Node: node, Added: true}, {Node: node, Key: settings.KeyWeight, New: val, Added: true}}
	}
	return []settings.Edit{{Node: node, Key: settings.KeyWeight, Old: old, New: val}}
}

// declareWorkspace declares a workspace with a weight.
func (w *testMesh) declareWorkspace(id, ws, val string) error {
	st := revision.Store{KV: w.kv}
	ctx, cancel := context.WithTimeout(w.ctx, 2*time.Hour)
	defer cancel()
	_, err := st.Apply(ctx, revision.Change{ID: id, Author: id}, weightEdit(ws, "", val))
	return err
}

// mustDeclareNext declares another workspace and returns the revision that contains it.
func (w *testMesh) mustDeclareNext() uint64 {
	w.changeCount++
	must.NoError(w.t, w.declareWorkspace(fmt.Sprintf("c%d", w.changeCount), fmt.Sprintf("w%d", w.changeCount), "1"))
	st := revision.Store{KV: w.kv}
	for {
		if h, _, err := st.Load(w.ctx); err == nil {
			return h.Revision
		}
		time.Sleep(time.Second)
	}
}

// checkRevisions records every host's revision and fails if one went back.
func (w *testMesh) checkRevisions() {
	for _, n := range w.hosts {
		r := n.Follower.Revision()
		if r < w.lastRevision[n.Name] {
			w.t.Fatalf("%s went back from revision %d to %d", n.Name, w.lastRevision[n.Name], r)
		}
		w.lastRevision[n.Name] = r
	}
}

// awaitRevision waits until all running hosts have a revision and returns how long the median and
// the last one took.
func (w *testMesh) awaitRevision(rev uint64) (median, worst time.Duration) {
	start := time.Now()
	left := slices.Clone(w.hosts)
	var took []time.Duration
	for range 40000 {
		w.checkRevisions()
		left = slices.DeleteFunc(left, func(n *Node) bool {
			done := n.killed.Load() || n.Follower.Revision() >= rev
			if done {
				took = append(took, time.Since(start))
			}
			return done
		})
		if len(left) == 0 {
			return took[len(took)/2], took[len(took)-1]
		}
		time.Sleep(5 * time.Millisecond)
	}
	w.t.Fatalf("%d hosts did not get revision %d within 200 s", len(left), rev)
	return 0, 0
}

// maxApplyTime is the users' objective for a change to be in force at all hosts.
const maxApplyTime = 4 * time.Second

func TestSettingsFaults(t *testing.T) {
	cases := []struct {
		name string
		run  func(w *testMesh) (median, worst time.Duration)
	}{
		{"no fault", func(w *testMesh) (time.Duration, time.Duration) {
			return w.awaitRevision(w.mustDeclareNext())
		}},
		{"KV down for an hour", func(w *testMesh) (time.Duration, time.Duration) {
			w.kv.SetFaults(fake.KVFaults{Down: true})
			done := make(chan uint64, 1)
			go func() { done <- w.mustDeclareNext() }()
			time.Sleep(time.Hour)
			w.checkRevisions()
			w.kv.SetFaults(fake.KVFaults{})
			return w.awaitRevision(<-done)
		}},
		{"KV slow to 5 s", func(w *testMesh) (time.Duration, time.Duration) {
			w.kv.SetFaults(fake.KVFaults{Delay: 5 * time.Second})
			rev := w.mustDeclareNext()
			w.kv.SetFaults(fake.KVFaults{})
			return w.awaitRevision(rev)
		}},
		{"answer lost after the write", func(w *testMesh) (time.Duration, time.Duration) {
			w.kv.SetFaults(fake.KVFaults{LoseAnswer: 3})
			rev := w.mustDeclareNext()
			must.Eq(w.t, 2, rev)
			return w.awaitRevision(rev)
		}},
		{"watch silent without closing", func(w *testMesh) (time.Duration, time.Duration) {
			w.kv.SetFaults(fake.KVFaults{SilentWatch: true})
			return w.awaitRevision(w.mustDeclareNext())
		}},
		{"half the hosts cut off from the KV", func(w *testMesh) (time.Duration, time.Duration) {
			for i, g := range w.kvs {
				g.unavailable.Store(i%2 == 0)
			}
			return w.awaitRevision(w.mustDeclareNext())
		}},
		{"all but one host cut off from the KV", func(w *testMesh) (time.Duration, time.Duration) {
			for i, g := range w.kvs {
				g.unavailable.Store(i != 3)
			}
			return w.awaitRevision(w.mustDeclareNext())
		}},
		{"host started in an outage", func(w *testMesh) (time.Duration, time.Duration) {
			rev := w.mustDeclareNext()
			w.awaitRevision(rev)
			w.kv.SetFaults(fake.KVFaults{Down: true})
			w.add()
			return w.awaitRevision(rev)
		}},
		{"corrupt chunk in the KV", func(w *testMesh) (time.Duration, time.Duration) {
			rev := w.mustDeclareNext()
			w.awaitRevision(rev)
			keys, err := w.kv.Keys(w.ctx, revision.KeyChunk)
			must.NoError(w.t, err)
			for _, k := range keys {
				w.kv.Corrupt(k, []byte("[]"))
			}
			w.add()
			return w.awaitRevision(rev)
		}},
		{"burst of 100 changes", func(w *testMesh) (time.Duration, time.Duration) {
			var rev uint64
			for range 100 {
				rev = w.mustDeclareNext()
			}
			return w.awaitRevision(rev)
		}},
		{"rolling restart in an outage", func(w *testMesh) (time.Duration, time.Duration) {
			rev := w.mustDeclareNext()
			w.awaitRevision(rev)
			w.kv.SetFaults(fake.KVFaults{Down: true})
			for i := range 7 {
				w.hosts[i].Kill()
				w.add()
				w.awaitRevision(rev)
			}
			return w.awaitRevision(rev)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				w := newTestMesh(t, ctx, 7)
				median, worst := c.run(w)
				w.checkRevisions()
				must.LessEq(t, maxApplyTime, worst)
				t.Logf("in force: median %.2f s, worst %.2f s", median.Seconds(), worst.Seconds())
			})
		})
	}
}

func TestTenOperatorsRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := newTestMesh(t, ctx, 3)
		accepted := make(chan string, 10000)
		for op := range 10 {
			go func() {
				end := time.Now().Add(time.Minute)
				for i := 0; time.Now().Before(end); i++ {
					ws := fmt.Sprintf("op%d-%d", op, i)
					if w.declareWorkspace(ws, ws, "2") == nil {
						accepted <- ws
					}
				}
			}()
		}
		time.Sleep(90 * time.Second)
		st := revision.Store{KV: w.kv}
		h, d, err := st.Load(ctx)
		must.NoError(t, err)
		n := 0
		for len(accepted) > 0 {
			_, ok := d.Find("workspaces/"+<-accepted, "")
			must.True(t, ok)
			n++
		}
		must.Eq(t, uint64(n+1), h.Revision)
		w.awaitRevision(h.Revision)
		keys, err := w.kv.Keys(ctx, revision.KeyChunk)
		must.NoError(t, err)
		t.Logf("%d changes accepted in 60 s, %d chunks left in the key-value service", n, len(keys))
	})
}

func TestConflictNamesBothChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &fake.KV{}
		st := revision.Store{KV: kv}
		ctx := t.Context()
		_, err := st.Apply(ctx, revision.Change{ID: "base", Author: "x"}, weightEdit("a", "", "1"))
		must.NoError(t, err)
		_, err = st.Apply(ctx, revision.Change{ID: "hers", Author: "her"}, weightEdit("a", "1", "2"))
		must.NoError(t, err)
		_, err = st.Apply(ctx, revision.Change{ID: "his", Author: "him"}, weightEdit("a", "1", "3"))
		var c *revision.ConflictError
		must.True(t, errors.As(err, &c))
		must.StrContains(t, c.Error(), "his")
		must.StrContains(t, c.Error(), "hers by her (revision 2)")
		must.Eq(t, []string{"workspaces/a:weight"}, c.Paths)
	})
}

// pausingKV runs a function between a writer's read of the head and its write.
type pausingKV struct {
	keyval.KV
	pause func()
}

func (p *pausingKV) Swap(ctx context.Context, key string, version uint64, value []byte, l keyval.Lease) (uint64, error) {
	if key == revision.KeyHead && p.pause != nil {
		pause := p.pause
		p.pause = nil
		pause()
	}
	return p.KV.Swap(ctx, key, version, value, l)
}

func TestPausedWriterDoesNotUndo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &fake.KV{}
		ctx := t.Context()
		other := revision.Store{KV: kv}
		p := &pausingKV{KV: kv, pause: func() {
			// During the pause others make enough changes that old chunks are deleted.
			for i := range 40 {
				_, err := other.Apply(ctx, revision.Change{ID: fmt.Sprint("o", i)}, weightEdit(fmt.Sprint("o", i), "", "1"))
				must.NoError(t, err)
			}
		}}
		st := revision.Store{KV: p}
		_, err := st.Apply(ctx, revision.Change{ID: "slow"}, weightEdit("slow", "", "1"))
		must.NoError(t, err)
		h, d, err := other.Load(ctx)
		must.NoError(t, err)
		must.Eq(t, 41, h.Revision)
		for i := range 40 {
			_, ok := d.Find("workspaces/"+fmt.Sprint("o", i), "")
			must.True(t, ok)
		}
		_, err = st.Apply(ctx, revision.Change{ID: "slow"}, weightEdit("slow", "", "1"))
		must.NoError(t, err)
		h, _, _ = other.Load(ctx)
		must.Eq(t, 41, h.Revision)
	})
}
