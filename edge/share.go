// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/peers"
	"github.com/heathkeel/heathkeel/places"
	"github.com/heathkeel/heathkeel/quarantine"
	"github.com/heathkeel/heathkeel/quota"
)

// Fill implements peers.Host.
func (h *Host) Fill(b *peers.Heartbeat) {
	b.Info = peers.HostInfo{
		Address: h.peerAddress(), Front: h.Boot.Front, Control: h.Boot.Control, Zone: h.Boot.Zone, Region: h.Boot.Region,
		Capacity: h.Boot.Capacity(), Ready: h.ready(), CutOff: h.ingress.CutOff(), Fresh: h.ingress.SettingsFresh(),
	}
	b.Load, b.Waiting = h.ingress.Loads()
	b.Zones = h.ingress.ZoneDemands()
	usage := h.ingress.Usage()
	b.Used, b.Left = usage.Used, usage.Left
	maps.Copy(b.Used, h.ingress.RolloutCounts())
	b.Limits = h.ingress.Limits(false)
	b.Crashes = h.Crashes(quarantine.Local)
}

// Stamps implements peers.Host. A host that waits for a confirmation after a gap names no versions: hosts
// that were suspended together would otherwise confirm to each other what they knew before.
func (h *Host) Stamps() (settings, endpoints peers.Stamp) {
	now := h.now()
	settings, endpoints = peers.Stamp{AgeMS: -1}, peers.Stamp{AgeMS: -1}
	if h.unconfirmed() {
		return settings, endpoints
	}
	if age, ok := h.settings.Age.At(now); ok {
		settings = peers.Stamp{Revision: h.settings.Age.Revision(), AgeMS: age.Milliseconds() + 1}
		if c := h.settings.Current(); c != nil {
			settings.Sum = uint64(c.Version())
		}
	}
	if v, ok := h.endpoints.View(); ok {
		endpoints = peers.Stamp{Revision: v.Revision, Sum: v.Checksum, AgeMS: (now - v.ProvenAt).Milliseconds() + 1}
	}
	return settings, endpoints
}

// UsageReceived implements peers.Host.
func (h *Host) UsageReceived(u peers.Usage) {
	h.ingress.MergeRolloutCounts(u.Source, u.Incarnation, u.Used)
	h.ingress.MergeUsage(u.Source, u.Incarnation, quota.Report{Hosts: u.Hosts, Used: u.Used, Left: u.Left})
}

// Limits implements peers.Host.
func (h *Host) Limits() map[string]places.LimitReports { return h.ingress.Limits(true) }

// LimitsReceived implements peers.Host.
func (h *Host) LimitsReceived(limits map[string]places.LimitReports) { h.ingress.MergeLimits(limits) }

// Crashes implements peers.Host.
func (h *Host) Crashes(to quarantine.Scope) quarantine.Evidence { return h.ingress.Crashes(to) }

// CrashesReceived implements peers.Host.
func (h *Host) CrashesReceived(t *quarantine.Evidence) bool { return h.ingress.MergeCrashes(t) }

// LoadChanges implements peers.Host.
func (h *Host) LoadChanges() (map[string]peers.Load, map[string][]int, bool) {
	return h.ingress.ChangedLoads()
}

// LoadsReceived implements peers.Host.
func (h *Host) LoadsReceived() { h.applyPeerLoads() }

// ProofReceived implements peers.Host. If a peer proves the versions that this host has, they are
// confirmed; newer versions are fetched.
func (h *Host) ProofReceived(p peers.Proof) {
	fetchSettings, fetchEndpoints := false, false
	if v := p.Settings; v.Known {
		fetchSettings = h.settings.ReceiveProof(v.Revision, int64(v.Sum), v.At)
	}
	if v := p.Endpoints; v.Known {
		fetchEndpoints = h.endpoints.ReceiveView(feedView(v))
	}
	if fetchSettings || fetchEndpoints {
		h.provenAt.Store(int64(h.now()))
	}
	if fetchSettings {
		requestFetch(h.settingsToFetch, p)
	}
	if fetchEndpoints {
		requestFetch(h.endpointsToFetch, p)
	}
	if !fetchSettings && !fetchEndpoints && p.Settings.Known && p.Endpoints.Known {
		h.gaps.nothingNewerAt.Store(int64(h.now()))
	}
}

// requestFetch queues a fetch of what a peer proved, unless one is queued already. The next
// heartbeat announces anything that is newer still.
func requestFetch(pending chan peers.Proof, p peers.Proof) {
	select {
	case pending <- p:
	default:
	}
}

// feedView converts the version of the endpoints that a peer proved.
func feedView(v peers.Version) feed.View {
	return feed.View{Revision: v.Revision, Checksum: v.Sum, ProvenAt: v.At}
}

// fetchSettings and fetchEndpoints fetch newer versions from peers until ctx ends. The list of
// endpoints does not wait for the settings, which may be large: the age of both is limited.
func (h *Host) fetchSettings(ctx context.Context) {
	fetch(ctx, h, h.settingsToFetch, h.fetchSettingsFrom)
}
func (h *Host) fetchEndpoints(ctx context.Context) {
	fetch(ctx, h, h.endpointsToFetch, h.fetchEndpointsFrom)
}

