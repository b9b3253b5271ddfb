// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package once

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestParseID(t *testing.T) {
	good := ID{Prefix{0xa1, 2, 0xb2, 0x1f}, "x-1_Z"}
	cases := []struct {
		name, text string
		ok         bool
	}{
		{"whole", good.String(), true},
		{"no witness", ID{Prefix{1, 1, 0, 0}, "u"}.String(), true},
		{"no caller's part", good.Prefix.String(), false},
		{"long caller's part", good.Prefix.String() + strings.Repeat("a", MaxUniqueLength+1), false},
		{"dot in caller's part", good.Prefix.String() + "a.b", false},
		{"no owner", ID{Prefix{0, 1, 2, 1}, "u"}.String(), false},
		{"upper case", strings.ToUpper(good.Prefix.String()) + "u", false},
		{"leading zero", strings.Replace(good.String(), ".2.", ".02.", 1), false},
		{"empty", "", false},
	}
	for _, c := range cases {
		id, err := ParseID(c.text)
		must.Eq(t, c.ok, err == nil, must.Sprint(c.name, err))
		if c.ok {
			must.Eq(t, c.text, id.String(), must.Sprint(c.name))
		}
	}
}

func FuzzParseID(f *testing.F) {
	f.Add(ID{Prefix{0xa1, 2, 0xb2, 0x1f}, "x"}.String())
	f.Add("....")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseID(s)
		if err == nil {
			must.Eq(t, s, id.String())
		}
	})
}
