// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package outcome

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestLoss(t *testing.T) {
	cases := []struct {
		name  string
		event Event
		want  Loss
	}{
		{"whole and in time", Event{Outcome: Served, ObjectiveMS: 100, FirstEventMS: 100, PauseObjectiveMS: 50, LongestPauseMS: 50, LeftMS: 9}, InTime},
		{"first event late", Event{Outcome: Served, ObjectiveMS: 100, FirstEventMS: 101}, LateFirstEvent},
		{"pause late", Event{Outcome: Served, ObjectiveMS: 100, FirstEventMS: 90, PauseObjectiveMS: 50, LongestPauseMS: 51}, LatePause},
		{"no objective", Event{Outcome: Served, FirstEventMS: 101, LongestPauseMS: 99}, InTime},
		{"amount", Event{Outcome: Refused, Status: 429}, OverQuota},
		{"no place", Event{Outcome: Refused, Status: 503}, NoSlot},
		{"unknown key", Event{Outcome: Refused, Status: 401}, InvalidRequest},
		{"endpoint's own failure", Event{Outcome: EndpointFailed, Status: 500, LeftMS: 900}, EndpointFault},
		{"cut at the deadline", Event{Outcome: Truncated, LeftMS: 0}, DeadlineMissed},
		{"cut before", Event{Outcome: Truncated, LeftMS: 900}, EndpointFault},
		{"caller left at its deadline", Event{Outcome: CallerGone, LeftMS: 5}, DeadlineMissed},
		{"caller left", Event{Outcome: CallerGone, LeftMS: 900}, CallerLeft},
		{"no answer by the deadline", Event{Outcome: Failed, Status: 504, LeftMS: 0}, DeadlineMissed},
		{"answer lost", Event{Outcome: Failed, Status: 502, LeftMS: 900}, EndpointFault},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { must.EqOp(t, tc.want, tc.event.Loss()) })
	}
}

func TestAccount(t *testing.T) {
	var events []Event
	for i := range 20 {
		e := Event{Time: 100 + float64(i)/4, ID: fmt.Sprint(i), Route: "r", Outcome: Served, TokensIn: 100 * (i + 1), ObjectiveMS: 100, FirstEventMS: 10}
		if i >= 18 { // the largest tenth
			e.FirstEventMS = 500
		}
		events = append(events, e)
	}
	events = append(events,
		Event{Time: 101, ID: "lost", Route: "r", Outcome: SendLost},
		Event{Time: 101, ID: "over", Route: "r", Outcome: Refused, Status: 429, TokensIn: 1050},
		Event{Time: 101, ID: "none", Outcome: Refused, Status: 404},
	)
	a := NewLossReport(events, 2*time.Second)
	must.Len(t, 3, a.Routes)
	must.EqOp(t, Largest, a.Routes[0].Band)
	must.EqOp(t, 2, a.Routes[0].Requests)
	must.EqOp(t, 1, a.Routes[0].By[LateFirstEvent])
	must.EqOp(t, 4, a.Routes[1].Requests)
	must.EqOp(t, 14, a.Routes[2].Requests)
	must.EqOp(t, 1, a.Routes[2].By[InTime])
	must.Len(t, 3, a.Windows)
	must.EqOp(t, 9, a.Windows[0].Requests)
	must.EqOp(t, 4*time.Second, a.Windows[2].From)
	// 1,900 and 2,000 tokens of 1,700 to 2,000, at a mean of 1,050.
	late := 2*leastWeight + 0.7*3900/1050
	must.InDelta(t, late/(4*leastWeight+0.7*7400/1050), a.Windows[2].By[LateFirstEvent], 1e-9)
	must.EqOp(t, 0, len(NewLossReport(nil, time.Second).Routes))
}
