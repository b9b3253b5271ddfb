// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/heathkeel/heathkeel/internal/site"
)

// Readers are callers who resume a stream at any host when it breaks. Half of the engines are of another version than the rest.
const (
	readers      = 4
	readerSource = 1 << 21 // of the readers' random choices, beside those of the other callers
	readerTries  = 5
)

// engineVersions are the versions of the engines' software, in turn.
var engineVersions = []string{"v1", "v2"}

// readStreams reads streams one after the other until ctx ends.
func (c *clients) readStreams(ctx context.Context, r *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		c.readStream(ctx, transport, r)
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
	}
}

// readStream reads one stream, with further requests where it breaks off. In some of them the caller leaves.
func (c *clients) readStream(ctx context.Context, t *http.Transport, r *rand.Rand) {
	resumes, last := "", 0
	for range cmp.Or(c.readerTries, readerTries) {
		s := c.nextStreamRequest(c.fleet.hosts[r.IntN(len(c.fleet.hosts))], resumes, last)
		leave := time.Duration(0)
		if r.IntN(3) == 0 {
			leave = time.Duration(60+r.IntN(200)) * time.Millisecond
		}
		c.do(t, s, leave)
		if s.status == http.StatusOK && s.complete || ctx.Err() != nil {
			return
		}
		if s.events() > 0 && resumes == "" {
			resumes = s.id
		}
		last += s.events()
		time.Sleep(time.Duration(20+r.IntN(200)) * time.Millisecond)
	}
}

// nextStreamRequest creates and records a request for the events of a stream after the last one; resumes is the request that brought
// the first event, or empty.
func (c *clients) nextStreamRequest(h *host, resumes string, last int) *sentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &sentRequest{id: fmt.Sprint("id-", len(c.sent)+1), kind: kinds[3], host: h, generation: c.generation, sentAt: time.Now(), resumes: resumes, lastEvent: last}
	c.sent = append(c.sent, s)
	return s
}

// events returns the number of whole events that the caller received.
func (s *sentRequest) events() int { return strings.Count(s.body, "\n\n") }

// wantedStream returns the events that the request asks for.
func (s *sentRequest) wantedStream() string {
	return strings.TrimPrefix(site.StreamBody(streamEvents), site.StreamBody(s.lastEvent))
}

// mixedStreams checks that the events of each stream come from endpoints of one version.
func (r *record) mixedStreams() []string {
	versions := make(map[string][]string)
	for _, s := range r.sent {
		stream := s.id
		if s.resumes != "" {
			stream = s.resumes
		}
		versions[stream] = append(versions[stream], r.versionsOf(s)...)
	}
	var out []string
	for stream, list := range versions {
		slices.Sort(list)
		if list = slices.Compact(list); len(list) > 1 {
			out = append(out, fmt.Sprintf("stream %s has events of %v", stream, list))
		}
	}
	return out
}

// versionsOf returns the versions of the engines that wrote the events of one request. A run wrote what lies between the last event with
// which it was asked for and that of the next run, or what the caller received.
func (r *record) versionsOf(s *sentRequest) []string {
	runs := slices.Clone(r.runs[s.id])
	slices.SortFunc(runs, func(x, y arrival) int { return x.ReceivedAt.Compare(y.ReceivedAt) })
	var out []string
	for i := range runs {
		end := s.lastEvent + s.events()
		if i+1 < len(runs) {
			end = min(end, runs[i+1].LastEvent)
		}
		if end > runs[i].LastEvent && runs[i].endpoint.version != "" {
			out = append(out, runs[i].endpoint.version)
		}
	}
	return out
}

// resumed returns the number of requests that resumed a stream, and of those that brought an event or the end.
func (r *record) resumed() (asked, wentOn int) {
	for _, s := range r.sent {
		if s.resumes == "" {
			continue
		}
		asked++
		if s.status == http.StatusOK && (s.events() > 0 || s.complete) {
			wentOn++
		}
	}
	return asked, wentOn
}
