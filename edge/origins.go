// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"

	"github.com/heathkeel/heathkeel/origin"
)

// pathOrigins is the path at which other hosts ask where streams began; keysParameter is the query parameter with the keys of the
// streams.
const (
	pathOrigins   = "/v1/streams"
	keysParameter = "keys"
)

// maxOriginFetches is the number of hosts that a host asks by HTTP where a stream began.
const maxOriginFetches = 2

// askOrigins asks other hosts where a stream began and returns how many it asked. A host that hears no other asks by HTTP: datagrams
// may not reach it, while connections do.
func (h *Host) askOrigins(keys origin.Keys) int {
	if n := h.agent.AskOrigins(keys); n > 0 {
		return n
	}
	text, err := keys.MarshalText()
	if err != nil {
		h.Log.Error(err, "cannot encode the keys of streams")
		return 0
	}
	path := pathOrigins + "?" + keysParameter + "=" + url.QueryEscape(string(text))
	controls := h.controlAddresses()
	controls = controls[:min(maxOriginFetches, len(controls))]
	for _, control := range controls {
		go h.fetchOrigins(control, path)
	}
	return len(controls)
}

// controlAddresses returns the addresses at which other hosts may be asked, those of the seeds included, in random order.
func (h *Host) controlAddresses() []string {
	var out []string
	for _, m := range h.agent.Unexpired() {
		out = append(out, m.Info.Control)
	}
	for _, seed := range h.Boot.Seeds {
		if seed != h.Boot.Control {
			out = append(out, seed)
		}
	}
	slices.Sort(out)
	out = slices.Compact(out)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// fetchOrigins asks one host where streams began.
func (h *Host) fetchOrigins(control, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var r origin.Report
	if h.fetchJSON(ctx, control, path, &r) {
		h.ingress.OriginsReceived(control, &r)
	}
}

// serveOrigins answers another host that asks where streams began. What this host does not remember it asks the others, since the
// other host hears none of them.
func (h *Host) serveOrigins(w http.ResponseWriter, r *http.Request) {
	var keys origin.Keys
	if err := keys.UnmarshalText([]byte(r.URL.Query().Get(keysParameter))); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.writeJSON(w, h.ingress.FindOrigins(r.Context(), keys, h.agent.AskOrigins))
}
