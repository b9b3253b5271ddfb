// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestHeadsThatAreNoResponse sends heads that no HTTP response has. It guards against what net/http takes for one: callers got such heads as
// responses, or got what followed them.
func TestHeadsThatAreNoResponse(t *testing.T) {
	const fields, body = "X-Id: 7\r\nContent-Length: 2\r\n", "\r\nok"
	cases := []struct{ name, response string }{
		{"status 000", "HTTP/1.1 000 Trouble\r\n" + fields + body},
		{"status 000 before a response", "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + body},
		{"status 099 before a response", "HTTP/1.1 099 Trouble\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + body},
		{"status with a sign", "HTTP/1.1 +20 OK\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + body},
		{"negative status", "HTTP/1.1 -20 OK\r\n" + fields + body},
		{"another protocol, which was not asked for", "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + body},
		{"another version", "HTTP/2.0 200 OK\r\n" + fields + body},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Bad: a\r\n" + fields + body},
		{"blank behind a name", "HTTP/1.1 200 OK\r\nX-Bad : a\r\n" + fields + body},
		{"blank behind the name of the length", "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length : 2\r\n\r\nok and more"},
		{"blank behind the name of the encoding", "HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"blank before the first name", "HTTP/1.1 200 OK\r\n X-Bad: a\r\n" + fields + body},
		{"tab in a name", "HTTP/1.1 200 OK\r\nX\tBad: a\r\n" + fields + body},
		{"NUL in a name", "HTTP/1.1 200 OK\r\nX\x00Bad: a\r\n" + fields + body},
		{"escape in a name", "HTTP/1.1 200 OK\r\nX\x1bBad: a\r\n" + fields + body},
		{"carriage return in a name", "HTTP/1.1 200 OK\r\nX\rBad: a\r\n" + fields + body},
		{"delete in a name", "HTTP/1.1 200 OK\r\nX\x7fBad: a\r\n" + fields + body},
		{"no name", "HTTP/1.1 200 OK\r\n: a\r\n" + fields + body},
		{"NUL in a value", "HTTP/1.1 200 OK\r\nX-Bad: a\x00b\r\n" + fields + body},
		{"carriage return in a value", "HTTP/1.1 200 OK\r\nX-Bad: a\rb\r\n" + fields + body},
		{"blank in a name of an interim response", "HTTP/1.1 103 Early Hints\r\nX Bad: a\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + body},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p, c := connectToText(t, tc.response)
			resp, err := c.ReadResponse("GET", "X-Id", "7")
			if err == nil {
				b, _ := io.ReadAll(resp.Body)
				t.Fatalf("passed on with status %d, header %v and body %q", resp.StatusCode, resp.Header, b)
			}
			c.Release()
			must.EqOp(t, 0, p.OpenCount("endpoint"))
		})
	}
}

// connectToText returns a connection to an endpoint that sends a text and closes the connection.
func connectToText(t *testing.T, text string) (*Pool, *Conn) {
	t.Helper()
	p := &Pool{Now: func() time.Duration { return 0 }}
	p.Dial = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = near.Close() })
		go func() {
			defer far.Close()
			_, _ = io.WriteString(far, text) // an error means that the other end has closed
		}()
		return near, nil
	}
	c, _, err := p.Get(t.Context(), "endpoint", "7")
	must.NoError(t, err)
	return p, c
}

// TestUnusualHeads guards against refusals of responses that are unusual, and that callers get.
func TestUnusualHeads(t *testing.T) {
	const fields, body = "X-Id: 7\r\nContent-Length: 2\r\n", "\r\nok"
	cases := []struct {
		name, response string
		status         int
	}{
		{"no reason", "HTTP/1.1 200\r\n" + fields + body, 200},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fields + body, 200},
		{"a status beyond the known classes", "HTTP/1.1 799 Other\r\n" + fields + body, 799},
		{"all signs of a name", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09Az: a\r\n" + fields + body, 200},
		{"value with a tab and bytes beyond ASCII", "HTTP/1.1 200 OK\r\nX-A: a\tb \xe9\r\n" + fields + body, 200},
		{"empty value", "HTTP/1.1 200 OK\r\nX-A:\r\n" + fields + body, 200},
		{"an interim response", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + body, 200},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, c := connectToText(t, tc.response)
			resp, err := c.ReadResponse("GET", "X-Id", "7")
			must.NoError(t, err)
			must.EqOp(t, tc.status, resp.StatusCode)
			b, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			must.EqOp(t, "ok", string(b))
		})
	}
}