// fetchHosts fetches the hosts that others know until ctx ends.
func (h *Host) fetchHosts(ctx context.Context) {
	fetch(ctx, h, h.hostsToFetch, func(ctx context.Context, control string) {
		var known []peers.KnownHost
		if h.fetchJSON(ctx, control, pathHosts, &known) {
			h.agent.Learn(known)
		}
	})
}

// requestHosts queues a fetch of the hosts that another host knows, unless one is queued already.
func (h *Host) requestHosts(control string) {
	select {
	case h.hostsToFetch <- control:
	default:
	}
}

// fetch runs the queued fetches of a host one at a time.
func fetch[T any](ctx context.Context, h *Host, pending chan T, fetchOne func(context.Context, T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-pending:
			start := h.now()
			cctx, cancel := context.WithTimeout(ctx, fetchTimeout)
			fetchOne(cctx, p)
			cancel()
			h.fetchStats.longestMS.Store(max(h.fetchStats.longestMS.Load(), (h.now() - start).Milliseconds()))
		}
	}
}

// fetchStats counts the fetches from peers.
type fetchStats struct {
	started, failed atomic.Int64
	longestMS       atomic.Int64
}

// fetchTimeout limits the time for a fetch. If a peer does not answer, the heartbeat of another
// peer triggers the next fetch.
const fetchTimeout = 500 * time.Millisecond

// fetchSettingsFrom fetches the settings that a peer proved.
func (h *Host) fetchSettingsFrom(ctx context.Context, p peers.Proof) {
	var b settingsBody
	path := pathSettings
	if src := h.settings.Current(); src != nil {
		path += "?" + knownConfig + "=" + configName(src)
	}
	if h.fetchJSON(ctx, p.Control, path, &b) {
		if len(b.Value) > 0 { // otherwise left out, since this host had that configuration when it asked
			h.settings.Offer(b.Value, b.Revision)
		}
		h.settings.OfferOrders(b.Orders)
		// A peer that has restarted may send older settings than it had proven.
		h.settings.ReceiveProof(p.Settings.Revision, int64(p.Settings.Sum), p.Settings.At)
	}
}

// fetchEndpointsFrom fetches the list of endpoints that a peer proved.
func (h *Host) fetchEndpointsFrom(ctx context.Context, p peers.Proof) {
	var l feed.EndpointList
	path := pathEndpoints
	if v, ok := h.endpoints.View(); ok {
		path += "?" + knownChecksum + "=" + strconv.FormatUint(v.Checksum, 10)
	}
	if h.fetchJSON(ctx, p.Control, path, &l) {
		h.endpoints.Offer(l)
		h.endpoints.ReceiveView(feedView(p.Endpoints))
	}
}

// fetchJSON fetches and decodes an answer of a peer and counts failures. It reports success.
func (h *Host) fetchJSON(ctx context.Context, control, path string, out any) bool {
	h.fetchStats.started.Add(1)
	if !h.tryFetchJSON(ctx, control, path, out) {
		h.fetchStats.failed.Add(1)
		return false
	}
	return true
}

// tryFetchJSON fetches and decodes an answer of a peer. It reports success.
func (h *Host) tryFetchJSON(ctx context.Context, control, path string, out any) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+path, nil)
	if err != nil {
		h.Log.Error(err, "invalid address of a peer", "peer", control)
		return false
	}
	resp, err := h.peerHTTP.Do(req)
	if err != nil {
		h.Log.V(1).Info("request to a peer failed", "peer", control, "path", path, "cause", err.Error())
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			h.peerHTTP.CloseIdleConnections() // they may have stopped responding together with this one
		}
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		h.Log.V(1).Info("peer answered with an error status", "peer", control, "path", path, "status", resp.StatusCode)
		return false
	}
	if err := h.decodePeerAnswer(resp, out); err != nil {
		h.Log.Error(err, "cannot decode the answer of a peer", "peer", control, "path", path)
		return false
	}
	return true
}

// applyPeerLoads passes the loads that the other hosts reported to the ingress.
func (h *Host) applyPeerLoads() {
	h.ingress.SetPeerLoads(h.agent.PeerLoads())
}

// storeCountPeriod is the time after its start for which a host also uses the number of hosts
// according to the entries in the store. Entries of hosts that ended stay there for some seconds.
// But until heartbeats have arrived, a host that counts only itself would use the full amount of
// each workspace, and so would every other host that starts at that moment. The period is as long
// as quota.Book accepts levels from peers.
const storeCountPeriod = 2 * time.Second

