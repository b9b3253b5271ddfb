// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/heathkeel/heathkeel/route"
	"github.com/heathkeel/heathkeel/upstream"
)

// isUnframed reports whether a response has neither a length nor chunks, so that it ends with its connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Times of the wait for a sign that an endpoint lives which has ended a connection and whose port refuses others.
const (
	// maxSignWait is longer than the pauses within most streams.
	maxSignWait = 300 * time.Millisecond
	// signInterval is the time between two looks.
	signInterval = 5 * time.Millisecond
)

// endIsWhole reports whether the end of a response's body is the end of the response. An endpoint that crashes may close its connections
// in order, so that an unframed response which it did not complete looks complete: its port then refuses connections. So does that of an
// endpoint that leaves as planned, but it goes on to write its responses: bytes that were sent after a refusal show that it lives. Of an
// endpoint that is not known to leave they show nothing, since packets are lost and sent again after the end of their process. A refusal
// counts also where this host reaches no endpoint, or takes several that crash together for that: whatever refuses the connection
// may have ended the other one. So does another process that has taken the port meanwhile. Where the port gives no answer the response is
// passed on, but says nothing about the request. hasBody says that anything of the body has come; a stream without any is none. unknown
// says that the port gave no answer.
func (c *call) endIsWhole(ctx context.Context, x *exchange, hasBody bool) (whole, unknown bool) {
	if !isUnframed(x.resp) || !bodyAllowed(c.r.Method, x.resp.StatusCode) || c.endpoint.Instance == "" {
		return true, false
	}
	mayBeWhole := hasBody || c.route.Kind != route.Stream
	leaving := c.s.balance.isLeaving(c.endpoint.Incarnation())
	if leaving && c.s.pool.WroteAfterRefusal(c.endpoint.Address) {
		c.logUnframedEnd("the endpoint leaves, and wrote after its port had closed", true)
		return mayBeWhole, false
	}
	err := c.probeProcess(ctx, x)
	switch {
	case errors.Is(err, errOtherProcess):
		c.s.Count.CutUnframed.Add(1)
		c.logUnframedEnd("another process listens at the port", false)
		return false, false
	case !errors.Is(err, syscall.ECONNREFUSED):
		return mayBeWhole, err != nil
	}
	if leaving && c.awaitSign(ctx, x.conn) {
		c.logUnframedEnd("the endpoint leaves, its port is closed, and it writes other responses", true)
		return mayBeWhole, false
	}
	c.s.Count.CutUnframed.Add(1)
	c.logUnframedEnd("the port is closed, and nothing is known to have been written since", false)
	return false, false
}

// probePort opens a connection to the endpoint.
func (c *call) probePort(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxProbeWait)
	defer cancel()
	begun := c.s.Now()
	err := c.s.pool.Warm(ctx, c.endpoint.Address)
	c.s.paths.connected(c.endpoint.Address, begun, err)
	return err
}

// awaitSign waits until the endpoint, whose port refuses connections, writes to another connection than conn. It returns false if there is
// none that has not ended, or the wait is over.
func (c *call) awaitSign(ctx context.Context, conn *upstream.Conn) bool {
	ctx, cancel := context.WithTimeout(ctx, maxSignWait)
	defer cancel()
	t := time.NewTicker(signInterval)
	defer t.Stop()
	for c.s.pool.OthersOpen(c.endpoint.Address, conn) {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
		if c.s.pool.WroteAfterRefusal(c.endpoint.Address) {
			return true
		}
	}
	return false
}

// logUnframedEnd counts and logs how the end of a response was judged that ended with its connection, at an endpoint whose port is closed or
// another's.
func (c *call) logUnframedEnd(seen string, whole bool) {
	if whole {
		c.s.Count.EndedAfterClose.Add(1)
	}
	c.s.Log.Info("response ended with its connection", "id", c.id, "endpoint", c.endpoint.Instance, "whole", whole, "seen", seen)
}
