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

// localAnswer is what a host tells the placer beside it.
type localAnswer struct {
	// Revision is the settings' revision in force.
	Revision uint64 `json:"revision"`
	// Candidate says whether the host should try to hold the zone asked for.
	Candidate bool `json:"candidate"`
}

// serveLocal answers the placer on the same host.
func (r *Router) serveLocal(w http.ResponseWriter, req *http.Request) {
	writeJSON(w, localAnswer{
		Revision: r.follower.Revision(), Candidate: r.IsPlacerCandidate(req.URL.Query().Get("zone")),
	})
}

// LocalClient is the way from a placer to the router on the same host.
type LocalClient struct {
	// Address is the router's IP number and port.
	Address string

	peers *peerClient
}

// NewLocalClient returns the way to the router at an address.
func NewLocalClient(address string) *LocalClient {
	return &LocalClient{Address: address, peers: newPeerClient()}
}

// Peer reads settings from the router.
func (l *LocalClient) Peer() revision.Peer { return l.peers }

// QueryZone returns the router's revision and whether this host should try to hold a zone.
func (l *LocalClient) QueryZone(ctx context.Context, zone string) (rev uint64, candidate bool, err error) {
	var a localAnswer
	err = l.peers.decode(ctx, http.MethodGet, l.Address, pathLocal+"?zone="+url.QueryEscape(zone), nil, &a)
	return a.Revision, a.Candidate, err
}
