// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package revision

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/fake"
	"github.com/heathkeel/heathkeel/keyval"
	"github.com/heathkeel/heathkeel/settings"
)

// declarationOf returns a declaration of n workspaces with three services each.
func declarationOf(n int) settings.Declaration {
	d := settings.Declaration{{Node: "", Key: settings.KeyTiers, Value: "urgent,normal,patient"}}
	for i := range n {
		ws := fmt.Sprintf("workspaces/ws-%05d", i)
		d = append(d, settings.Entry{Node: ws}, settings.Entry{Node: ws, Key: settings.KeyWeight, Value: "2"})
		for _, s := range []string{"a", "b", "c"} {
			node := ws + "/services/" + s
			d = append(d, settings.Entry{Node: node}, settings.Entry{Node: node, Key: settings.KeyDeadline, Value: "5s"})
		}
	}
	return d.Sorted()
}

// countingKV counts bytes and calls to a key-value service.
type countingKV struct {
	keyval.KV
	calls, bytes int
}

func (c *countingKV) Get(ctx context.Context, key string) (keyval.Item, error) {
	it, err := c.KV.Get(ctx, key)
	c.calls++
	c.bytes += len(it.Value)
	return it, err
}

func (c *countingKV) Swap(ctx context.Context, key string, v uint64, b []byte, l keyval.Lease) (uint64, error) {
	c.calls++
	c.bytes += len(b)
	return c.KV.Swap(ctx, key, v, b, l)
}

// BenchmarkChange measures what a change of one key costs a host that reads it from the key-value
// service, and what it costs the operator who makes it.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{5, 500, 8300} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			ctx := context.Background()
			kv := &fake.KV{}
			writer := &countingKV{KV: kv}
			st := Store{KV: writer}
			_, err := st.Apply(ctx, Change{ID: "first"}, settings.Diff(nil, declarationOf(n)))
			must.NoError(b, err)
			reader := &countingKV{KV: kv}
			f := &Follower{KV: reader, Log: logr.Discard()}
			_, err = f.read(ctx)
			must.NoError(b, err)
			loaded := reader.bytes
			*reader, *writer = countingKV{KV: kv}, countingKV{KV: kv}
			node, old, i := "workspaces/ws-00003", "2", 0
			for b.Loop() {
				b.StopTimer()
				i++
				val := fmt.Sprint(2 + i%7)
				if val == old {
					continue
				}
				_, err := st.Apply(ctx, Change{ID: fmt.Sprint(i)}, []settings.Edit{{Node: node, Key: settings.KeyWeight, Old: old, New: val}})
				must.NoError(b, err)
				old = val
				b.StartTimer()
				_, err = f.read(ctx)
				must.NoError(b, err)
			}
			applied := float64(f.Counts().FromKV - 1)
			b.ReportMetric(float64(reader.bytes)/applied, "B/change")
			b.ReportMetric(float64(reader.calls)/applied, "calls/change")
			b.ReportMetric(float64(writer.calls)/applied, "operator-calls/change")
			b.ReportMetric(float64(loaded), "B/load")
			b.ReportMetric(compressedSize(f, node), "compressed-B/change")
		})
	}
}

// compressedSize is the number of bytes that a peer sends for a change: the head and the chunk of a
// node, compressed.
func compressedSize(f *Follower, node string) float64 {
	n := gzipSize(f.rawHead)
	for _, ref := range f.head.Chunks {
		if ref.Shard == shardOf(settings.Entry{Node: node}) {
			n += gzipSize(f.chunks[ref.Digest])
		}
	}
	return float64(n)
}

// gzipSize is the compressed length of content.
func gzipSize(b []byte) int {
	var buf bytes.Buffer
	z := gzip.NewWriter(&buf)
	_, _ = z.Write(b)
	_ = z.Close()
	return buf.Len()
}

// BenchmarkMemory measures the memory that the settings in force take on a host.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{5, 500, 8300} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			ctx := context.Background()
			kv := &fake.KV{}
			st := Store{KV: kv}
			_, err := st.Apply(ctx, Change{ID: "first"}, settings.Diff(nil, declarationOf(n)))
			must.NoError(b, err)
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				f := &Follower{KV: kv, Log: logr.Discard()}
				_, err := f.read(ctx)
				must.NoError(b, err)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
				runtime.KeepAlive(f)
			}
		})
	}
}

// stalePeer is a peer that serves an older revision than it announced.
type stalePeer struct{ raw []byte }

func (p stalePeer) Head(context.Context, string) ([]byte, error) { return p.raw, nil }
func (p stalePeer) Chunk(context.Context, string, string) ([]byte, error) {
	return nil, ErrIncomplete
}

func TestStalePeerChangesNothing(t *testing.T) {
	ctx := t.Context()
	kv := &fake.KV{}
	st := Store{KV: kv}
	_, err := st.Apply(ctx, Change{ID: "1"}, settings.Diff(nil, declarationOf(3)))
	must.NoError(t, err)
	it, err := kv.Get(ctx, KeyHead)
	must.NoError(t, err)
	_, err = st.Apply(ctx, Change{ID: "2"}, []settings.Edit{{Node: "workspaces/ws-00001", Key: settings.KeyWeight, Old: "2", New: "3"}})
	must.NoError(t, err)
	f := &Follower{KV: kv, Peers: stalePeer{it.Value}, Log: logr.Discard()}
	_, err = f.read(ctx)
	must.NoError(t, err)
	// The peer announces revision 9 and serves revision 1.
	must.NoError(t, f.Pull(ctx, 9, "peer"))
	must.Eq(t, 2, f.Revision())
	must.Eq(t, 9, f.HighestSeen())
	// Unreadable content is refused, and the revision in force stays.
	f.Peers = stalePeer{[]byte("{")}
	must.Error(t, f.Pull(ctx, 10, "peer"))
	must.Eq(t, 2, f.Revision())
	must.Positive(t, f.Counts().Refused)
}
