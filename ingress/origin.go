// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/origin"
	"github.com/heathkeel/heathkeel/route"
)

// Parameters of finding out where a stream began.
const (
	// originWait is the time for which a request that takes up a stream waits for other hosts to tell where it began: some round
	// trips between zones. originRetry is the time after which they are asked once more, since datagrams are lost.
	originWait  = 120 * time.Millisecond
	originRetry = 40 * time.Millisecond
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
	originSole       originSource = "sole"       // only one version has served since before it can have begun
)

// origins knows at which version of the endpoints' software streams began.
type origins struct {
	now func() time.Duration
	// ask asks other hosts where streams began, and returns how many hosts it asked.
	ask func(keys origin.Keys) int

	mu      sync.Mutex
	book    origin.Book
	history origin.History
	queries map[origin.Key]map[*originQuery]bool
}

// originQuery is a question to other hosts about one stream, by its keys at the services that may have begun it.
type originQuery struct {
	keys    origin.Keys
	asked   int
	unknown map[string]bool // hosts that do not know it
	done    chan struct{}   // closed when a host knows it, or all have answered that they do not
	over    bool
}

// versionOf returns the version of an endpoint's software.
func versionOf(e *feed.Endpoint) string {
	if e.Version == "" {
		return unstatedVersion
	}
	return e.Version
}

// setEndpoints applies a list of endpoints. It must be called before requests are sent by the list, so that no stream begins at a
// second version while other hosts are not told of streams.
func (o *origins) setEndpoints(list []feed.Endpoint) {
	versions := make(map[string]map[string]bool)
	for i := range list {
		e := &list[i]
		if versions[e.Service] == nil {
			versions[e.Service] = make(map[string]bool)
		}
		versions[e.Service][versionOf(e)] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.SetListed(o.now(), versions)
	o.tellNewlyMixed()
}

// tellNewlyMixed makes other hosts be told of all streams of services that have come to have several versions; mu must be held.
func (o *origins) tellNewlyMixed() {
	for _, service := range o.history.TakeNewlyMixed(o.now()) {
		o.book.TellAll(service)
	}
}

// note remembers that streams of a service began at a version.
func (o *origins) note(service, version string, keys ...origin.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	tell := o.history.Mixed(now, service)
	for _, k := range keys {
		o.book.Note(now, k, service, version, tell)
	}
}

// find returns the version at which a stream began and the index of its key, and false if this host does not remember it; mu must not
// be held.
func (o *origins) find(keys origin.Keys) (version string, index int, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, k := range keys {
		if version, ok := o.book.Version(k); ok {
			return version, i, true
		}
	}
	return "", 0, false
}

// sole returns the only version of a service since before any stream that goes on can have begun.
func (o *origins) sole(service string) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.history.Sole(o.now(), service)
}

// askOthers asks other hosts where a stream began and waits until one of them knows, all have answered, or originWait is over. ask
// sends the question and returns how many hosts it asked. It reports whether one answered, or there was none to ask.
func (o *origins) askOthers(ctx context.Context, keys origin.Keys, ask func(origin.Keys) int) (heard bool) {
	q := o.openQuery(keys)
	defer o.closeQuery(q)
	ctx, cancel := context.WithTimeout(ctx, originWait)
	defer cancel()
	retry := time.NewTicker(originRetry)
	defer retry.Stop()
	for {
		if o.setAsked(q, ask(keys)) {
			return true
		}
		select {
		case <-q.done:
			return true
		case <-ctx.Done():
			return o.heard(q)
		case <-retry.C:
		}
	}
}

// openQuery registers a question.
func (o *origins) openQuery(keys origin.Keys) *originQuery {
	q := &originQuery{keys: keys, unknown: make(map[string]bool), done: make(chan struct{})}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, k := range keys {
		if o.queries[k] == nil {
			o.queries[k] = make(map[*originQuery]bool)
		}
		o.queries[k][q] = true
	}
	return q
}

// closeQuery ends the registration of a question.
func (o *origins) closeQuery(q *originQuery) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, k := range q.keys {
		delete(o.queries[k], q)
		if len(o.queries[k]) == 0 {
			delete(o.queries, k)
		}
	}
}

// setAsked sets how many hosts were asked, and reports whether there is nothing to wait for.
func (o *origins) setAsked(q *originQuery, n int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	q.asked = max(q.asked, n)
	return q.asked == 0
}

