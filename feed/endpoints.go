// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"
)

// Endpoints follows the entries of the endpoints. The fields must be set before Run.
type Endpoints struct {
	// Store is where they lie, below Prefix.
	Store  Store
	Prefix string
	// Parse reads an entry.
	Parse func(key string, value []byte) (Endpoint, error)
	// Now is the steady clock.
	Now func() time.Duration
	// Every is the time between readings, Wait how long one may be idle.
	Every, Wait time.Duration
	// Pause is the time between tries while the store fails.
	Pause time.Duration
	// LapseFor is how long after the sending of the last call that failed an entry
	// that went is still taken for an endpoint that serves. It must be shorter than
	// the time after which the host counts as in touch again.
	LapseFor time.Duration
	// Changed is called with the list when it changes, sorted by instance.
	Changed func([]Endpoint)
	// Log takes changes of state.
	Log logr.Logger

	known   map[string]Endpoint
	told    []Endpoint
	trouble time.Duration
	bad     bool
}

// Run follows the store until ctx ends.
func (e *Endpoints) Run(ctx context.Context) {
	e.known = make(map[string]Endpoint)
	e.trouble = -e.LapseFor
	at, read := uint64(0), false
	for ctx.Err() == nil {
		var err error
		sent := e.Now()
		if read {
			at, err = e.watch(ctx, at)
		} else {
			at, err = e.read(ctx)
		}
		read = err == nil || (read && !errors.Is(err, ErrHistory))
		pause := e.Every
		if err != nil {
			e.trouble = sent
			pause = e.Pause
		}
		e.note(err)
		e.tell()
		sleep(ctx, pause)
	}
}

// note logs changes of state.
func (e *Endpoints) note(err error) {
	if bad := err != nil; bad != e.bad {
		e.bad = bad
		if bad {
			e.Log.Info("store lost", "for", e.Prefix, "cause", err.Error())
			return
		}
		e.Log.Info("store regained", "for", e.Prefix)
	}
}

// read reads all entries anew.
func (e *Endpoints) read(ctx context.Context) (uint64, error) {
	cctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p, err := e.Store.Range(cctx, e.Prefix, false)
	if err != nil {
		return 0, err
	}
	here := make(map[string]bool, len(p.Items))
	for _, it := range p.Items {
		here[strings.TrimPrefix(it.Key, e.Prefix)] = true
		e.take(it)
	}
	for name := range e.known {
		if !here[name] {
			e.gone(name)
		}
	}
	return p.At, nil
}

// watch takes the changes since the last reading.
func (e *Endpoints) watch(ctx context.Context, at uint64) (uint64, error) {
	cctx, cancel := context.WithTimeout(ctx, e.Wait+storeTimeout)
	defer cancel()
	p, err := e.Store.Watch(cctx, e.Prefix, at, e.idle())
	if err != nil {
		return at, err
	}
	for _, it := range p.Items {
		if it.Gone {
			e.gone(strings.TrimPrefix(it.Key, e.Prefix))
			continue
		}
		e.take(it)
	}
	return max(at, p.At), nil
}

// idle is how long a watch may wait for changes: not long while entries that
// lapsed are to be dropped.
func (e *Endpoints) idle() time.Duration {
	for _, n := range e.known {
		if n.Lapsed {
			return min(e.Wait, e.Every/4)
		}
	}
	return e.Wait
}

// take notes an entry. What once was leaving stays so: entries may be written late.
func (e *Endpoints) take(it Item) {
	n, err := e.Parse(it.Key, it.Value)
	if err != nil {
		e.Log.Error(err, "endpoint entry refused", "key", it.Key)
		return
	}
	if old, ok := e.known[n.Instance]; ok && old.Leaving && !old.Lapsed {
		n.Leaving = true
	}
	e.known[n.Instance] = n
}

// gone notes that an entry went. While the store is in trouble, and a while
// after, entries go although their endpoints serve.
func (e *Endpoints) gone(name string) {
	n, ok := e.known[name]
	if !ok {
		return
	}
	if n.Leaving || e.Now()-e.trouble > e.LapseFor {
		delete(e.known, name)
		return
	}
	n.Lapsed = true
	e.known[name] = n
}

// tell drops what lapsed for good and passes the list on if it changed.
func (e *Endpoints) tell() {
	if e.Now()-e.trouble > e.LapseFor {
		maps.DeleteFunc(e.known, func(_ string, n Endpoint) bool { return n.Lapsed })
	}
	list := make([]Endpoint, 0, len(e.known))
	for _, n := range e.known {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.Instance, b.Instance) })
	if !slices.Equal(list, e.told) {
		e.told = list
		e.Changed(list)
	}
}
