// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/heathkeel/heathkeel/fleet"
	"github.com/heathkeel/heathkeel/internal/jsoncall"
	"github.com/heathkeel/heathkeel/keyval"
	"github.com/heathkeel/heathkeel/once"
	"github.com/heathkeel/heathkeel/problem"
)

// peerClient sends requests to other hosts.
type peerClient struct {
	http  *http.Client
	bytes atomic.Int64
}

// newPeerClient returns a client that keeps idle connections.
func newPeerClient() *peerClient {
	t := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: jsoncall.MaxHeadBytes}
	return &peerClient{http: &http.Client{Transport: t}}
}

// maxPeerAnswer is the maximum size of a peer's answer, in bytes. The largest
// answers are settings chunks.
const maxPeerAnswer = 2 * keyval.MaxValueSize

// call sends a request with a JSON body and returns the body of the answer.
func (c *peerClient) call(ctx context.Context, method, address, path string, in any) ([]byte, error) {
	req, err := jsoncall.NewRequest(ctx, method, "http://"+address+path, in)
	if err != nil {
		return nil, err
	}
	c.bytes.Add(req.ContentLength)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxPeerAnswer))
	c.bytes.Add(int64(len(b)))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("host %s answered %s to %s; see its log", address, resp.Status, path)
	}
	return b, err
}

// decode sends a request and decodes the JSON answer into out.
func (c *peerClient) decode(ctx context.Context, method, address, path string, in, out any) error {
	b, err := c.call(ctx, method, address, path, in)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, out)
}

// Heartbeat implements fleet.Transport.
func (c *peerClient) Heartbeat(ctx context.Context, address string, hb *fleet.Heartbeat) (*fleet.Heartbeat, error) {
	var ans fleet.Heartbeat
	return &ans, c.decode(ctx, http.MethodPost, address, pathHeartbeat, hb, &ans)
}

// Head implements revision.Peer.
func (c *peerClient) Head(ctx context.Context, address string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, address, pathHead, nil)
}

// Chunk implements revision.Peer.
func (c *peerClient) Chunk(ctx context.Context, address, digest string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, address, pathChunk+digest, nil)
}

// record asks a witness to record a batch of IDs.
func (c *peerClient) record(ctx context.Context, address string, b recordBody) ([]uint8, error) {
	var ans recordAnswer
	err := c.decode(ctx, http.MethodPost, address, pathRecord, b, &ans)
	return ans.Acks, err
}

// closeID asks a witness what is recorded of an ID. The witness closes the ID if
// nothing is recorded.
func (c *peerClient) closeID(ctx context.Context, address string, id once.ID) (once.Finding, string, error) {
	var ans closeAnswer
	err := c.decode(ctx, http.MethodPost, address, pathClose+id.String(), nil, &ans)
	return once.Finding(ans.Finding), ans.Endpoint, err
}

// query asks the owner of an ID for the outcome of the request.
func (c *peerClient) query(ctx context.Context, address string, id once.ID) (*problem.Problem, error) {
	var p problem.Problem
	return &p, c.decode(ctx, http.MethodPost, address, pathQuery+id.String(), nil, &p)
}

// handover sends the state of a witness to a successor.
func (c *peerClient) handover(ctx context.Context, address string, h once.Handover) error {
	_, err := c.call(ctx, http.MethodPost, address, pathHandover, h)
	return err
}
