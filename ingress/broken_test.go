// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress_test

import (
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/route"
)

// TestInvalidHeadsAreTold checks that a counter and the line of the request say that a response was refused for its head, and why, and that
// the line does not hold all that an endpoint sends. Statuses beyond the known ones are forwarded as they are.
func TestInvalidHeadsAreTold(t *testing.T) {
	const fields = "Heathkeel-Attempt-Id: ID\r\nHeathkeel-Response-Stamp: x\r\nContent-Length: 2\r\n\r\nok"
	cases := []struct {
		name, response string
		status         int
		told           string // in the line; empty if the response is valid
	}{
		{"status 000", "HTTP/1.1 000 Trouble\r\n" + fields, 502, `status is \"000 Trouble\"`},
		{"status 000 before a response", "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\n" + fields, 502, `status is \"000 Trouble\"`},
		{"a long line that is no head", strings.Repeat("x", 10_000) + "\r\n" + fields, 502, "malformed HTTP response"},
		{"status 600", "HTTP/1.1 600 Other\r\n" + fields, 600, ""},
		{"status 999", "HTTP/1.1 999 Other\r\n" + fields, 999, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &scripted{first: tc.response}
				defer e.stop()
				var log lines
				s := newServer(log.logger(), route.AtMostOnce, map[string]func() net.Conn{"10.0.0.1:80": e.dial})
				w := httptest.NewRecorder()
				must.False(t, get(s, w))
				synctest.Wait() // for the probe of an endpoint that sent no response
				must.EqOp(t, tc.status, w.Code)
				must.EqOp(t, 1, e.requests.Load())
				if tc.told == "" {
					must.EqOp(t, "x", w.Header().Get("Heathkeel-Response-Stamp"))
					must.EqOp(t, 0, s.Count.All()["InvalidHeads"])
					return
				}
				must.EqOp(t, "", w.Header().Get("Heathkeel-Response-Stamp"))
				must.EqOp(t, 1, s.Count.All()["InvalidHeads"])
				must.Positive(t, log.count(tc.told))
				for _, line := range log.all {
					must.Less(t, 2000, len(line))
				}
			})
		})
	}
}
