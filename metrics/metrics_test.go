// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package metrics

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestSeriesAreBoundedAndLoseNothing(t *testing.T) {
	s := &Set{MaxSeries: 10}
	const n = 8300
	for i := range n {
		k := Key{fmt.Sprint("w", i), "normal"}
		s.Count(k, "answered")
		s.Record(k, FirstToken, time.Duration(i)*time.Microsecond)
	}
	all := s.Export()
	must.Len(t, 11, all)
	var count, times int64
	for _, x := range all {
		count += x.Counts["answered"]
		times += x.Times["first_token_us"].Count
	}
	must.Eq(t, n, count)
	must.Eq(t, n, times)
	must.Eq(t, Other, all[10].Workspace)
	must.Eq(t, fmt.Sprint("w", n-1), all[0].Workspace)
}

func TestExpvarForm(t *testing.T) {
	s := &Set{}
	s.Record(Key{"w", "urgent"}, TotalTime, 3*time.Hour)
	var out []Series
	must.NoError(t, json.Unmarshal([]byte(s.String()), &out))
	must.Eq(t, 1, out[0].Times["whole_time_us"].Count)
}

func BenchmarkRecord(b *testing.B) {
	for _, n := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("series=%d", n), func(b *testing.B) {
			s := &Set{}
			keys := make([]Key, n)
			for i := range keys {
				keys[i] = Key{fmt.Sprint("w", i), "normal"}
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				s.Record(keys[i%n], InterToken, time.Duration(i%5000)*time.Microsecond)
			}
		})
	}
}

// BenchmarkMemory gives the bytes that one series with all its histograms takes.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("series=%d", n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := &Set{MaxSeries: n}
				for i := range n {
					for m := range measureCount {
						s.Record(Key{fmt.Sprint("w", i), "normal"}, m, time.Millisecond)
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/series")
				runtime.KeepAlive(s)
			}
		})
	}
}
