// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/route"
)

// TestEndOfUnframedResponse checks when the end of a connection is the end of a response, also where the host takes itself for one that
// reaches no endpoint.
func TestEndOfUnframedResponse(t *testing.T) {
	unframed, framed := &http.Response{StatusCode: 200, ContentLength: -1}, &http.Response{StatusCode: 200, ContentLength: -1, TransferEncoding: []string{"chunked"}}
	cases := []struct {
		name    string
		resp    *http.Response
		dialErr error // of the endpoint's port; nil means that it takes the connection
		cutOff  bool
		hasBody bool
		whole   bool
		unknown bool
	}{
		{name: "chunks", resp: framed, dialErr: syscall.ECONNREFUSED, hasBody: true, whole: true},
		{name: "the port takes connections", resp: unframed, hasBody: true, whole: true},
		{name: "the port refuses", resp: unframed, dialErr: syscall.ECONNREFUSED, hasBody: true},
		{name: "the port refuses a host that reaches no endpoint", resp: unframed, dialErr: syscall.ECONNREFUSED, cutOff: true, hasBody: true},
		{name: "the port does not answer", resp: unframed, dialErr: errors.New("timeout"), hasBody: true, whole: true, unknown: true},
		{name: "no event", resp: unframed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			start := time.Now()
			s := &Server{Now: func() time.Duration { return time.Since(start) }, Log: logr.Discard()}
			s.Dial = func(context.Context, string, string) (net.Conn, error) {
				if tc.dialErr != nil {
					return nil, tc.dialErr
				}
				near, far := net.Pipe()
				t.Cleanup(func() { _ = far.Close() })
				return near, nil
			}
			s.Init()
			var list []feed.Endpoint
			for i := range 6 {
				list = append(list, feed.Endpoint{Instance: fmt.Sprint(i), Service: "s", Address: fmt.Sprint("10.0.0.", i+1, ":80"), Slots: 4})
			}
			s.SetEndpoints(list)
			if tc.cutOff {
				for _, e := range list {
					s.paths.connected(e.Address, s.Now(), syscall.ECONNREFUSED)
				}
				must.True(t, s.CutOff())
			}
			c := &call{s: s, r: &http.Request{Method: http.MethodPost}, route: &route.Route{Kind: route.Stream}, endpoint: list[0]}
			whole, unknown := c.endIsWhole(context.Background(), &exchange{resp: tc.resp}, tc.hasBody)
			must.EqOp(t, tc.whole, whole)
			must.EqOp(t, tc.unknown, unknown)
		})
	}
}
