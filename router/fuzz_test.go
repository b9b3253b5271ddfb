// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

import (
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/problem"
	"github.com/heathkeel/heathkeel/settings"
)

// FuzzCompletion checks that parseCompletion does not panic on any body and that
// every refusal has a remedy and the outcome NotRun.
func FuzzCompletion(f *testing.F) {
	f.Add(`{"model":"m","prompt":"p"}`)
	f.Add(`{"model":"m","prompt":"p","max_tokens":-1}`)
	f.Add(`[]`)
	snap := settings.NewSnapshot(1, settings.Declaration{{Node: "models/m"}})
	f.Fuzz(func(t *testing.T, body string) {
		r := &Router{}
		j := &job{snapshot: snap, settings: &settings.Effective{MaxTokens: 10}, body: []byte(body)}
		got, p := r.parseCompletion(j, httptest.NewRequest("POST", "/", nil))
		if p != nil {
			must.NotEq(t, "", p.Remedy)
			must.Eq(t, problem.NotRun, p.Outcome)
			return
		}
		must.Between(t, 1, got.MaxTokens, 10)
		must.NotNil(t, j.req)
	})
}
