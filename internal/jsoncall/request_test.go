// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package jsoncall

import (
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

func TestRequest(t *testing.T) {
	cases := []struct {
		name       string
		in         any
		body, kind string
		fails      bool
	}{
		{"no body", nil, "", "", false},
		{"a struct", struct{ A int }{7}, `{"A":7}`, "application/json", false},
		{"an empty list", []int{}, `[]`, "application/json", false},
		{"not encodable as JSON", make(chan int), "", "", true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			req, err := NewRequest(t.Context(), http.MethodPost, "http://127.0.0.1/a", tc.in)
			if tc.fails {
				must.Error(t, err)
				return
			}
			must.NoError(t, err)
			must.EqOp(t, tc.kind, req.Header.Get("Content-Type"))
			if tc.in == nil {
				must.Nil(t, req.Body)
				return
			}
			b, err := io.ReadAll(req.Body)
			must.NoError(t, err)
			must.EqOp(t, tc.body, string(b))
		})
	}
}
