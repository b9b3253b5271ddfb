// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"errors"
	"net/http"
	"syscall"

	"github.com/heathkeel/heathkeel/route"
)

// isUnframed reports whether a response has neither a length nor chunks, so that it ends with its connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// endIsWhole reports whether the end of a response's body is the end of the response. An endpoint that crashes may close its connections
// in order, so that an unframed response which it did not complete looks complete: its port then refuses connections. That counts also
// where this host reaches no endpoint, or takes several that crash together for that: whatever refuses the connection may have ended the
// other one. Where the port gives no answer the response is passed on, but says nothing about the request. hasBody says that anything of the body has come; a
// stream without any is none. unknown says that the port gave no answer.
func (c *call) endIsWhole(ctx context.Context, resp *http.Response, hasBody bool) (whole, unknown bool) {
	if !isUnframed(resp) || !bodyAllowed(c.r.Method, resp.StatusCode) || c.endpoint.Instance == "" {
		return true, false
	}
	ctx, cancel := context.WithTimeout(ctx, maxProbeWait)
	defer cancel()
	begun := c.s.Now()
	err := c.s.pool.Warm(ctx, c.endpoint.Address)
	c.s.paths.connected(c.endpoint.Address, begun, err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.s.Count.CutUnframed.Add(1)
		return false, false
	}
	return hasBody || c.route.Kind != route.Stream, err != nil
}
