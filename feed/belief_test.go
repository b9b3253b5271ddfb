// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTransitions(t *testing.T) {
	ready := func(name string) Endpoint { return Endpoint{Instance: name} }
	leaving := func(name string) Endpoint { return Endpoint{Instance: name, Leaving: true} }
	lapsed := func(name string) Endpoint { return Endpoint{Instance: name, Lapsed: true} }
	cases := []struct {
		name     string
		old, now []Endpoint
		want     []Transition
	}{
		{"nothing", nil, nil, nil},
		{"the same", []Endpoint{ready("a")}, []Endpoint{ready("a")}, nil},
		{"only the slots change", []Endpoint{ready("a")}, []Endpoint{{Instance: "a", Slots: 9}}, nil},
		{"the first list", nil, []Endpoint{ready("a"), ready("b")}, []Transition{{Unknown, Ready, []string{"a", "b"}}}},
		{"one leaves", []Endpoint{ready("a"), ready("b")}, []Endpoint{ready("a"), leaving("b")}, []Transition{{Ready, Leaving, []string{"b"}}}},
		{
			"one change of each kind", []Endpoint{ready("a"), leaving("b"), lapsed("c"), lapsed("d")}, []Endpoint{lapsed("a"), ready("c"), ready("e")},
			[]Transition{{Ready, Lapsed, []string{"a"}}, {Leaving, Unknown, []string{"b"}}, {Lapsed, Ready, []string{"c"}}, {Lapsed, Unknown, []string{"d"}}, {Unknown, Ready, []string{"e"}}},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { must.Eq(t, tc.want, transitions(tc.old, tc.now)) })
	}
}
