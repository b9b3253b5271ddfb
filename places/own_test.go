// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package places

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestOwnSlots checks that an owner takes slots for itself only while some are free, no host wants one and the endpoint has not
// rejected a request lately.
func TestOwnSlots(t *testing.T) {
	const limit = 2
	r := rand.New(rand.NewPCG(65, 2))
	three := func(int) int { return 3 }
	var a Allocator
	a.NoteOwn(0, "self", 1, 0)
	must.True(t, a.TakeOwn(0, limit))
	a.NoteOwn(0, "self", 1, 1)
	must.False(t, a.TakeOwn(0, limit), must.Sprint("the grant that it holds counts"))
	a.NoteOwn(0, "self", 1, 0)
	a.Update(0, "x", 1, 1, Request{Running: 1, Rank: -1})
	must.False(t, a.TakeOwn(0, limit), must.Sprint("requests of others count"))
	a.Update(0, "y", 1, 1, Request{Rank: 0})
	must.False(t, a.TakeOwn(0, 3), must.Sprint("another host wants the slot"))
	must.Eq(t, []string{"y"}, a.Allocate(0, three, r))
	a.Update(0, "x", 1, 2, Request{Rank: -1, Rejected: true})
	a.Update(0, "y", 1, 2, Request{Rank: -1, Returned: true})
	must.False(t, a.TakeOwn(0, 3))
	a.Update(rejectPause, "z", 1, 1, Request{Rank: 0})
	a.NoteOwn(rejectPause, "self", 0, 0)
	must.Eq(t, []string{"z"}, a.Allocate(rejectPause, three, r))
}

// TestOwnWishExpires checks that noting the owner's own requests does not renew its wish for a slot.
func TestOwnWishExpires(t *testing.T) {
	var a Allocator
	a.Update(0, "self", 1, 1, Request{Rank: 0})
	must.True(t, a.Wanted(requestTTL))
	for now := time.Duration(0); now < time.Second; now += 25 * time.Millisecond {
		a.NoteOwn(now, "self", 0, 0)
	}
	must.False(t, a.Wanted(time.Second))
}
