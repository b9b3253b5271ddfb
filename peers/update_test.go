// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestUpdates applies updates and heartbeats of a host in several orders, and checks that the newest reported
// loads are stored in the end.
func TestUpdates(t *testing.T) {
	two, three, none := Load{Running: 2}, Load{Running: 3}, Load{}
	first := &Heartbeat{Host: "b", Incarnation: 1, Seq: 1, Words: Words{LoadSeq: 1, Load: map[string]Load{"e": two}}}
	second := &Update{Host: "b", Incarnation: 1, LoadSeq: 2, Load: map[string]Load{"f": two}, Waiting: map[string][]int{"s": {1}}}
	third := &Update{Host: "b", Incarnation: 1, LoadSeq: 3, Load: map[string]Load{"e": none, "f": three}}
	full := &Heartbeat{Host: "b", Incarnation: 1, Seq: 2, Words: Words{LoadSeq: 4, Load: map[string]Load{"f": three}}}
	restarted := &Heartbeat{Host: "b", Incarnation: 2, Seq: 1, Words: Words{LoadSeq: 1, Load: map[string]Load{"g": two}}}
	cases := []struct {
		name     string
		received []any
		want     map[string]Load
		waiting  int
	}{
		{"in order", []any{first, second}, map[string]Load{"e": two, "f": two}, 1},
		{"an endpoint that no longer has requests", []any{first, second, third}, map[string]Load{"e": none, "f": three}, 0},
		{"an out-of-order update is ignored", []any{first, third, second}, map[string]Load{"e": none, "f": three}, 0},
		{"an out-of-order heartbeat keeps the loads", []any{first, third, &Heartbeat{Host: "b", Incarnation: 1, Seq: 2, Words: Words{LoadSeq: 2}}}, map[string]Load{"e": none, "f": three}, 0},
		{"a heartbeat makes up for a lost update", []any{first, full}, map[string]Load{"f": three}, 0},
		{"an update of an unknown host", []any{second}, nil, 0},
		{"an update of an ended incarnation", []any{first, restarted, third}, map[string]Load{"g": two}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			table := &Table{Host: "a", Incarnation: 9}
			var copies []Member
			for _, msg := range tc.received {
				switch msg := msg.(type) {
				case *Heartbeat:
					table.ReceiveHeartbeat(time.Second, msg)
				case *Update:
					table.ReceiveUpdate(msg)
				}
				if len(copies) == 0 {
					copies = copyMembers(table.Live(time.Second))
				}
			}
			live := table.Live(time.Second)
			if tc.want == nil {
				must.Len(t, 0, live)
				return
			}
			must.Eq(t, tc.want, live[0].Load)
			sum := 0
			for _, n := range live[0].Waiting["s"] {
				sum += n
			}
			must.EqOp(t, tc.waiting, sum)
			must.Eq(t, first.Load, copies[0].Load) // copies returned earlier are unchanged
		})
	}
}
