// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/origin"
)

// Parameters of asking other hosts where a stream began.
const (
	// originWait is the time for which a request that resumes a stream waits for other hosts to tell where it began: some round
	// trips between zones. originRetry is the time after which they are asked once more, since datagrams are lost.
	originWait  = 120 * time.Millisecond
	originRetry = 40 * time.Millisecond
)

// origins knows at which version of the endpoints' software streams began.
type origins struct {
	now func() time.Duration
	// ask asks other hosts where streams began, and returns how many hosts it asked.
	ask func(keys origin.Keys) int
	// readSaved reads the streams that were saved where they outlast all hosts, unless that was done just now.
	readSaved func(ctx context.Context)

	mu      sync.Mutex
	book    origin.Book
	history origin.History
	// recordsRead says that the records of versions were read. Before, this host does not know whether a version that it has not listed
	// began streams, so that its answer to another host would prove nothing.
	recordsRead bool
	queries     map[origin.Key]map[*originQuery]bool
}

// originQuery is a question to other hosts about one stream, by its keys at the services that may have begun it.
type originQuery struct {
	keys    origin.Keys
	asked   int
	unknown map[string]bool // hosts that do not know it
	done    chan struct{}   // closed when a host knows it, or all have answered that they do not
	over    bool
}

// setEndpoints applies a list of endpoints. It must be called before requests are sent by the list, so that no stream begins at a
// second version while other hosts are not told of streams. It returns the versions on record.
func (o *origins) setEndpoints(list []feed.Endpoint) map[serviceVersion]bool {
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
	return o.onRecord()
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

// mayBeSaved reports whether the origin of a stream that no host remembers may have been saved: this host has started lately, perhaps after
// all others, and the service has had several versions.
func (o *origins) mayBeSaved(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.history.MayHaveLost(o.now(), service)
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
