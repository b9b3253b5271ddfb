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

// Measure identifies one of the histograms of a series.
type Measure uint8

// The measures, each in microseconds.
const (
	// FirstToken is the time from arrival to the first token sent to the caller.
	FirstToken Measure = iota
	// InterToken is the time from one token to the next.
	InterToken
	// QueueWait is the time from arrival to dispatch.
	QueueWait
	// TotalTime is the time from arrival to the end of the answer.
	TotalTime
	// ListAge is the age of the list of endpoints at the time a request is sent by it.
	ListAge
	// ChoiceToSend is the time from the choice of an endpoint to the send.
	ChoiceToSend
	measureCount
)

// publishedNames are the names under which the measures are published.
var publishedNames = [measureCount]string{"first_token_us", "between_tokens_us", "queue_wait_us", "whole_time_us", "list_age_us", "choice_to_send_us"}

// Limits of the series and histograms.
const (
	// DefaultMaxSeries is the default limit of the series of a host, not counting the "other" ones.
	DefaultMaxSeries = 128
	// maxMicroseconds is the largest time that a histogram distinguishes: one hour.
	maxMicroseconds = int64(time.Hour / time.Microsecond)
	// significantDigits is the number of decimal digits to which a histogram resolves values.
	significantDigits = 1
	// Other is the workspace name of the series into which idle ones are merged.
	Other = "other"
)

// Key identifies a series.
type Key struct {
	// Workspace and Tier are the names of the workspace and the tier.
	Workspace, Tier string
}

// series holds the counters and histograms of one workspace and tier.
type series struct {
	key           Key
	counts        map[string]int64
	histograms    [measureCount]*hdrhistogram.Histogram
	recentElement *list.Element
}

// Set holds all series of a host. It is safe for concurrent use.
type Set struct {
	// MaxSeries limits the number of series; 0 means DefaultMaxSeries.
	MaxSeries int

	mu     sync.Mutex
	series map[Key]*series
	recent list.List
}

// seriesFor returns the series of a key, created if there is none, and marks it as the
// most recently used. mu must be held.
func (s *Set) seriesFor(k Key) *series {
	if s.series == nil {
		s.series = make(map[Key]*series)
	}
	x := s.series[k]
	if x != nil {
		if x.recentElement != nil {
			s.recent.MoveToFront(x.recentElement)
		}
		return x
	}
	x = &series{key: k, counts: make(map[string]int64)}
	s.series[k] = x
	if k.Workspace == Other {
		return x
	}
	x.recentElement = s.recent.PushFront(x)
	limit := s.MaxSeries
	if limit == 0 {
		limit = DefaultMaxSeries
	}
	if s.recent.Len() > limit {
		s.mergeIntoOther(s.recent.Remove(s.recent.Back()).(*series))
	}
	return x
}

// mergeIntoOther merges a series into the "other" one of its tier and removes it. mu must be held.
func (s *Set) mergeIntoOther(x *series) {
	delete(s.series, x.key)
	other := s.seriesFor(Key{Other, x.key.Tier})
	for name, n := range x.counts {
		other.counts[name] += n
	}
	for m, h := range x.histograms {
		if h != nil {
			other.histogram(Measure(m)).Merge(h)
		}
	}
}

// histogram returns the histogram of a measure, created on first use.
func (x *series) histogram(m Measure) *hdrhistogram.Histogram {
	if x.histograms[m] == nil {
		x.histograms[m] = hdrhistogram.New(1, maxMicroseconds, significantDigits)
	}
	return x.histograms[m]
}

// Count increments a counter, such as that of an outcome or a kind of refusal.
func (s *Set) Count(k Key, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seriesFor(k).counts[name]++
}

// Record adds a time to a histogram. It clamps times out of range.
func (s *Set) Record(k Key, m Measure, d time.Duration) {
	us := min(max(d.Microseconds(), 1), maxMicroseconds)
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.seriesFor(k).histogram(m).RecordValue(us)
}

// Quantiles is the published form of a histogram, in microseconds.
type Quantiles struct {
	// Count is the number of recorded times.
	Count int64 `json:"count"`
	// P50, P95, P99 and Max are the percentiles and the maximum, with one significant digit.
	P50 int64 `json:"p50"`
	P95 int64 `json:"p95"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

// Series is the published form of the series of one workspace and tier.
type Series struct {
	// Workspace and Tier identify the series.
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

// export returns the published form of a series.
func (x *series) export() Series {
	exported := Series{Workspace: x.key.Workspace, Tier: x.key.Tier, Counts: make(map[string]int64), Times: make(map[string]Quantiles)}
	for name, n := range x.counts {
		exported.Counts[name] = n
	}
	for m, h := range x.histograms {
		if h != nil {
			exported.Times[publishedNames[m]] = Quantiles{
				Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95),
				P99: h.ValueAtQuantile(99), Max: h.Max(),
			}
		}
	}
	return exported
}

// String returns the series as JSON, so that a Set is an expvar.Var.
func (s *Set) String() string {
	b, err := json.Marshal(s.Export())
	if err != nil {
		return "null"
	}
	return string(b)
}
