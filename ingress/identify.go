// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/heathkeel/heathkeel/upstream"
)

// Times of a response at whose end another process may listen at the endpoint's port.
const (
	// minRestart is the shortest time in which a process ends and another one listens at its address. The end of a connection is known to
	// its other side at once, unless a cut or a suspension of that side holds it up for as long: then no bytes came for that time.
	minRestart = 250 * time.Millisecond
	// maxBacklog is the longest time for which bytes arrive that were held up.
	maxBacklog = 5 * time.Second
	// maxIdentify is the time in which an endpoint answers which process it is. One that has not after that waits for a slot: another
	// process would have refused the request at once.
	maxIdentify = 300 * time.Millisecond
)

// progress tells when the bytes of a response came. The zero value has seen none.
type progress struct {
	lastAt      time.Duration
	pauseEndsAt time.Duration // when bytes came after the latest pause of minRestart, 0 for never
}

// note records that bytes came.
func (p *progress) note(at time.Duration) {
	if p.pausedAt(at) {
		p.pauseEndsAt = at
	}
	p.lastAt = at
}

// pausedAt reports whether no bytes came for minRestart until a time.
func (p *progress) pausedAt(at time.Duration) bool { return p.lastAt > 0 && at-p.lastAt >= minRestart }

// mayHideRestart reports whether the endpoint's process may have ended, and another one started, before this host knew it at a time.
func (p *progress) mayHideRestart(at time.Duration) bool {
	return p.pausedAt(at) || (p.pauseEndsAt > 0 && at-p.pauseEndsAt <= maxBacklog)
}

// errOtherProcess means that the process which listens at an endpoint's port is not the endpoint.
var errOtherProcess = errors.New("another process listens at the endpoint's port")

// probeProcess opens a connection to the endpoint after the end of a response. It returns errOtherProcess if the port has come to belong to
// another process.
func (c *call) probeProcess(ctx context.Context, x *exchange) error {
	if c.service == nil || c.service.HealthPath == "" || !x.progress.mayHideRestart(c.s.Now()) {
		return c.probePort(ctx)
	}
	conn, err := c.openProbe(ctx)
	if err != nil {
		return err
	}
	defer conn.Release()
	ctx, cancel := context.WithTimeout(ctx, maxIdentify)
	defer cancel()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	return c.identify(conn)
}

// openProbe opens a connection to the endpoint.
func (c *call) openProbe(ctx context.Context) (*upstream.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, maxProbeWait)
	defer cancel()
	begun := c.s.Now()
	conn, err := c.s.pool.Open(ctx, c.endpoint.Address)
	c.s.paths.connected(c.endpoint.Address, begun, err)
	return conn, err
}

// identify asks the process at the other end of a connection whether it is the endpoint, and returns errOtherProcess if it says that it is
// not.
func (c *call) identify(conn *upstream.Conn) error {
	header := http.Header{c.s.Headers.ExpectInstance: {c.endpoint.Instance}}
	err := conn.Send(&upstream.Request{Method: http.MethodGet, URI: c.service.HealthPath, Host: c.endpoint.Address, Header: header})
	if err != nil {
		return err
	}
	resp, err := conn.ReadResponse(http.MethodGet, c.s.Headers.AttemptID, "")
	if err != nil {
		return err
	}
	discardBody(resp)
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return errOtherProcess
	}
	return nil
}
