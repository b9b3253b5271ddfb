// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package once

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"
)

func testID(unique string) ID { return ID{Prefix{1, 1, 2, 1}, unique} }

func TestOwnerVerdicts(t *testing.T) {
	cases := []struct {
		name string
		id   ID
		prep func(*Owner)
		want Verdict
	}{
		{"first", testID("a"), func(*Owner) {}, New},
		{"again", testID("a"), func(o *Owner) { o.Accept(testID("a")) }, Known},
		{"after a question", testID("a"), func(o *Owner) { o.Query(testID("a")) }, Known},
		{"other incarnation", ID{Prefix{9, 1, 2, 1}, "a"}, func(*Owner) {}, NotOwner},
		{"future generation", ID{Prefix{1, 2, 2, 1}, "a"}, func(*Owner) {}, Forged},
		{"old generation", testID("a"), func(o *Owner) { o.Advance(); o.Advance() }, Expired},
		{"full", testID("c"), func(o *Owner) { o.Accept(testID("a")); o.Accept(testID("b")) }, Full},
		{"sealed since it was full", testID("c"), func(o *Owner) {
			a, _ := o.Accept(testID("a"))
			o.Accept(testID("b"))
			o.Accept(testID("c"))
			must.NoError(t, o.Refuse(a))
			o.records.size = 0
		}, Full},
	}
	for _, c := range cases {
		o := NewOwner(1, 2, 2)
		c.prep(o)
		_, v := o.Accept(c.id)
		must.Eq(t, c.want, v, must.Sprint(c.name))
	}
}

func TestOwnerKeepsLiveRecords(t *testing.T) {
	o := NewOwner(1, 2, 0)
	long := ID{Prefix{1, 1, 0, 0}, "long"}
	r, _ := o.Accept(long)
	must.NoError(t, o.Dispatch(r, "e"))
	for range 5 {
		o.Advance()
	}
	_, v := o.Query(long)
	must.Eq(t, Known, v)
	must.NoError(t, o.Finish(r, true))
	o.Advance()
	_, v = o.Query(long)
	must.Eq(t, Expired, v)
	must.Zero(t, o.Size())
}

func TestAnIDThatNamesAWitnessIsRecorded(t *testing.T) {
	o := NewOwner(1, 0, 0)
	r, _ := o.Accept(testID("a"))
	must.Error(t, o.Dispatch(r, "e"))
	_, err := o.BeginRecord(r, "e")
	must.NoError(t, err)
	must.Error(t, o.Dispatch(r, "e"))
	o.Acknowledge(r, AckRecorded)
	must.NoError(t, o.Dispatch(r, "e"))
}

func TestWitnessHandover(t *testing.T) {
	w := NewWitness(2, 0, 0)
	must.Eq(t, AckRecorded, w.Record(RecordRequest{testID("a"), "e"}))
	f, _ := w.Close(testID("closed"))
	must.Eq(t, FindingNotRun, f)
	c, err := NewWitnessCopy(w.PrepareHandover(), 0, 0)
	must.NoError(t, err)
	cases := []struct {
		unique string
		want   Finding
	}{{"a", FindingRecorded}, {"closed", FindingNotRun}, {"never", FindingNotRun}}
	for _, x := range cases {
		f, _ := c.Close(testID(x.unique))
		must.Eq(t, x.want, f, must.Sprint(x.unique))
		must.Eq(t, x.want == FindingRecorded, w.Record(RecordRequest{testID(x.unique), "e"}) == AckRecorded, must.Sprint(x.unique))
	}
	w.Advance()
	late := ID{Prefix{1, 1, 2, 2}, "late"}
	must.Eq(t, AckFull, w.Record(RecordRequest{late, "e"}))
}

// BenchmarkWitnessMemory gives the bytes that one recorded ID takes.
func BenchmarkWitnessMemory(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("ids=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				w := NewWitness(2, 0, n+1)
				for i := range n {
					w.Record(RecordRequest{testID(fmt.Sprintf("%026d", i)), "runner-01"})
				}
				b.ReportMetric(float64(heap()-before)/float64(n), "B/id")
				runtime.KeepAlive(w)
			}
		})
	}
}

// BenchmarkOwnerMemory gives the bytes that one owned ID takes.
func BenchmarkOwnerMemory(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("ids=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				o := NewOwner(1, 0, n+1)
				for i := range n {
					r, _ := o.Accept(ID{Prefix{1, 1, 0, 0}, fmt.Sprintf("%026d", i)})
					_ = o.Dispatch(r, "runner-01")
					_ = o.Finish(r, true)
				}
				b.ReportMetric(float64(heap()-before)/float64(n), "B/id")
				runtime.KeepAlive(o)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkRecord gives the time of one record at a witness that holds n.
func BenchmarkRecord(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("held=%d", n), func(b *testing.B) {
			w := NewWitness(2, 0, 1<<30)
			for i := range n {
				w.Record(RecordRequest{testID(fmt.Sprintf("%026d", i)), "runner-01"})
			}
			q := RecordRequest{testID("again"), "runner-01"}
			b.ReportAllocs()
			for b.Loop() {
				w.Record(q)
			}
		})
	}
}
