// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestCheck(t *testing.T) {
	cases := []struct {
		name   string
		modify func(d *Document)
		// want must occur in the only fault; empty means no fault.
		want string
	}{
		{"valid", func(*Document) {}, ""},
		{"no routes", func(d *Document) { d.Routes = nil }, ""},
		{"route without name", func(d *Document) { d.Routes[0].Name = "" }, "no name"},
		{"two routes with the same name", func(d *Document) { d.Routes[1].Name = "ask" }, "name is used twice"},
		{"no host", func(d *Document) { d.Routes[0].Host = "" }, "no host"},
		{"prefix without slash", func(d *Document) { d.Routes[0].Prefix = "/ask" }, "begin and end it with a slash"},
		{"two routes with the same prefix", func(d *Document) { d.Routes[1].Prefix = "/ask/" }, "same host and prefix"},
		{"unknown service", func(d *Document) { d.Routes[0].Targets[0].Service = "gone" }, `service "gone" is not declared`},
		{"no service", func(d *Document) { d.Routes[0].Targets = nil }, "no service gets"},
		{"weight below 0", func(d *Document) {
			d.Routes[0].Targets = append(d.Routes[0].Targets, Target{Service: "plain", Weight: -1})
		}, "weight below 0"},
		{"weights of 0", func(d *Document) { d.Routes[0].Targets[0].Weight = 0 }, "no service gets"},
		{"negative timeout", func(d *Document) { d.Routes[0].Timeout = -1 }, "below 0"},
		{"objective beyond the timeout", func(d *Document) { d.Routes[0].Objective = time.Minute }, "longer than its timeout"},
		{"resumable but not a stream", func(d *Document) { d.Routes[0].Resumable = true }, "not a stream"},
		{"two services with the same name", func(d *Document) { d.Services = append(d.Services, d.Services[0]) }, "name is used twice"},
		{"negative slots", func(d *Document) { d.Services[0].Slots = -1 }, "below 0"},
		{"two workspaces with the same key", func(d *Document) { d.Workspaces[1].Keys = d.Workspaces[0].Keys }, "shares a key"},
		{"negative rate", func(d *Document) { d.Workspaces[0].Rate = -1 }, "below 0"},
		{"workspace without name", func(d *Document) { d.Workspaces[0].Name = "" }, "no name"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := &Document{
				Services: []Service{{Name: "plain"}},
				Routes: []Route{
					{Name: "ask", Host: "h", Prefix: "/ask/", Timeout: time.Second, Objective: 100 * time.Millisecond, Targets: []Target{{"plain", 1}}},
					{Name: "push", Host: "h", Prefix: "/push/", Targets: []Target{{"plain", 1}}},
				},
				Workspaces: []Workspace{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"l"}}},
			}
			tc.modify(d)
			faults := Check(d)
			if tc.want == "" {
				must.Len(t, 0, faults)
				return
			}
			must.Len(t, 1, faults)
			must.True(t, strings.Contains(faults[0].String(), tc.want), must.Sprint(faults[0]))
			must.NotEqOp(t, "", faults[0].Remedy)
		})
	}
}
