// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/ingress"
	"github.com/heathkeel/heathkeel/metrics"
)

// vars are the variables that a host reports about itself.
type vars struct {
	// Requests counts requests by outcome since the start.
	Requests map[string]int64 `json:"requests"`
	// Series are histograms per workspace and tier, in microseconds.
	Series []metrics.Series `json:"series"`
	// Memory holds the bytes held by purpose, and MemoryLimit the limit of their sum.
	Memory      map[ingress.Purpose]int64 `json:"memory"`
	MemoryLimit int64                     `json:"memory_limit"`
	// Active is the number of requests being handled.
	Active int64 `json:"active"`
	// SettingsRevision and SettingsAgeMS are the revision and the maximum age of the settings in
	// force; the age is -1 if there are none. SettingsRefused counts documents that could not be
	// parsed.
	SettingsRevision uint64 `json:"settings_revision"`
	SettingsAgeMS    int64  `json:"settings_age_ms"`
	SettingsRefused  int64  `json:"settings_refused"`
	// Endpoints counts the endpoints by state. EndpointsRevision and EndpointsAgeMS are the
	// revision and the maximum age of the list in force; the age is -1 if there is none.
	Endpoints         map[feed.State]int `json:"endpoints"`
	EndpointsRevision uint64             `json:"endpoints_revision"`
	EndpointsAgeMS    int64              `json:"endpoints_age_ms"`
	// EndpointsForeign counts entries that another program wrote below the prefix of the endpoints.
	EndpointsForeign int `json:"endpoints_foreign"`
	// StoreAnswered, StoreRefused and StoreUnanswered count this host's calls to the store that
	// follow settings and endpoints, by outcome. StoreSlowestMS is the longest time in which one was
	// answered. StoreOutages counts how often the store began to fail for this host, and
	// StoreFailing reports that it fails now.
	StoreAnswered   int64 `json:"store_answered"`
	StoreRefused    int64 `json:"store_refused"`
	StoreUnanswered int64 `json:"store_unanswered"`
	StoreSlowestMS  int64 `json:"store_slowest_ms"`
	StoreOutages    int64 `json:"store_outages"`
	StoreFailing    bool  `json:"store_failing"`
	// Fetches counts fetches of newer settings and lists from other hosts, FetchesFailed those
	// without an answer in time, and FetchLongestMS is the longest duration of one.
	Fetches        int64 `json:"fetches"`
	FetchesFailed  int64 `json:"fetches_failed"`
	FetchLongestMS int64 `json:"fetch_longest_ms"`
	// SlotsOwned counts the endpoints whose slots this host grants, or granted recently.
	SlotsOwned int `json:"places_owned"`
	// EndpointsEjected counts the endpoints that get no work now because they fail. Ejections
	// counts how often this host ejected an endpoint because its own requests failed there.
	EndpointsEjected int `json:"endpoints_ejected"`
	Ejections        int `json:"ejections"`
	// StoreEras counts how often the store came back from an older copy.
	StoreEras int64 `json:"store_eras"`
	// EndpointsLimited counts the endpoints that take requests with grants only, because of limits that they state.
	EndpointsLimited int `json:"endpoints_limited"`
	// EndpointsResting is the number of endpoints that asked this host for rest that is not over.
	EndpointsResting int `json:"endpoints_resting"`
	// EndpointsSlow is the number of endpoints that state that work takes notably longer there than usual.
	EndpointsSlow int `json:"endpoints_slow"`
	// RequestsSuspected counts the requests under which an endpoint crashed in the last hour, and
	// RequestsHeld those of them that are refused now.
	RequestsSuspected int `json:"requests_suspected"`
	RequestsHeld      int `json:"requests_held"`
	// Gaps counts the times in which the process did not run, because the host was suspended or the
	// process was stalled. GapMS is their total duration.
	Gaps  int64 `json:"wakes"`
	GapMS int64 `json:"asleep_ms"`
	// PeersLive is the number of other hosts heard from recently, and PeersUnexpired the number of
	// those that may still be running.
	PeersLive      int `json:"peers_live"`
	PeersUnexpired int `json:"peers_counted"`
	// ConnectionsOpened counts the connections opened to endpoints.
	ConnectionsOpened int64 `json:"connections_opened"`
	// Ready reports that the host accepts requests, and SettingsFresh that it accepts requests with
	// keys.
	Ready         bool `json:"ready"`
	SettingsFresh bool `json:"fresh"`
	// CrossZone counts what this host sent to endpoints in other zones, by pair of zones and reason.
	CrossZone []ingress.ZoneTraffic `json:"cross_zone"`
	// WorkspaceSlots is what workspaces got of the slots that this host owns.
	WorkspaceSlots map[string]ingress.WorkspaceSlots `json:"workspace_slots"`
	// InForce shows the switches of the command line as they are in force.
	InForce map[string]string `json:"in_force"`
}

