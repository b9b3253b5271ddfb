// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestOrderAgainAfterRollback checks that a new order for a version that was rolled back begins anew, also while other hosts still
// tell of the roll-back, and that a version stays excluded if its order is removed after a roll-back.
func TestOrderAgainAfterRollback(t *testing.T) {
	slots := map[string]Slots{"s": {New: 10, Old: 10}}
	first := []Order{{Service: "s", Version: "v2", Duration: 10 * time.Second, Revision: 5}}
	again := []Order{{Service: "s", Version: "v2", Duration: 10 * time.Second, Revision: 9}}
	var a, b Book
	for _, book := range []*Book{&a, &b} {
		book.Limits.Share = 0.1
		book.SetOrders(0, first, false)
		book.SetSlots(0, slots)
	}
	a.Adopt("s", 5, RolledBack)
	b.ApplyCounts(0, "a", 1, a.Counts())
	b.ApplyCounts(0, "a", 1, a.Counts())
	must.True(t, b.Excludes("s", "v2"))

	b.SetOrders(time.Second, again, false)
	b.SetSlots(time.Second, slots)
	b.ApplyCounts(time.Second, "a", 1, a.Counts())
	must.False(t, b.Excludes("s", "v2"))
	must.True(t, b.PicksNew(4*time.Second, "s", 0))

	a.SetOrders(time.Second, nil, false)
	must.True(t, a.Excludes("s", "v2"))
	a.SetSlots(time.Second, map[string]Slots{"s": {Old: 10}})
	must.False(t, a.Excludes("s", "v2"))
}
