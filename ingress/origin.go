// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/origin"
	"github.com/heathkeel/heathkeel/route"
)

// Parameters of requests that resume streams.
const (
	// originRetryAfter is the Retry-After of a request whose stream's origin no host knows. Another host may know it once they hear
	// each other again.
	originRetryAfter = time.Second
	// maxResumesBytes limits the ID of the request that a caller resumes.
	maxResumesBytes = 256
	// unstatedVersion stands for the version of endpoints that state none.
	unstatedVersion = "unstated"
)

// originSource says how a host knows where a stream began.
type originSource string

const (
	originRemembered originSource = "remembered" // this host began it, or another one told it
	originAsked      originSource = "asked"      // another host answered
	originSaved      originSource = "saved"      // it was saved where it outlasts all hosts
	originSole       originSource = "sole"       // only one version has served since before it can have begun
)

// versionOf returns the version of an endpoint's software.
func versionOf(e *feed.Endpoint) string {
	if e.Version == "" {
		return unstatedVersion
	}
	return e.Version
}

// resumable reports whether callers may resume the streams of the route.
func (c *call) resumable() bool { return c.route.Kind == route.Stream && c.route.Resumable }

// resumes returns the ID of the request that brought the caller the first event of the stream that it resumes, or "".
func (c *call) resumes() string { return c.r.Header.Get(c.s.Headers.Resumes) }

// takesUpStream reports whether the caller has the first part of a stream and asks for the rest.
func (c *call) takesUpStream() bool { return c.resumable() && c.lastEvent() != "" }

// lastEvent returns the number of the last event that the caller has of the stream that it resumes, or "" if it has none.
func (c *call) lastEvent() string { return c.r.Header.Get(c.s.Headers.LastEvent) }

// originKey returns the key of the stream that a request of the call's workspace and route began at a service.
func (c *call) originKey(service, id string) origin.Key {
	workspace := ""
	if c.workspace != nil {
		workspace = c.workspace.Name
	}
	return origin.KeyOf(workspace, c.route.Name, service, id)
}

// continuesStream reports whether the caller has events of the stream, and its version is known.
func (c *call) continuesStream() bool {
	return c.stream.version != "" && c.lastEvent() != ""
}

// tokensMade returns how many tokens of a stream the caller that resumes it has, as far as the number of its last event tells: the endpoint
// makes only the rest.
func (c *call) tokensMade() int {
	if !c.resumable() {
		return 0
	}
	last, err := strconv.Atoi(c.lastEvent())
	if err != nil || last < 0 || last > c.tokensOut {
		return 0 // no stream, or not a count of events
	}
	return min(last*c.eventTokens(), c.tokensOut)
}

// bindOrigin finds out at which version the stream began that the caller resumes, and makes the request one for that version. It
// refuses a request whose stream may have begun at several versions.
func (c *call) bindOrigin(ctx context.Context) *refusal {
	hasEvents := c.lastEvent() != ""
	if !c.resumable() || (!hasEvents && c.resumes() == "") {
		return nil
	}
	found, heard := c.findOrigin(ctx)
	if found {
		return nil
	}
	if !hasEvents {
		return nil // the caller has no event, so that the stream begins anew
	}
	if version, ok := c.s.origins.sole(c.service.Name); ok && heard && c.listIsFresh() {
		c.stream.version, c.stream.source = version, originSole
		return nil
	}
	c.s.Count.NoOrigin.Add(1)
	return &refusal{
		status: http.StatusServiceUnavailable, retryAfter: originRetryAfter,
		why: "no host knows at which version of the endpoints' software this stream began, and another one may have; come back",
	}
}

// listIsFresh reports whether the list of endpoints is as young as it has to be for sends. A host that is cut off serves by an older
// one and may miss a version at which other hosts began streams since.
func (c *call) listIsFresh() bool {
	return c.s.DrainTime == 0 || c.s.listAge(c.s.Now()) < c.s.DrainTime
}

// findOrigin looks for the stream that the caller names, first among those that this host remembers, then at other hosts. If it finds
// it, it binds the request to the service and the version that began it. It also reports whether another host answered, if there is
// any: one that hears no other cannot know what the others began. Other hosts are asked also where the caller names no request, since their
// answers tell which versions they have listed.
func (c *call) findOrigin(ctx context.Context) (found, heard bool) {
	id := cmp.Or(c.resumes(), c.id)
	var keys origin.Keys
	for i := range c.route.Targets {
		keys = append(keys, c.originKey(c.route.Targets[i].Service, id))
	}
	source := originRemembered
	version, i, ok := c.s.origins.find(keys)
	if !ok {
		heard = c.s.origins.askOthers(ctx, keys, c.s.origins.ask)
		source = originAsked
		version, i, ok = c.s.origins.find(keys)
	}
	if !ok && c.s.origins.mayBeSaved(c.service.Name) {
		c.s.origins.readSaved(ctx)
		source = originSaved
		version, i, ok = c.s.origins.find(keys)
	}
	if !ok {
		return false, heard
	}
	service := c.table.Service(c.route.Targets[i].Service)
	if service == nil {
		return false, heard
	}
	c.service, c.stream.version, c.stream.source = service, version, source
	return true, heard
}

// noteOrigin remembers where the stream began, when its first event goes to the caller.
func (c *call) noteOrigin() {
	if !c.resumable() || c.endpoint.Instance == "" {
		return // a host to which the request was relayed remembers it
	}
	c.stream.version = versionOf(&c.endpoint)
	keys := origin.Keys{c.originKey(c.service.Name, c.id)}
	if id := c.resumes(); id != "" {
		keys = append(keys, c.originKey(c.service.Name, id))
	}
	c.s.origins.note(c.service.Name, c.stream.version, keys...)
}

// SetSavedOriginReader sets the function that reads the streams that were saved and passes them to RestoreOrigins; call it before the first
// request.
func (s *Server) SetSavedOriginReader(read func(ctx context.Context)) { s.origins.readSaved = read }

// SetOriginAsker sets the function that asks other hosts where streams began and returns how many it asked; call it before the first
// request.
func (s *Server) SetOriginAsker(ask func(keys origin.Keys) int) { s.origins.ask = ask }

// TakeOrigins returns the streams of which other hosts are to be told, each once.
func (s *Server) TakeOrigins() origin.Report {
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	return s.origins.book.TakeUntold()
}

// LookUpOrigins returns what this host knows of streams that another host asks about. It does not say of any that it is unknown before it
// has read the records of versions.
func (s *Server) LookUpOrigins(keys origin.Keys) origin.Report {
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	r := s.origins.book.LookUp(keys)
	if !s.origins.recordsRead {
		r.Unknown = nil
	}
	r.Seen = s.origins.history.Seen(s.Now())
	return r
}

// FindOrigins returns what this host knows of a stream, given its keys. If that is nothing, it asks other hosts with ask first, which
// returns how many it asked.
func (s *Server) FindOrigins(ctx context.Context, keys origin.Keys, ask func(origin.Keys) int) origin.Report {
	if _, _, ok := s.origins.find(keys); !ok {
		s.origins.askOthers(ctx, keys, ask)
	}
	return s.LookUpOrigins(keys)
}

// OriginsReceived applies what another host told about streams.
func (s *Server) OriginsReceived(host string, r *origin.Report) { s.origins.merge(host, r) }
