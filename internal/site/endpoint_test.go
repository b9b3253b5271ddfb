// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"bytes"
	"fmt"
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// TestRunEndsBeforeAnswer checks that a request is no longer in flight at an endpoint when its caller has
// the whole answer. Otherwise a test that waits until its own requests run takes an earlier one, which
// was answered, for one of them. Writes to a pipe wait for the reader, so that the endpoint is observed
// while the end of its answer is under way.
func TestRunEndsBeforeAnswer(t *testing.T) {
	cases := []struct {
		name   string
		events int
		fault  Fault
		sent   string // what the caller has got when the run must have ended
	}{
		{"plain", 0, None, "HTTP/1.1 200"},
		{"plain, an error", 0, Error, "HTTP/1.1 500"},
		{"plain, without a length", 0, Unframed, "HTTP/1.1 200"},
		{"plain, sent twice", 0, ExtraAnswer, "HTTP/1.1 200"},
		{"a stream", 2, None, EventText(2) + "\r\n0"},
		{"a stream, then closed", 2, Closing, EventText(2) + "\r\n0"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e := &Endpoint{Instance: "e", Events: tc.events}
			e.SetFaults(tc.fault)
			server, client := net.Pipe()
			go e.serve(server)
			defer client.Close()
			fmt.Fprint(client, "GET /a HTTP/1.1\r\nHost: h\r\nHeathkeel-Attempt-Id: 1\r\n\r\n")
			var answer []byte
			for b := make([]byte, 1); !bytes.HasSuffix(answer, []byte(tc.sent)); answer = append(answer, b...) {
				if tc.events > 0 && len(answer) == 1 {
					must.EqOp(t, 1, e.InFlight())
				}
				_, err := client.Read(b)
				must.NoError(t, err)
			}
			must.EqOp(t, 0, e.InFlight())
			must.False(t, e.Runs()[0].EndedAt.IsZero())
		})
	}
}
