// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func TestMatch(t *testing.T) {
	d := &Document{Routes: []Route{
		{Name: "a", Host: "x.example", Prefix: "/a/"},
		{Name: "a-b", Host: "x.example", Prefix: "/a/b/"},
		{Name: "a-bc", Host: "x.example", Prefix: "/a/bc/"},
		{Name: "other", Host: "Y.example", Prefix: "/"},
	}}
	table := NewTable(d, 1)
	cases := []struct{ host, path, want string }{
		{"x.example", "/a/", "a"}, {"x.example", "/a/z", "a"}, {"x.example", "/a/b/c/d", "a-b"}, {"x.example", "/a/b", "a"},
		{"x.example", "/a/bc/x", "a-bc"}, {"x.example", "/a/bcd/x", "a"}, {"X.Example:8080", "/a/b/", "a-b"},
		{"x.example", "/a", ""}, {"x.example", "/", ""}, {"x.example", "", ""}, {"z.example", "/a/", ""},
		{"y.example", "/anything", "other"}, {"y.example", "noslash", ""}, {"x.example", "/a%2Fb/c", ""},
	}
	for _, tc := range cases {
		t.Run(tc.host+tc.path, func(t *testing.T) {
			name := ""
			if r := table.Match(tc.host, tc.path); r != nil {
				name = r.Name
			}
			must.EqOp(t, tc.want, name)
		})
	}
}

func TestPickTarget(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}}}
	n := make(map[string]int)
	for i := range 1000 {
		n[r.PickTarget(float64(i)/1000)]++
	}
	must.EqOp(t, 900, n["a"])
	must.EqOp(t, 100, n["b"])
	must.EqOp(t, "", (&Route{}).PickTarget(0.5))
	must.EqOp(t, "b", (&Route{Targets: []Target{{"a", 0}, {"b", 0}}}).PickTarget(0.5))
}

func TestWorkspace(t *testing.T) {
	table := NewTable(&Document{Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}}}, 1)
	must.EqOp(t, "w", table.Workspace("k2").Name)
	must.Nil(t, table.Workspace("k3"))
	must.Nil(t, table.Workspace(""))
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 500, 10000} {
		d := &Document{}
		for i := range n {
			d.Routes = append(d.Routes, Route{Host: "x.example", Prefix: fmt.Sprintf("/r%d/", i)})
		}
		table := NewTable(d, 1)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if table.Match("x.example", "/r7/some/path") == nil {
					b.Fatal("no match")
				}
			}
		})
	}
}
