// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import "maps"

// foreign are the entries that name no endpoint to use, since another program wrote them, by their
// keys, with the reason. Each is told once, and again only when the reason changes.
type foreign map[string]string

// mostForeign bounds the entries that are remembered; of more, each reading tells again.
const mostForeign = 1000

// note takes an entry that was refused and reports whether that is new.
func (f foreign) note(key string, err error) bool {
	why := err.Error()
	if f[key] == why {
		return false
	}
	if len(f) < mostForeign {
		f[key] = why
	}
	return true
}

// forget notes that an entry went, or can be read.
func (f foreign) forget(key string) { delete(f, key) }

// keep forgets all entries that are not there any more.
func (f foreign) keep(here map[string]bool) {
	maps.DeleteFunc(f, func(key, _ string) bool { return !here[key] })
}

// ForeignCount is the number of entries that name no endpoint to use, 0 while this host takes the list from a peer.
func (e *Endpoints) ForeignCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.foreign)
}
