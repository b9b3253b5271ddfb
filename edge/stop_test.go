// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestGraceReserve guards against planned stops that cut requests before the last sixth of a short grace period: what still runs before that
// has to be served.
func TestGraceReserve(t *testing.T) {
	for grace := time.Second; grace <= 30*time.Second; grace += 100 * time.Millisecond {
		reserve := graceReserve(grace)
		must.Less(t, grace/6, reserve)
		must.GreaterEq(t, 100*time.Millisecond, reserve) // to end in
		must.LessEq(t, 700*time.Millisecond, reserve)
	}
}
