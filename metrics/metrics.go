// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package metrics

import (
	"container/list"
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Measure is one of the histograms of a series.
type Measure uint8

// The measures, each in microseconds.
const (
	// FirstToken is from arrival to the first token sent to the caller.
	FirstToken Measure = iota
	// InterToken is from one token to the next.
	InterToken
	// QueueWait is from arrival to dispatch.
	QueueWait
	// TotalTime is from arrival to the end of the answer.
	TotalTime
	// ListAge is the age of the list of endpoints as a request was sent by it.
	ListAge
	// ChoiceToSend is from the choice of an endpoint to the sending.
	ChoiceToSend
	measureCount
)

// names are the measures as they are published.
var names = [measureCount]string{"first_token_us", "between_tokens_us", "queue_wait_us", "whole_time_us", "list_age_us", "choice_to_send_us"}

// Bounds of the histograms.
const (
	// DefaultMaxSeries bounds the series of a host beside the "other" ones.
	DefaultMaxSeries = 128
	// maxMicros is the largest time told apart: one hour.
	maxMicros = int64(time.Hour / time.Microsecond)
	// digits is the number of significant digits kept.
	digits = 1
	// Other names the series that idle ones are folded into.
	Other = "other"
)

// Key names a series.
type Key struct {
	// Workspace and Tier are what the series is for.
	Workspace, Tier string
}

// series holds the figures of one workspace and tier.
type series struct {
	key    Key
	counts map[string]int64
	hists  [measureCount]*hdrhistogram.Histogram
	at     *list.Element
}

// Set is all series of a host, safe for concurrent use.
type Set struct {
	// MaxSeries bounds the series; 0 means DefaultSeries.
	MaxSeries int

	mu     sync.Mutex
	series map[Key]*series
	recent list.List
}

// get returns a series and marks it as used; mu must be held.
func (s *Set) get(k Key) *series {
	if s.series == nil {
		s.series = make(map[Key]*series)
	}
	x := s.series[k]
	if x != nil {
		if x.at != nil {
			s.recent.MoveToFront(x.at)
		}
		return x
	}
	x = &series{key: k, counts: make(map[string]int64)}
	s.series[k] = x
	if k.Workspace == Other {
		return x
	}
	x.at = s.recent.PushFront(x)
	limit := s.MaxSeries
	if limit == 0 {
		limit = DefaultMaxSeries
	}
	if s.recent.Len() > limit {
		s.fold(s.recent.Remove(s.recent.Back()).(*series))
	}
	return x
}

// fold adds a series to the "other" one of its tier and drops it; mu must be held.
func (s *Set) fold(x *series) {
	delete(s.series, x.key)
	o := s.get(Key{Other, x.key.Tier})
	for name, n := range x.counts {
		o.counts[name] += n
	}
	for m, h := range x.hists {
		if h != nil {
			o.hist(Measure(m)).Merge(h)
		}
	}
}

// hist returns a histogram, made when it is first used.
func (x *series) hist(m Measure) *hdrhistogram.Histogram {
	if x.hists[m] == nil {
		x.hists[m] = hdrhistogram.New(1, maxMicros, digits)
	}
	return x.hists[m]
}

// Count adds one to a counter, such as an outcome or a kind of refusal.
func (s *Set) Count(k Key, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(k).counts[name]++
}

// Record notes a time in a histogram; times out of range are clamped.
func (s *Set) Record(k Key, m Measure, d time.Duration) {
	us := min(max(d.Microseconds(), 1), maxMicros)
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.get(k).hist(m).RecordValue(us)
}

// Quantiles are what is published of a histogram, in microseconds.
type Quantiles struct {
	// Count is the number of values.
	Count int64 `json:"count"`
	// P50, P95, P99 and Max are read from the histogram, with one significant digit.
	P50 int64 `json:"p50"`
	P95 int64 `json:"p95"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

// Series is what is published of one workspace and tier.
type Series struct {
	// Workspace and Tier name the series.
	Workspace string `json:"workspace"`
	Tier      string `json:"tier"`
	// Counts are the counters by name.
	Counts map[string]int64 `json:"counts"`
	// Times are the histograms by name.
	Times map[string]Quantiles `json:"times"`
}

// Export returns all series, the most recently used first and "other" last.
func (s *Set) Export() []Series {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Series
	for e := s.recent.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(*series).export())
	}
	for k, x := range s.series {
		if k.Workspace == Other {
			out = append(out, x.export())
		}
	}
	return out
}

// export copies a series.
func (x *series) export() Series {
	o := Series{Workspace: x.key.Workspace, Tier: x.key.Tier, Counts: make(map[string]int64), Times: make(map[string]Quantiles)}
	for name, n := range x.counts {
		o.Counts[name] = n
	}
	for m, h := range x.hists {
		if h != nil {
			o.Times[names[m]] = Quantiles{
				Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95),
				P99: h.ValueAtQuantile(99), Max: h.Max(),
			}
		}
	}
	return o
}

// String gives the series as JSON, which makes a Set an expvar.Var.
func (s *Set) String() string {
	b, err := json.Marshal(s.Export())
	if err != nil {
		return "null"
	}
	return string(b)
}
