// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"slices"
	"time"
)

// Figures of what is told.
const (
	// tellFor is the time for which evidence is told after it came: ten heartbeats, so that a tenth of them may be lost.
	tellFor = 2 * time.Second
	// mostNews and mostHolds bound what is told at once, in entries of some 40 and 90 bytes; holds are told in turn.
	mostNews  = 32
	mostHolds = 2
)

// Outgoing gives what is to be told: evidence that came lately, the newest first, and some of the requests that are held, so that
// hosts that start learn of all of them in time.
func (b *Registry) Outgoing(now time.Duration, to Scope) Evidence {
	old := slices.IndexFunc(b.news, func(n news) bool { return now-n.at < tellFor })
	if old < 0 {
		old = len(b.news)
	}
	b.news = slices.Delete(b.news, 0, old)
	var t Evidence
	for i := len(b.news) - 1; i >= 0 && len(t.Crashes)+len(t.Clears) < mostNews; i-- {
		n := &b.news[i]
		if s := b.suspects[n.fingerprint]; s != nil && (to == All || (to == Local && n.own) || (to == Repeated && s.wide)) {
			s.tell(now, n, &t)
		}
	}
	for range min(mostHolds, len(b.watched)) {
		b.turn %= len(b.watched)
		f := b.watched[b.turn]
		b.turn++
		t.Holds = append(t.Holds, b.suspects[f].standing(now, f))
	}
	return t
}

// standing tells that a request is on trial or held.
func (s *suspect) standing(now time.Duration, f Fingerprint) Hold {
	h := Hold{Fingerprint: f, OnTrial: true, Trials: s.trials, HoldCount: s.times, AgeMS: (now - s.newest).Milliseconds()}
	if s.trials > 0 {
		h.LastTrialMS = (now - s.tried).Milliseconds()
	}
	if now < s.until {
		h.LeftMS, h.Request, h.SavedMS = (s.until - now).Milliseconds(), s.request, s.keptFor(now).Milliseconds()
	}
	return h
}

// tell adds one piece of news, if it still holds.
func (s *suspect) tell(now time.Duration, n *news, t *Evidence) {
	if n.life == "" {
		t.Clears = append(t.Clears, Clear{n.fingerprint, (now - s.cleared).Milliseconds()})
	} else if c, ok := s.crashes[n.life]; ok {
		t.Crashes = append(t.Crashes, Crash{n.fingerprint, n.life, (now - c.at).Milliseconds(), c.ran.Milliseconds(), c.mute, c.host, c.unsure})
	}
}

// Merge takes what another host tells. It returns true if some of it is new and concerns all hosts.
func (b *Registry) Merge(now time.Duration, t *Evidence) bool {
	fresh := false
	for _, c := range t.Clears {
		if b.clear(now, c.Fingerprint, aged(now, c.AgeMS), false) {
			fresh = fresh || b.suspects[c.Fingerprint].wide
		}
	}
	for _, c := range t.Crashes {
		if len(c.Incarnation) > longestName || len(c.Host) > longestName {
			continue
		}
		if b.crashed(now, c.Fingerprint, c.Incarnation, crash{aged(now, c.AgeMS), spent(c.RequestAgeMS), c.NoResponse, c.Inconclusive, c.Host}) {
			fresh = fresh || b.suspects[c.Fingerprint].wide
		}
	}
	for _, h := range t.Holds {
		b.hearHold(now, h)
	}
	return fresh
}

// longestName bounds the names of endpoints' lives, hosts and requests that other hosts tell, in bytes.
const longestName = 200

// hearHold takes what another host tells of a request that is on trial or held, unless the request was answered since.
func (b *Registry) hearHold(now time.Duration, h Hold) {
	left := time.Duration(min(h.LeftMS, longestHold.Milliseconds())) * time.Millisecond
	holds := left > 0 && h.HoldCount > 0
	if !holds && !h.OnTrial {
		return
	}
	s := b.suspect(h.Fingerprint)
	newest := aged(now, h.AgeMS)
	if newest <= s.cleared && (h.Trials == 0 || aged(now, h.LastTrialMS) <= s.cleared) {
		return // a send that was granted since counts, also where its host had not heard of the answer
	}
	if s.request == "" && len(h.Request) <= longestName {
		s.request = h.Request
	}
	if h.SavedMS > 0 {
		s.keptAt = max(s.keptAt, aged(now, h.SavedMS), 1)
	}
	s.newest = max(s.newest, newest)
	b.hearTrials(now, &h, s)
	if !holds || now+left < s.until+holdStep {
		return
	}
	s.wide, s.times = true, max(s.times, min(h.HoldCount, mostTimes))
	b.hold(h.Fingerprint, s, now+left)
}

// hearTrials takes the sends on trial that another host knows of.
func (b *Registry) hearTrials(now time.Duration, h *Hold, s *suspect) {
	if h.Trials > s.trials {
		s.trials, s.tried = min(h.Trials, mostTrials+mostTimes), max(s.tried, aged(now, h.LastTrialMS), 1)
	}
	if !s.onTrial {
		b.watch(h.Fingerprint, s)
	}
}

// holdStep is the time by which another host's hold must end later than the own one to be taken: with less, the times that
// datagrams take would add up.
const holdStep = time.Second

// mostTimes bounds the holds that another host may tell of.
const mostTimes = 16
