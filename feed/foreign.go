// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import "maps"

// foreign holds the entries that name no usable endpoint because another program wrote them: the
// reason by key. Each is logged once, and again only when the reason changes.
type foreign map[string]string

// maxForeign bounds the entries that are remembered; entries beyond it are logged at each read.
const maxForeign = 1000

// add records an entry that was refused and reports whether that is new.
func (f foreign) add(key string, err error) bool {
	reason := err.Error()
	if f[key] == reason {
		return false
	}
	if len(f) < maxForeign {
		f[key] = reason
	}
	return true
}

// remove forgets an entry that was removed or can now be read.
func (f foreign) remove(key string) { delete(f, key) }

// retain forgets all entries that are no longer present.
func (f foreign) retain(present map[string]bool) {
	maps.DeleteFunc(f, func(key, _ string) bool { return !present[key] })
}

// ForeignCount is the number of entries that name no usable endpoint, or 0 while this host takes the
// list from a peer.
func (e *Endpoints) ForeignCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.foreign)
}