// ownRevision returns the store's own revision of a number that orders the revisions of all eras.
func ownRevision(revision uint64) uint64 { _, own := feed.SplitEra(revision); return own }

// vars collects the variables.
func (h *Host) vars() vars {
	v := vars{
		Requests: h.ingress.Count.All(), Series: h.ingress.Metrics.Export(), Active: h.ingress.Active(), SettingsAgeMS: -1,
		SettingsRevision: ownRevision(h.settings.Age.Revision()), SettingsRefused: h.settings.RefusedCount(),
		PeersLive: len(h.agent.Live()), PeersUnexpired: len(h.agent.Unexpired()),
		ConnectionsOpened: h.ingress.OpenedConnections(), Ready: h.ready(), SettingsFresh: h.ingress.SettingsFresh(),
	}
	v.CrossZone, v.InForce = h.ingress.CrossZoneTraffic(), h.inForce()
	v.Memory, v.MemoryLimit = h.ingress.MemoryAccount().Used()
	if age, ok := h.settings.Age.At(h.now()); ok {
		v.SettingsAgeMS = age.Milliseconds()
	}
	v.Endpoints, v.EndpointsAgeMS = h.endpoints.StateCounts(), -1
	v.Fetches, v.FetchesFailed, v.FetchLongestMS = h.fetchStats.started.Load(), h.fetchStats.failed.Load(), h.fetchStats.longestMS.Load()
	calls, failing := h.storeHealth.CallCounts()
	v.StoreAnswered, v.StoreRefused, v.StoreUnanswered = calls.Answered, calls.Refused, calls.Unanswered
	v.StoreSlowestMS, v.StoreOutages, v.StoreFailing = calls.SlowestMS, calls.Outages, failing
	v.StoreEras = h.storeEras.Load()
	v.WorkspaceSlots = h.ingress.WorkspaceSlots()
	v.SlotsOwned = h.ingress.SlotsOwned()
	v.EndpointsEjected, v.Ejections = h.ingress.EjectionCounts()
	v.EndpointsLimited = h.ingress.LimitedEndpoints()
	v.EndpointsResting = h.ingress.RestingEndpoints()
	v.EndpointsSlow = h.ingress.StatedSlow()
	v.Gaps, v.GapMS = h.gaps.count.Load(), h.gaps.totalMS.Load()
	v.RequestsSuspected, v.RequestsHeld = h.ingress.SuspectCounts()
	v.EndpointsForeign = h.endpoints.ForeignCount()
	if view, ok := h.endpoints.View(); ok {
		v.EndpointsRevision, v.EndpointsAgeMS = ownRevision(view.Revision), (h.now() - view.ProvenAt).Milliseconds()
	}
	return v
}

// serveVars answers with expvar's variables and those of the host. Several hosts may run in one
// process, so the host's variables are not published in expvar by name.
func (h *Host) serveVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	own, err := json.Marshal(h.vars())
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "{%q: %s", "heathkeel_edge", own)
	expvar.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value) })
	fmt.Fprintln(w, "}")
}
