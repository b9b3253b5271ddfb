// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/internal/simnet"
	"github.com/heathkeel/heathkeel/peers"
	"github.com/heathkeel/heathkeel/platform"
)

// TestListDoesNotWaitForSettings lets a peer prove newer settings and a newer list of endpoints while its settings take too long to come, as
// large ones do on a slow link: the list is there at once.
func TestListDoesNotWaitForSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := &simnet.Net{Latency: time.Millisecond}
		const control = "10.0.0.2:8229"
		l, err := n.Host("10.0.0.2").Listen(ctx, "tcp", control)
		must.NoError(t, err)
		m := http.NewServeMux()
		m.HandleFunc(pathSettings, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		m.HandleFunc(pathEndpoints, func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(feed.EndpointList{Revision: 7, Endpoints: []feed.Endpoint{{Instance: "e"}}})
		})
		srv := &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
		go func() { _ = srv.Serve(l) }()
		h := &Host{Boot: platform.Boot{Host: "a", IP: "10.0.0.1"}, Network: n.Host("10.0.0.1"), Clock: clock.NewSteady(), Log: logr.Discard()}
		h.wantedSettings, h.wantedEndpoints = make(chan peers.Proof, 1), make(chan peers.Proof, 1)
		h.build()
		h.agent = &peers.Agent{Table: &peers.Table{Host: "a"}}
		h.agent.Init()
		go h.fetchSettings(ctx)
		go h.fetchEndpoints(ctx)
		h.ProofReceived(peers.Proof{Host: "b", Control: control, Settings: peers.Version{Known: true, Revision: 9}, Endpoints: peers.Version{Known: true, Revision: 7, Sum: 1}})
		time.Sleep(fetchTimeout / 10)
		list, ok := h.endpoints.List()
		must.True(t, ok)
		must.Eq(t, 7, list.Revision)
		cancel()
		_ = srv.Close()
		n.Host("10.0.0.1").Kill()
		h.peerHTTP.CloseIdleConnections()
		time.Sleep(time.Second)
	})
}
