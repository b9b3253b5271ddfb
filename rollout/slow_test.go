// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestSlowVersionWithFewRequests checks that a version of which two answers of five take six times as long is rolled back in a short
// roll-out with few requests, where slow answers arrive shortly before the end.
func TestSlowVersionWithFewRequests(t *testing.T) {
	const exposeShare, exposeSlack = 0.1, 50
	slow := func(r *rand.Rand, _ string, _, _ float64) answer {
		a := good(r)
		if r.Float64() < 0.4 {
			a.took *= 6
		}
		return a
	}
	for _, seed := range []uint64{7, 13006} {
		for _, restartAt := range []time.Duration{0, 6 * time.Second} {
			t.Run(fmt.Sprintf("seed %d, restart at %s", seed, restartAt), func(t *testing.T) {
				s := simulation{hosts: 6, rate: 100, duration: 12 * time.Second, newVersion: slow, restartAt: restartAt}
				out := s.run(seed)
				must.Zero(t, out.succeededAt, must.Sprintf("%+v", out))
				must.Positive(t, out.rolledBackAt, must.Sprintf("%+v", out))
				must.LessEq(t, exposeShare*float64(out.sent)+exposeSlack, float64(out.exposed), must.Sprintf("%+v", out))
			})
		}
	}
}
