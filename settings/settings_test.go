// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package settings

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/heathkeel/heathkeel/examples"
)

func parseText(text string) *Parsed {
	return Parse([]File{{Name: "a.yaml", Data: []byte(text)}})
}

func TestFaultsAreAllReported(t *testing.T) {
	cases := []struct {
		name, text, want string
	}{
		{"unknown key", "workspaces: {a: {set: {speed: 1}}}", "a.yaml:1: workspaces/a:speed: unknown key"},
		{"unknown section", "workspace: {}", "a.yaml:1: workspace: unknown key"},
		{"doubled key", "models:\n  m: {}\n  m: {}", "a.yaml:3: models/m: key doubled, first at line 2"},
		{"no unit", "set: {deadline: 30}", "is no duration"},
		{"unit where none belongs", "set: {queue: 10s}", "is no whole number"},
		{"out of range", "set: {retry-budget: 2}", "out of range"},
		{"not a number", "set: {weight: .nan}", "is no number"},
		{"NaN", "set: {weight: NaN}", "out of range"},
		{"no truth value", "set: {repeatable: yes}", "neither true nor false"},
		{"unknown endpoint", "workspaces: {a: {set: {endpoints: [x]}}}", "refers to x, which endpoints does not declare"},
		{"unknown model", "placements: {p: {model: x}}", "refers to x, which models does not declare"},
		{"unknown tier", "workspaces: {a: {services: {s: {set: {tier: slow}}}}}", "tier slow is not in the order"},
		{"undeclared tier node", "workspaces: {a: {services: {s: {tiers: {slow: {}}}}}}", "tier slow is not in the order"},
		{"endpoint without address", "endpoints: {e: {zone: z}}", "lacks address"},
		{"name instead of IP number", "endpoints: {e: {address: \"localhost:1\"}}", "not an IP number and port"},
		{"two at one address", "endpoints: {e: {address: \"1.1.1.1:1\"}, f: {address: \"1.1.1.1:1\"}}", "has the address of endpoints/e"},
		{"cycle", "workspaces: &w {a: {workspaces: *w}}", "aliases are not supported"},
		{"alias", "models: &m {a: {}}\nendpoints: *m", "aliases are not supported"},
		{"bad name", "models: {\"a b\": {}}", "not a name"},
		{"list for a value", "set: {deadline: [1s]}", "expected a duration"},
		{"value for a list", "set: {tiers: urgent}", "expected a list of names"},
		{"no YAML", "set: [", "not valid YAML"},
	}
	for _, c := range cases {
		p := parseText(c.text)
		must.Positive(t, len(p.Faults), must.Sprint(c.name))
		must.StrContains(t, p.Faults.Error(), c.want, must.Sprint(c.name))
		for _, f := range p.Faults {
			must.NotEq(t, "", f.Remedy, must.Sprint(c.name))
		}
	}
	both := parseText("set: {speed: 1, deadline: 3}\nmodels: {\"a b\": {}}")
	must.Len(t, 3, both.Faults)
}

func TestDeclaredTwiceInTwoFiles(t *testing.T) {
	p := Parse([]File{
		{Name: "a.yaml", Data: []byte("workspaces: {a: {set: {weight: 1}}}")},
		{Name: "b.yaml", Data: []byte("workspaces: {a: {set: {weight: 2}, services: {s: {}}}}")},
	})
	must.Len(t, 1, p.Faults)
	must.StrContains(t, p.Faults.Error(), "b.yaml:1: workspaces/a:weight: declared twice, first at a.yaml:1")
}

const inheritText = `
set: {tiers: [top, low], deadline: 10s}
models: {m: {}}
endpoints: {e: {address: "127.0.0.1:1"}}
workspaces:
  a:
    set: {deadline: 5s, rate: 10, weight: 2}
    services:
      s: {set: {tier: top}, tiers: {low: {set: {deadline: 1m}}}}
    workspaces:
      b:
        set: {deadline: inherit, rate: 4}
        services: {s: {set: {tier: low}}}
`