// applyHostCount tells the ingress which hosts, and how many, share amounts and endpoints with this
// one.
func (h *Host) applyHostCount() {
	h.ingress.RetainHosts(h.agent.UsageSources())
	members := h.agent.Unexpired()
	h.setFleet(members)
	if h.ZoneSpill == ZoneSpillObserved {
		h.ingress.SetZoneHosts(hostsByZone(h.agent.Live()))
	}
	n := 1 + len(members)
	if n == 1 && len(h.Boot.Seeds) > 1 {
		n = len(h.Boot.Seeds)
	}
	if h.now() < storeCountPeriod {
		n = max(n, int(h.hostsInStore.Load()))
	}
	h.ingress.SetHosts(n, peers.ReportInterval(n))
}

// setFleet tells the ingress which hosts there may be, and which of them may own slots, if endpoints have limits that concern all hosts.
// Hosts that this host has heard of before, or that the entries in the store tell of, count also if it hears them no more: they may be
// cut off.
func (h *Host) setFleet(members []peers.Member) {
	count := max(h.mostHosts.note(h.now(), max(1+len(members), len(h.Boot.Seeds))), int(h.hostsInStore.Load()))
	if h.ingress.NeedsOwners() {
		heard := 1 + len(h.agent.Live())
		h.ingress.SetOwners(h.agent.OwnerCandidates(), float64(heard)/float64(max(count, heard)))
	}
	if !h.ingress.LimitsCold() {
		return
	}
	self := places.Candidate{Host: h.Boot.Host, Zone: h.Boot.Zone}
	f := places.Fleet{Self: self, Hosts: []places.Candidate{self}, Count: count}
	for _, m := range members {
		f.Hosts = append(f.Hosts, places.Candidate{Host: m.Host, Zone: m.Info.Zone})
	}
	h.ingress.SetFleet(f)
}

// recentMax is the largest of the numbers noted recently.
type recentMax struct {
	mu  sync.Mutex
	max int
	at  time.Duration // when the largest number was noted last
}

// recentMaxTTL is the time for which recentMax remembers a number: longer than hosts are usually cut off, and not so long that
// a fleet which was made smaller counts as cut off for hours.
const recentMaxTTL = 10 * time.Minute

// note adds a number and returns the largest one.
func (m *recentMax) note(now time.Duration, n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n >= m.max || now-m.at > recentMaxTTL {
		m.max, m.at = n, now
	}
	return m.max
}

// settingsBody holds the settings in the form in which hosts pass them on.
type settingsBody struct {
	// Revision is the store's revision of the configuration.
	Revision uint64 `json:"revision"`
	// Value is the configuration document; it is left out if the other host has that revision.
	Value []byte `json:"value,omitempty"`
	// Orders are the operators' other orders.
	Orders feed.Orders `json:"orders"`
}

// knownConfig is the query parameter with the name of the configuration that a host already has.
const knownConfig = "known"

// configName returns what identifies a configuration among hosts. The version tells one that a host has kept from the older one with
// which the store came back.
func configName(c *feed.Config) string { return fmt.Sprintf("%d-%d", c.Revision, c.Version()) }

// Paths at which other hosts fetch the settings and the endpoints in force, and the hosts that are known.
const (
	pathSettings  = "/v1/settings"
	pathEndpoints = "/v1/endpoints"
	pathHosts     = "/v1/hosts"
)

// serveSettings answers other hosts with the settings in force.
func (h *Host) serveSettings(w http.ResponseWriter, r *http.Request) {
	src := h.settings.Current()
	if src == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body := settingsBody{Revision: src.Revision, Value: src.Value, Orders: h.settings.Orders()}
	if r.URL.Query().Get(knownConfig) == configName(src) {
		body.Value = nil
	}
	version := fmt.Sprint(configName(src), len(body.Value), body.Orders.Revision)
	h.noteAnswer(h.answers.write(w, r, version, 0, func() any { return body }))
}

// knownChecksum is the query parameter with the checksum of the view of the endpoints that a host already has.
const knownChecksum = "known"

// serveEndpoints answers other hosts with the endpoints in force, or with what has changed since the list that
// they have.
func (h *Host) serveEndpoints(w http.ResponseWriter, r *http.Request) {
	known, err := strconv.ParseUint(r.URL.Query().Get(knownChecksum), 10, 64)
	if err != nil {
		known = 0 // the whole list is right for any host
	}
	l, ok := h.endpoints.ListSince(known)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	version := fmt.Sprint(l.Revision, l.Since, len(l.Endpoints))
	h.noteAnswer(h.answers.write(w, r, version, answerTTL, func() any { return l }))
}

// serveHosts answers other hosts with the hosts that are known.
func (h *Host) serveHosts(w http.ResponseWriter, r *http.Request) {
	h.noteAnswer(h.answers.write(w, r, "", answerTTL, func() any { return h.agent.KnownHosts() }))
}

// writeJSON writes a JSON answer.
func (h *Host) writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	h.noteAnswer(json.NewEncoder(w).Encode(body))
}

// noteAnswer logs that an answer to another host was not written.
func (h *Host) noteAnswer(err error) {
	if err != nil {
		h.Log.V(1).Info("cannot write an answer", "cause", err.Error())
	}
}
