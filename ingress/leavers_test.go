// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestLeaversAreKept(t *testing.T) {
	var l leavers
	must.False(t, l.has("a"))
	none := func(string) bool { return false }
	must.True(t, l.add(time.Second, "a", none))
	must.False(t, l.add(2*time.Second, "a", none))
	must.True(t, l.has("a"))
	must.False(t, l.has("a@1"))
}

func TestLeaversAreBounded(t *testing.T) {
	var l leavers
	listed := func(incarnation string) bool { return incarnation == "0" || incarnation == "2" }
	for i := range maxLeavers + 2 {
		l.add(time.Duration(i), strconv.Itoa(i), listed)
	}
	must.Eq(t, maxLeavers, len(l.saidAt))
	must.True(t, l.has("0"))
	must.False(t, l.has("1"))
	must.True(t, l.has("2"))
	must.False(t, l.has("3"))
	must.True(t, l.has(strconv.Itoa(maxLeavers+1)))
}
