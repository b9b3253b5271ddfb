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

// gap is a key-value service that one host may be cut off from.
type gap struct {
	keyval.KV
	cut atomic.Bool
}

// errCut means that the host is cut off.
func (g *gap) err() error {
	if g.cut.Load() {
		return keyval.ErrUnavailable
	}
	return nil
}

func (g *gap) Get(ctx context.Context, key string) (keyval.Item, error) {
	if err := g.err(); err != nil {
		return keyval.Item{}, err
	}
	return g.KV.Get(ctx, key)
}

func (g *gap) Watch(ctx context.Context, key string, after uint64) (keyval.Item, error) {
	if err := g.err(); err != nil {
		return keyval.Item{}, err
	}
	return g.KV.Watch(ctx, key, after)
}

// world is a mesh with a key-value service and an operator.
type world struct {
	*Mesh
	t      *testing.T
	ctx    context.Context
	kv     *fake.KV
	gaps   []*gap
	all    []*Node
	lowest map[string]uint64 // highest revision seen at each host, to catch a step back
	next   int
}

// newWorld starts n hosts with revision 1 in force everywhere.
func newWorld(t *testing.T, ctx context.Context, n int) *world {
	w := &world{
		Mesh: &Mesh{Latency: time.Millisecond, Zones: []string{"z1", "z2", "z3"}, HostList: &fake.HostList{Lag: time.Second}},
		t:    t, ctx: ctx, kv: &fake.KV{MaxWriteRate: 100, MaxReadRate: 2000}, lowest: make(map[string]uint64),
	}
	must.NoError(t, w.apply("first", "w0", "1"))
	for range n {
		w.add()
	}
	w.untilAll(1)
	w.untilKnown(n)
	return w
}

