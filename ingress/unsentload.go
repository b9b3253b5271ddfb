// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"time"

	"github.com/heathkeel/heathkeel/places"
)

// maxStatedAge is the age up to which a stated load is sent to the owner of the endpoint's slots. Older ones have lost most of their
// weight.
const maxStatedAge = 2 * time.Second

// unsentLoad is a stated load that the owner of the endpoint's slots was not told yet.
type unsentLoad struct {
	places.StatedLoad
	at     time.Duration
	urgent bool // it is sent without waiting for another reason for a message
}

// take returns the load to send to the owner and forgets it, or nil if there is none.
func (u *unsentLoad) take(now time.Duration) *places.StatedLoad {
	l, at := u.StatedLoad, u.at
	*u = unsentLoad{}
	if l.Slots == 0 || now-at > maxStatedAge {
		return nil
	}
	l.AgeMS = int((now - at).Milliseconds())
	return &l
}
