// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestFingerprint checks that the fingerprint depends on each part of a request and on the
// boundaries between parts.
func TestFingerprint(t *testing.T) {
	base := Request{Workspace: "w", Method: "POST", Host: "h", URI: "/a?b", Body: []byte("text")}
	cases := []struct {
		name string
		req  Request
		same bool
	}{
		{"same request", Request{"w", "POST", "h", "/a?b", []byte("text")}, true},
		{"different workspace", Request{"v", "POST", "h", "/a?b", []byte("text")}, false},
		{"different method", Request{"w", "PUT", "h", "/a?b", []byte("text")}, false},
		{"different host", Request{"w", "POST", "g", "/a?b", []byte("text")}, false},
		{"different query", Request{"w", "POST", "h", "/a?c", []byte("text")}, false},
		{"one byte of the body differs", Request{"w", "POST", "h", "/a?b", []byte("texu")}, false},
		{"no body", Request{"w", "POST", "h", "/a?b", nil}, false},
		{"boundary between fields moved", Request{"w", "POST", "h/", "a?b", []byte("text")}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.EqOp(t, c.same, base.Fingerprint() == c.req.Fingerprint())
		})
	}
}

// BenchmarkFingerprint hashes a body of 4 KB.
func BenchmarkFingerprint(b *testing.B) {
	r := Request{Workspace: "w", Method: "POST", Host: "h", URI: "/a", Body: make([]byte, 4<<10)}
	b.ReportAllocs()
	for b.Loop() {
		r.Fingerprint()
	}
}
