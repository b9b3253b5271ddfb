// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/internal/fake"
	"github.com/heathkeel/heathkeel/problem"
	"github.com/heathkeel/heathkeel/router"
)

// TestWholeAnswersAreLimited lets engines send more than a host may hold of an answer that it collects for its caller. It guards against one
// faulty engine that takes all memory of a host.
func TestWholeAnswersAreLimited(t *testing.T) {
	const tokens = 200
	cases := []struct {
		name       string
		pieceBytes int
		ok         bool
	}{
		{"long tokens", 250, true},
		{"pieces that are no tokens", 1 << 10, false},
		{"the longest pieces", 48 << 10, false},
	}
	r := newTestCluster(t, nil)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r.setEngines(fake.EngineFaults{PieceBytes: tc.pieceBytes})
			defer r.setEngines(fake.EngineFaults{})
			a := completeWhole(r.StartedHosts[0].Address, tokens)
			must.NoError(t, a.err)
			if tc.ok {
				must.EqOp(t, http.StatusOK, a.status)
				must.Greater(t, tokens*tc.pieceBytes, len(a.body))
				return
			}
			must.EqOp(t, problem.Unknown, a.outcome)
			must.EqOp(t, problem.EndpointLost, a.problem.Kind)
		})
	}
	must.EqOp(t, http.StatusOK, completeWhole(r.StartedHosts[0].Address, 1).status)
}

// completeWhole asks a host for an answer of a number of tokens as one document.
func completeWhole(host string, tokens int) reply {
	body := fmt.Sprintf(`{"model":"m","prompt":"hello","max_tokens":%d}`, tokens)
	req, _ := http.NewRequest(http.MethodPost, "http://"+host+endpoint.PathCompletions, strings.NewReader(body))
	req.Header.Set(router.HeaderWorkspace, "w")
	req.Header.Set(router.HeaderService, "write")
	return sendRequest(req)
}