// heard reports whether a host has answered a question.
func (o *origins) heard(q *originQuery) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(q.unknown) > 0
}

// merge applies what another host told, and answers the questions that it settles.
func (o *origins) merge(host string, r *origin.Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	o.book.Merge(now, r)
	o.history.NoteSeen(now, r.Seen)
	o.tellNewlyMixed()
	for _, keys := range r.Known {
		for _, k := range keys {
			for q := range o.queries[k] {
				q.finish()
			}
		}
	}
	for _, k := range r.Unknown {
		for q := range o.queries[k] {
			q.unknown[host] = true
			if q.asked > 0 && len(q.unknown) >= q.asked {
				q.finish()
			}
		}
	}
}

// finish ends the waiting for a question.
func (q *originQuery) finish() {
	if !q.over {
		q.over = true
		close(q.done)
	}
}

// resumable reports whether callers may take up the streams of the route.
func (c *call) resumable() bool { return c.route.Kind == route.Stream && c.route.Resumable }

// resumes returns the ID of the request that brought the caller the first event of the stream that it takes up, or "".
func (c *call) resumes() string { return c.r.Header.Get(c.s.Headers.Resumes) }

// originKey returns the key of the stream that a request of the call's workspace and route began at a service.
func (c *call) originKey(service, id string) origin.Key {
	workspace := ""
	if c.workspace != nil {
		workspace = c.workspace.Name
	}
	return origin.KeyOf(workspace, c.route.Name, service, id)
}

// bindOrigin finds out at which version the stream began that the caller takes up, and makes the request one for that version. It
// refuses a request whose stream may have begun at several versions.
func (c *call) bindOrigin(ctx context.Context) *refusal {
	takesUp := c.r.Header.Get(c.s.Headers.LastEvent) != ""
	if !c.resumable() || (!takesUp && c.resumes() == "") {
		return nil
	}
	found, heard := c.findOrigin(ctx)
	if found {
		return nil
	}
	if !takesUp {
		return nil // the caller has no event, so that the stream begins anew
	}
	if version, ok := c.s.origins.sole(c.service.Name); ok && heard && c.listIsFresh() {
		c.stream.version, c.stream.source = version, originSole
		return nil
	}
	c.s.Count.NoOrigin.Add(1)
	return &refusal{
		status: http.StatusServiceUnavailable, retryAfter: originRetryAfter,
		why: "no host knows at which version of the endpoints' software this stream began, and there were several; come back",
	}
}

// listIsFresh reports whether the list of endpoints is as young as it has to be for sends. A host that is cut off serves by an older
// one and may miss a version at which other hosts began streams since.
func (c *call) listIsFresh() bool {
	return c.s.DrainTime == 0 || c.s.listAge(c.s.Now()) < c.s.DrainTime
}

// findOrigin looks for the stream that the caller names, first among those that this host remembers, then at other hosts. If it finds
// it, it binds the request to the service and the version that began it. It also reports whether another host answered, if there is
// any: one that hears no other cannot know what the others began.
func (c *call) findOrigin(ctx context.Context) (found, heard bool) {
	id := c.resumes()
	if id == "" {
		return false, true
	}
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

// SetOriginAsker sets the function that asks other hosts where streams began and returns how many it asked; call it before the first
// request.
func (s *Server) SetOriginAsker(ask func(keys origin.Keys) int) { s.origins.ask = ask }

// NoteMixed applies a record which says that streams of a service may have begun at several versions until a time.
func (s *Server) NoteMixed(service string, until time.Duration) {
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	s.origins.history.NoteMixed(service, until)
	s.origins.tellNewlyMixed()
}

// NoteHistoryRead records that all records were read that NoteMixed applies. Services without one have had one version for long.
func (s *Server) NoteHistoryRead() {
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	s.origins.history.Complete = true
}

// MixedServices returns the services whose endpoints have had several versions lately.
func (s *Server) MixedServices() []string {
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	return s.origins.history.MixedServices(s.Now())
}

// TakeOrigins returns the streams of which other hosts are to be told, each once.
func (s *Server) TakeOrigins() origin.Report {
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	return s.origins.book.TakeUntold()
}

// LookUpOrigins returns what this host knows of streams that another host asks about.
func (s *Server) LookUpOrigins(keys origin.Keys) origin.Report {
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	r := s.origins.book.LookUp(keys)
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
