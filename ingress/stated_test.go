// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestParseRetryAfter(t *testing.T) {
	now := time.Date(2026, time.March, 1, 12, 0, 0, 0, time.UTC)
	cases := []struct {
		name, value string
		want        time.Duration
		ok          bool
	}{
		{"seconds", "3", 3 * time.Second, true},
		{"fractions", " 0.25 ", 250 * time.Millisecond, true},
		{"nothing to wait", "0", 0, true},
		{"a date", "Sun, 01 Mar 2026 12:00:07 GMT", 7 * time.Second, true},
		{"a date that has passed", "Sun, 01 Mar 2026 11:59:00 GMT", 0, true},
		{"a word", "soon", 0, false},
		{"negative", "-1", 0, false},
		{"not a number", "NaN", 0, false},
		{"empty", "", 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got, ok := parseRetryAfter(tc.value, now)
			must.Eq(t, tc.ok, ok)
			must.Eq(t, tc.want, got)
		})
	}
	for _, huge := range []string{"1e300", "+Inf", "99999999999999999999"} {
		got, ok := parseRetryAfter(huge, now)
		must.True(t, ok, must.Sprint(huge))
		must.Greater(t, 1000*time.Hour, got)
		must.Less(t, time.Duration(math.MaxInt64), got)
	}
}

func TestStatesLeaving(t *testing.T) {
	cases := []struct {
		value string
		want  bool
	}{{"1", true}, {" 1 ", true}, {"true", true}, {"", false}, {"0", false}, {" 0", false}}
	for _, tc := range cases {
		must.Eq(t, tc.want, statesLeaving(tc.value), must.Sprint(tc.value))
	}
}
