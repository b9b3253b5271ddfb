// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/peers"
	"github.com/heathkeel/heathkeel/quarantine"
	"github.com/heathkeel/heathkeel/quota"
)

// Fill implements peers.Host.
func (h *Host) Fill(b *peers.Heartbeat) {
	b.Info = peers.HostInfo{
		Address: h.peerAddress(), Front: h.Boot.Front, Control: h.Boot.Control, Zone: h.Boot.Zone, Region: h.Boot.Region,
		Capacity: h.Boot.Capacity(), Ready: h.ready(), Fresh: h.ingress.SettingsFresh(),
	}
	b.Load, b.Waiting = h.ingress.Loads()
	told := h.ingress.Usage()
	b.Used, b.Left = told.Used, told.Left
	b.Crashes = h.Crashes(quarantine.Local)
}

// Stamps implements peers.Host.
func (h *Host) Stamps() (settings, endpoints peers.Stamp) {
	now := h.now()
	settings, endpoints = peers.Stamp{AgeMS: -1}, peers.Stamp{AgeMS: -1}
	if age, ok := h.settings.Age.At(now); ok {
		settings = peers.Stamp{Revision: h.settings.Age.Revision(), AgeMS: age.Milliseconds() + 1}
	}
	if v, ok := h.endpoints.View(); ok {
		endpoints = peers.Stamp{Revision: v.Revision, Sum: v.Checksum, AgeMS: (now - v.ProvenAt).Milliseconds() + 1}
	}
	return settings, endpoints
}

// UsageReceived implements peers.Host.
func (h *Host) UsageReceived(u peers.Usage) {
	h.ingress.MergeUsage(u.Source, u.Incarnation, quota.Report{Hosts: u.Hosts, Used: u.Used, Left: u.Left})
}

// Crashes implements peers.Host.
func (h *Host) Crashes(to quarantine.Scope) quarantine.Evidence { return h.ingress.Crashes(to) }

// CrashesReceived implements peers.Host.
func (h *Host) CrashesReceived(t *quarantine.Evidence) bool { return h.ingress.MergeCrashes(t) }

// LoadChanges implements peers.Host.
func (h *Host) LoadChanges() (map[string]peers.Load, map[string][]int, bool) {
	return h.ingress.ChangedLoads()
}

// LoadsReceived implements peers.Host.
func (h *Host) LoadsReceived() { h.shareLoads() }

// ProofReceived implements peers.Host: settings and endpoints that a peer knows to be newest are
// so here too, and newer ones are asked for.
func (h *Host) ProofReceived(p peers.Proof) {
	settings, endpoints := false, false
	if v := p.Settings; v.Known {
		switch have := h.settings.Age.Revision(); {
		case v.Revision == have:
			h.settings.Age.Prove(v.Revision, v.At)
		case v.Revision > have:
			settings = true
		}
	}
	if v := p.Endpoints; v.Known {
		endpoints = h.endpoints.ReceiveView(viewOf(v))
	}
	if settings {
		want(h.wantedSettings, p)
	}
	if endpoints {
		want(h.wantedEndpoints, p)
	}
	if !settings && !endpoints && p.Settings.Known && p.Endpoints.Known {
		h.waking.level.Store(int64(h.now()))
	}
}

// want lets what a peer proved be asked for, unless something is asked for already: the next heartbeat tells of what is newer still.
func want(wanted chan peers.Proof, p peers.Proof) {
	select {
	case wanted <- p:
	default:
	}
}

// viewOf names the endpoints that a peer proved.
func viewOf(v peers.Version) feed.View {
	return feed.View{Revision: v.Revision, Checksum: v.Sum, ProvenAt: v.At}
}

// fetchSettings and fetchEndpoints ask peers for what they know better, until ctx ends. The list of endpoints does not wait for
// settings, which may be large: both have bounds on their age.
func (h *Host) fetchSettings(ctx context.Context)  { h.fetch(ctx, h.wantedSettings, h.askSettings) }
func (h *Host) fetchEndpoints(ctx context.Context) { h.fetch(ctx, h.wantedEndpoints, h.askEndpoints) }