// untilKnown waits until every living host would name n hosts.
func (w *world) untilKnown(n int) {
	for range 4000 {
		if !slices.ContainsFunc(w.all, func(x *Node) bool { return !x.dead.Load() && x.LiveCount() != n }) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.t.Fatalf("not all hosts ever knew %d hosts; the first knows %d", n, w.all[0].LiveCount())
}

// add starts a host that the platform's list shows at once.
func (w *world) add() *Node {
	g := &gap{KV: w.kv}
	n := w.Add(w.ctx, g)
	w.gaps = append(w.gaps, g)
	w.all = append(w.all, n)
	w.HostList.(*fake.HostList).Put(keyval.ListEntry{Name: n.Name, Address: n.Name, Zone: n.Zone})
	return n
}

// edit makes a change of one workspace's weight against a tree without it or with old.
func edit(ws, old, val string) []settings.Edit {
	node := "workspaces/" + ws
	if old == "" {
		return []settings.Edit{{Node: node, Added: true}, {Node: node, Key: settings.KeyWeight, New: val, Added: true}}
	}
	return []settings.Edit{{Node: node, Key: settings.KeyWeight, Old: old, New: val}}
}

// apply declares a workspace.
func (w *world) apply(id, ws, val string) error {
	st := revision.Store{KV: w.kv}
	ctx, cancel := context.WithTimeout(w.ctx, 2*time.Hour)
	defer cancel()
	_, err := st.Apply(ctx, revision.Change{ID: id, Author: id}, edit(ws, "", val))
	return err
}

// mustApply declares a fresh workspace and returns the revision.
func (w *world) mustApply() uint64 {
	w.next++
	must.NoError(w.t, w.apply(fmt.Sprintf("c%d", w.next), fmt.Sprintf("w%d", w.next), "1"))
	st := revision.Store{KV: w.kv}
	for {
		if h, _, err := st.Load(w.ctx); err == nil {
			return h.Revision
		}
		time.Sleep(time.Second)
	}
}

// look notes every host's revision and fails if one went back.
func (w *world) look() {
	for _, n := range w.all {
		r := n.Follower.Revision()
		if r < w.lowest[n.Name] {
			w.t.Fatalf("%s went back from %d to %d", n.Name, w.lowest[n.Name], r)
		}
		w.lowest[n.Name] = r
	}
}

// untilAll waits until all living hosts have a revision and returns how long the median
// and the last one took.
func (w *world) untilAll(rev uint64) (median, worst time.Duration) {
	start := time.Now()
	left := slices.Clone(w.all)
	var took []time.Duration
	for range 40000 {
		w.look()
		left = slices.DeleteFunc(left, func(n *Node) bool {
			done := n.dead.Load() || n.Follower.Revision() >= rev
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
	w.t.Fatalf("%d hosts never had revision %d", len(left), rev)
	return 0, 0
}

// inForceIn is the users' aim.
const inForceIn = 4 * time.Second

func TestSettingsFaults(t *testing.T) {
	cases := []struct {
		name string
		run  func(w *world) (median, worst time.Duration)
	}{
		{"no fault", func(w *world) (time.Duration, time.Duration) {
			return w.untilAll(w.mustApply())
		}},
		{"KV down for an hour", func(w *world) (time.Duration, time.Duration) {
			w.kv.SetFaults(fake.KVFaults{Down: true})
			done := make(chan uint64, 1)
			go func() { done <- w.mustApply() }()
			time.Sleep(time.Hour)
			w.look()
			w.kv.SetFaults(fake.KVFaults{})
			return w.untilAll(<-done)
		}},
		{"KV slow to 5 s", func(w *world) (time.Duration, time.Duration) {
			w.kv.SetFaults(fake.KVFaults{Delay: 5 * time.Second})
			rev := w.mustApply()
			w.kv.SetFaults(fake.KVFaults{})
			return w.untilAll(rev)
		}},
		{"answer lost after the write", func(w *world) (time.Duration, time.Duration) {
			w.kv.SetFaults(fake.KVFaults{LoseAnswer: 3})
			rev := w.mustApply()
			must.Eq(w.t, 2, rev)
			return w.untilAll(rev)
		}},
		{"watch silent without closing", func(w *world) (time.Duration, time.Duration) {
			w.kv.SetFaults(fake.KVFaults{SilentWatch: true})
			return w.untilAll(w.mustApply())
		}},
		{"half the hosts cut off from the KV", func(w *world) (time.Duration, time.Duration) {
			for i, g := range w.gaps {
				g.cut.Store(i%2 == 0)
			}
			return w.untilAll(w.mustApply())
		}},
		{"all but one host cut off from the KV", func(w *world) (time.Duration, time.Duration) {
			for i, g := range w.gaps {
				g.cut.Store(i != 3)
			}
			return w.untilAll(w.mustApply())
		}},
		{"host born in an outage", func(w *world) (time.Duration, time.Duration) {
			rev := w.mustApply()
			w.untilAll(rev)
			w.kv.SetFaults(fake.KVFaults{Down: true})
			w.add()
			return w.untilAll(rev)
		}},
		{"corrupt chunk in the KV", func(w *world) (time.Duration, time.Duration) {
			rev := w.mustApply()
			w.untilAll(rev)
			keys, err := w.kv.Keys(w.ctx, revision.KeyChunk)
			must.NoError(w.t, err)
			for _, k := range keys {
				w.kv.Corrupt(k, []byte("[]"))
			}
			w.add()
			return w.untilAll(rev)
		}},
		{"burst of 100 changes", func(w *world) (time.Duration, time.Duration) {
			var rev uint64
			for range 100 {
				rev = w.mustApply()
			}
			return w.untilAll(rev)
		}},
		{"rolling restart in an outage", func(w *world) (time.Duration, time.Duration) {
			rev := w.mustApply()
			w.untilAll(rev)
			w.kv.SetFaults(fake.KVFaults{Down: true})
			for i := range 7 {
				w.all[i].Kill()
				w.add()
				w.untilAll(rev)
			}
			return w.untilAll(rev)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				w := newWorld(t, ctx, 7)
				median, worst := c.run(w)
				w.look()
				must.LessEq(t, inForceIn, worst)
				t.Logf("in force: median %.2f s, worst %.2f s", median.Seconds(), worst.Seconds())
			})
		})
	}
}

func TestTenOperatorsRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := newWorld(t, ctx, 3)
		accepted := make(chan string, 10000)
		for op := range 10 {
			go func() {
				end := time.Now().Add(time.Minute)
				for i := 0; time.Now().Before(end); i++ {
					ws := fmt.Sprintf("op%d-%d", op, i)
					if w.apply(ws, ws, "2") == nil {
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
		w.untilAll(h.Revision)
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
		_, err := st.Apply(ctx, revision.Change{ID: "base", Author: "x"}, edit("a", "", "1"))
		must.NoError(t, err)
		_, err = st.Apply(ctx, revision.Change{ID: "hers", Author: "her"}, edit("a", "1", "2"))
		must.NoError(t, err)
		_, err = st.Apply(ctx, revision.Change{ID: "his", Author: "him"}, edit("a", "1", "3"))
		var c *revision.ConflictError
		must.True(t, errors.As(err, &c))
		must.StrContains(t, c.Error(), "his")
		must.StrContains(t, c.Error(), "hers by her (revision 2)")
		must.Eq(t, []string{"workspaces/a:weight"}, c.Paths)
	})
}

// pausingKV pauses the writer between its read of the head and its write.
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
			// While it pauses, others change and change back, and old chunks are deleted.
			for i := range 40 {
				_, err := other.Apply(ctx, revision.Change{ID: fmt.Sprint("o", i)}, edit(fmt.Sprint("o", i), "", "1"))
				must.NoError(t, err)
			}
		}}
		st := revision.Store{KV: p}
		_, err := st.Apply(ctx, revision.Change{ID: "slow"}, edit("slow", "", "1"))
		must.NoError(t, err)
		h, d, err := other.Load(ctx)
		must.NoError(t, err)
		must.Eq(t, 41, h.Revision)
		for i := range 40 {
			_, ok := d.Find("workspaces/"+fmt.Sprint("o", i), "")
			must.True(t, ok)
		}
		_, err = st.Apply(ctx, revision.Change{ID: "slow"}, edit("slow", "", "1"))
		must.NoError(t, err)
		h, _, _ = other.Load(ctx)
		must.Eq(t, 41, h.Revision)
	})
}
