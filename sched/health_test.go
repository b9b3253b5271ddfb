// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/outlier"
	"github.com/heathkeel/heathkeel/settings"
)

// TestFailingEndpoints lets some of four engines fail and tells which get further requests.
func TestFailingEndpoints(t *testing.T) {
	const n = 4
	refused, lost := outlier.Unreachable, outlier.Unanswered
	cases := []struct {
		name    string
		failing []int
		how     outlier.Failure
		times   int
		repeat  bool // the requests that follow may be repeated
		after   time.Duration
		want    []int
	}{
		{"none", nil, lost, 0, false, 0, []int{0, 1, 2, 3}},
		{"one is not reached", []int{0}, refused, 1, true, 0, []int{1, 2, 3}},
		{"one loses two answers", []int{0}, lost, 2, true, 0, []int{1, 2, 3}},
		{"two are not reached", []int{0, 1}, refused, 1, true, 0, []int{2, 3}},
		{"three are not reached, and the fourth has room", []int{0, 1, 2}, refused, 1, false, 0, []int{3}},
		{"all are not reached: all are tried", []int{0, 1, 2, 3}, refused, 1, false, 0, []int{0, 1, 2, 3}},
		{"after its time, requests that may be repeated try it", []int{0}, refused, 1, true, 2 * time.Second, []int{0, 1, 2, 3}},
		{"but not those that may not", []int{0}, refused, 1, false, 2 * time.Second, []int{1, 2, 3}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := &Scheduler{Rand: rand.New(rand.NewPCG(1, 1)), SharingHosts: 1}
			s.Init()
			var list []Endpoint
			for i := range n {
				list = append(list, Endpoint{Name: fmt.Sprint("e", i), Engine: true, Slots: 8})
			}
			s.SetEndpoints(list)
			for _, e := range list {
				s.ApplyReport(0, e.Name, Report{Slots: 8, Step: 5 * time.Millisecond, Model: "m", AcceptsPrompts: true, Estimated: true})
			}
			request := func(now time.Duration) *Request {
				return &Request{
					Settings: &settings.Effective{Workspace: "w", Service: "s", Weight: 1, MaxQueued: 100, Repeatable: tc.repeat}, Model: "m",
					PromptTokens: 100, MaxTokens: 20, ExpectedTokens: 20, Arrived: now, Deadline: now + 10*time.Second, Objective: Objective{FirstToken: time.Second},
				}
			}
			first := request(0)
			must.EqOp(t, Run, s.Submit(0, first).Verdict)
			s.Done(0, first, Canceled, 0)
			for _, i := range tc.failing {
				for range tc.times {
					r := request(0)
					r.at = s.byName[fmt.Sprint("e", i)]
					s.Failed(0, r, tc.how)
				}
			}
			s.Tick(tc.after)
			got := make(map[string]bool)
			for range 100 {
				r := request(tc.after)
				d := s.Submit(tc.after, r)
				must.EqOp(t, Run, d.Verdict)
				got[d.Endpoint] = true
				s.Done(tc.after, r, Canceled, 0)
			}
			want := make(map[string]bool)
			for _, i := range tc.want {
				want[fmt.Sprint("e", i)] = true
			}
			must.Eq(t, want, got)
		})
	}
}