// fetch asks peers for what they proved, one at a time.
func (h *Host) fetch(ctx context.Context, wanted chan peers.Proof, ask func(context.Context, peers.Proof)) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-wanted:
			began := h.now()
			cctx, cancel := context.WithTimeout(ctx, fetchTimeout)
			ask(cctx, p)
			cancel()
			h.fetched.longestMS.Store(max(h.fetched.longestMS.Load(), (h.now() - began).Milliseconds()))
		}
	}
}

// fetches counts the questions to peers for what they know better.
type fetches struct {
	asked, failed atomic.Int64
	longestMS     atomic.Int64
}

// fetchTimeout bounds a question to a peer. A peer that does not answer is followed by
// another one's heartbeat.
const fetchTimeout = 500 * time.Millisecond

// askSettings asks a peer for the settings that it proved.
func (h *Host) askSettings(ctx context.Context, p peers.Proof) {
	var b settingsBody
	if h.ask(ctx, p.Control, pathSettings, &b) {
		h.settings.Offer(b.Value, b.Revision)
		h.settings.Age.Prove(p.Settings.Revision, p.Settings.At)
	}
}

// askEndpoints asks a peer for the list of endpoints that it proved.
func (h *Host) askEndpoints(ctx context.Context, p peers.Proof) {
	var l feed.EndpointList
	if h.ask(ctx, p.Control, pathEndpoints, &l) {
		h.endpoints.Offer(l)
		h.endpoints.ReceiveView(viewOf(p.Endpoints))
	}
}

// ask reads a peer's answer and reports whether there was one.
func (h *Host) ask(ctx context.Context, control, path string, out any) bool {
	h.fetched.asked.Add(1)
	if !h.askOnce(ctx, control, path, out) {
		h.fetched.failed.Add(1)
		return false
	}
	return true
}

// askOnce asks and reads the answer.
func (h *Host) askOnce(ctx context.Context, control, path string, out any) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+path, nil)
	if err != nil {
		h.Log.Error(err, "peer's address cannot be asked", "peer", control)
		return false
	}
	resp, err := h.peerHTTP.Do(req)
	if err != nil {
		h.Log.V(1).Info("peer not reached", "peer", control, "path", path, "cause", err.Error())
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			h.peerHTTP.CloseIdleConnections() // they may have fallen silent with this one
		}
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		h.Log.V(1).Info("peer has no answer", "peer", control, "path", path, "status", resp.StatusCode)
		return false
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		h.Log.Error(err, "peer's answer cannot be read", "peer", control, "path", path)
		return false
	}
	return true
}

// shareLoads gives the ingress what the other hosts told of their requests.
func (h *Host) shareLoads() {
	h.ingress.SetPeerLoads(h.agent.PeerLoads())
}

// foundFor is the time after its start for which a host counts the entries in the store among
// the hosts: those of hosts that ended stay there for some seconds, but until heartbeats have
// come, a host that counts itself alone takes all of an amount, and so does each other one that
// starts at that moment. It is as long as a book takes levels from peers.
const foundFor = 2 * time.Second

// shareHosts tells the ingress which hosts share amounts and endpoints with this one.
func (h *Host) shareHosts() {
	h.ingress.RetainHosts(h.agent.UsageSources())
	n := 1 + len(h.agent.Unexpired())
	if n == 1 && len(h.Boot.Seeds) > 1 {
		n = len(h.Boot.Seeds)
	}
	if h.now() < foundFor {
		n = max(n, int(h.found.Load()))
	}
	h.ingress.SetHosts(n, peers.ReportInterval(n))
}

// settingsBody is how hosts pass the configuration on.
type settingsBody struct {
	// Revision is the number of its write.
	Revision uint64 `json:"revision"`
	// Value is the document.
	Value []byte `json:"value"`
}

// Paths at which other hosts ask for the configuration and the endpoints in force.
const (
	pathSettings  = "/v1/settings"
	pathEndpoints = "/v1/endpoints"
)

// answerSettings answers other hosts with the configuration in force.
func (h *Host) answerSettings(w http.ResponseWriter, _ *http.Request) {
	src := h.settings.Current()
	if src == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.answer(w, settingsBody{src.Revision, src.Value})
}

// answerEndpoints answers other hosts with the endpoints in force.
func (h *Host) answerEndpoints(w http.ResponseWriter, _ *http.Request) {
	l, ok := h.endpoints.List()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.answer(w, l)
}

// answer writes JSON.
func (h *Host) answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		h.Log.V(1).Info("answer not written", "cause", err.Error())
	}
}