func TestInheritance(t *testing.T) {
	p := parseText(inheritText)
	must.Len(t, 0, p.Faults, must.Sprint(p.Faults))
	s := NewSnapshot(1, p.Declaration)
	cases := []struct {
		ref      Ref
		ok       bool
		deadline time.Duration
		rate     float64
		scope    string
		rank     int
	}{
		{Ref{"a", "s", ""}, true, 5 * time.Second, 10, "workspaces/a", 0},
		{Ref{"a", "s", "top"}, true, 5 * time.Second, 10, "workspaces/a", 0},
		{Ref{"a", "s", "low"}, true, time.Minute, 10, "workspaces/a", 1},
		{Ref{"a/b", "s", ""}, true, 5 * time.Second, 4, "workspaces/a/workspaces/b", 1},
		{Ref{"a/b", "s", "top"}, false, 0, 0, "", 0},
		{Ref{"a/c", "s", ""}, false, 0, 0, "", 0},
		{Ref{"c", "s", ""}, false, 0, 0, "", 0},
		{Ref{strings.Repeat("x", 100), "s", ""}, false, 0, 0, "", 0},
	}
	for _, c := range cases {
		e, ok := s.Resolve(c.ref)
		must.Eq(t, c.ok, ok, must.Sprint(c.ref))
		if !ok {
			continue
		}
		must.Eq(t, c.deadline, e.Deadline, must.Sprint(c.ref))
		must.Eq(t, c.rate, e.Rate, must.Sprint(c.ref))
		must.Eq(t, c.scope, e.RateScope, must.Sprint(c.ref))
		must.Eq(t, c.rank, e.Rank, must.Sprint(c.ref))
	}
	list, ok := Explain(p.Declaration, "workspaces/a/services/s/tiers/low")
	must.True(t, ok)
	must.SliceContains(t, list, Explanation{KeyDeadline, "1m0s", "workspaces/a/services/s/tiers/low"})
	must.SliceContains(t, list, Explanation{KeyWeight, "2", "workspaces/a"})
	must.SliceContains(t, list, Explanation{KeyQueue, "1000", "default"})
}

func TestWithSharesWhatDidNotChange(t *testing.T) {
	d := treeOf(2000)
	s := NewSnapshot(1, d)
	var part Declaration
	for _, e := range d {
		if e.Node != "" && ShardOf(TopLevel(e.Node)) == ShardOf("workspaces/ws-00007") {
			if e.Node == "workspaces/ws-00007" && e.Key == KeyWeight {
				e.Value = "5"
			}
			part = append(part, e)
		}
	}
	n := s.WithShards(2, []ShardEntries{{ShardOf("workspaces/ws-00007"), part}})
	changed := 0
	for _, ws := range s.Workspaces() {
		a, _ := s.Resolve(Ref{ws, "a", ""})
		b, ok := n.Resolve(Ref{ws, "a", ""})
		must.True(t, ok)
		if a != b {
			changed++
			must.Eq(t, 5, b.Weight)
			must.Eq(t, 2, a.Weight)
		}
	}
	must.Eq(t, 1, changed)
}

func TestMerge(t *testing.T) {
	old := Declaration{{"a", "", ""}, {"a", "x", "1"}, {"a", "y", "1"}}
	cases := []struct {
		name      string
		mine      Declaration
		theirs    Declaration
		conflicts []string
		want      Declaration
	}{
		{"disjoint", Declaration{{"a", "", ""}, {"a", "x", "2"}, {"a", "y", "1"}}, Declaration{{"a", "", ""}, {"a", "x", "1"}, {"a", "y", "2"}},
			nil, Declaration{{"a", "", ""}, {"a", "x", "2"}, {"a", "y", "2"}}},
		{"same path", Declaration{{"a", "", ""}, {"a", "x", "2"}, {"a", "y", "1"}}, Declaration{{"a", "", ""}, {"a", "x", "3"}, {"a", "y", "1"}},
			[]string{"a:x"}, nil},
		{"same value", Declaration{{"a", "", ""}, {"a", "x", "2"}, {"a", "y", "1"}}, Declaration{{"a", "", ""}, {"a", "x", "2"}, {"a", "y", "1"}},
			nil, Declaration{{"a", "", ""}, {"a", "x", "2"}, {"a", "y", "1"}}},
		{"removed and changed", Declaration{{"a", "", ""}, {"a", "y", "1"}}, Declaration{{"a", "", ""}, {"a", "x", "3"}, {"a", "y", "1"}},
			[]string{"a:x"}, nil},
		{"both removed", Declaration{{"a", "", ""}, {"a", "y", "1"}}, Declaration{{"a", "", ""}, {"a", "y", "1"}},
			nil, Declaration{{"a", "", ""}, {"a", "y", "1"}}},
		{"both added, unlike", append(old[:3:3], Entry{"a", "z", "1"}), append(old[:3:3], Entry{"a", "z", "2"}), []string{"a:z"}, nil},
	}
	for _, c := range cases {
		got, conflicts := Merge(c.theirs, Diff(old, c.mine))
		must.Eq(t, c.conflicts, conflicts, must.Sprint(c.name))
		must.Eq(t, c.want, got, must.Sprint(c.name))
	}
}

func TestDiffThenMergeGivesTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) Declaration {
			m := rapid.MapOfN(rapid.StringMatching("[ab]{1,3}"), rapid.StringMatching("[xy]"), 0, 6).Draw(t, name)
			var d Declaration
			for k, v := range m {
				d = append(d, Entry{k, "k", v})
			}
			return d.Sorted()
		}
		a, b := draw("a"), draw("b")
		got, conflicts := Merge(a, Diff(a, b))
		if len(conflicts) > 0 || len(Diff(got, b)) > 0 {
			t.Fatalf("%v %v: %v %v", a, b, got, conflicts)
		}
	})
}

func TestExamplesAndFormat(t *testing.T) {
	for _, dir := range []struct {
		name  string
		files func() []File
	}{
		{"fjordkanal", func() []File { f, _ := ReadDir(examples.Fjordkanal()); return f }},
		{"litoral", func() []File { f, _ := ReadDir(examples.Litoral()); return f }},
	} {
		p := Parse(dir.files())
		must.Len(t, 0, p.Faults, must.Sprint(dir.name, p.Faults))
		again := Parse([]File{{Name: "tree.yaml", Data: Format(p.Declaration)}})
		must.Len(t, 0, again.Faults, must.Sprint(again.Faults))
		must.Eq(t, p.Declaration, again.Declaration)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(inheritText)
	f.Add("set: {deadline: 1s}")
	f.Fuzz(func(t *testing.T, text string) {
		p := parseText(text)
		if len(p.Faults) == 0 {
			NewSnapshot(1, p.Declaration)
		}
	})
}

// treeOf returns a declaration of n workspaces with three services each.
func treeOf(n int) Declaration {
	d := Declaration{{"", KeyTiers, "urgent,normal,patient"}}
	for i := range n {
		ws := fmt.Sprintf("workspaces/ws-%05d", i)
		d = append(d, Entry{ws, "", ""}, Entry{ws, KeyWeight, "2"})
		for _, s := range []string{"a", "b", "c"} {
			d = append(d, Entry{ws + "/services/" + s, "", ""}, Entry{ws + "/services/" + s, KeyDeadline, "5s"})
		}
	}
	return d.Sorted()
}

var sizes = []int{5, 500, 8300}

func TestResolveAllocatesNothing(t *testing.T) {
	s := NewSnapshot(1, treeOf(500))
	ref := Ref{"ws-00123", "b", ""}
	must.Zero(t, testing.AllocsPerRun(100, func() { s.Resolve(ref) }))
}

func BenchmarkResolve(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			s := NewSnapshot(1, treeOf(n))
			ref := Ref{fmt.Sprintf("ws-%05d", n/2), "b", ""}
			b.ReportAllocs()
			for b.Loop() {
				s.Resolve(ref)
			}
		})
	}
}

func BenchmarkNewSnapshot(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			d := treeOf(n)
			b.ReportAllocs()
			for b.Loop() {
				NewSnapshot(1, d)
			}
		})
	}
}

func BenchmarkOneKeyChange(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			d := treeOf(n)
			s := NewSnapshot(1, d)
			top := TopLevel(d[len(d)-1].Node)
			var part Declaration
			for _, e := range d {
				if t := TopLevel(e.Node); t != "" && ShardOf(t) == ShardOf(top) {
					part = append(part, e)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				s.WithShards(2, []ShardEntries{{ShardOf(top), part}})
			}
		})
	}
}
