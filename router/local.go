// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

import (
	"context"
	"net/http"
	"net/url"

	"github.com/heathkeel/heathkeel/revision"
)

// localAnswer is a router's answer to the placer on the same host.
type localAnswer struct {
	// Revision is the revision of the settings in force.
	Revision uint64 `json:"revision"`
	// Candidate says whether the host should try to acquire the lease of the
	// queried zone's placement.
	Candidate bool `json:"candidate"`
}

// serveLocal answers queries of the placer on the same host.
func (r *Router) serveLocal(w http.ResponseWriter, req *http.Request) {
	writeJSON(w, localAnswer{
		Revision: r.follower.Revision(), Candidate: r.IsPlacerCandidate(req.URL.Query().Get("zone")),
	})
}

// LocalClient is a placer's client of the router on the same host.
type LocalClient struct {
	// Address is the router's IP address and port.
	Address string

	peers *peerClient
}

// NewLocalClient returns a client of the router at an address.
func NewLocalClient(address string) *LocalClient {
	return &LocalClient{Address: address, peers: newPeerClient()}
}

// Peer returns a revision.Peer that reads settings from the router.
func (l *LocalClient) Peer() revision.Peer { return l.peers }

// QueryZone returns the revision of the router's settings and whether this host
// should try to acquire the lease of a zone's placement.
func (l *LocalClient) QueryZone(ctx context.Context, zone string) (rev uint64, candidate bool, err error) {
	var a localAnswer
	err = l.peers.decode(ctx, http.MethodGet, l.Address, pathLocal+"?zone="+url.QueryEscape(zone), nil, &a)
	return a.Revision, a.Candidate, err
}
