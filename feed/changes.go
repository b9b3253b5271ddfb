// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"slices"
	"strings"
)

// Hosts pass lists of endpoints on to each other. A whole list for each change would be hosts times
// endpoints: 600 KB to each of 1,000 hosts when one of 3,000 endpoints leaves. So a host that has one of the
// last lists gets only what has changed since.

// listChange is the difference between two successive lists.
type listChange struct {
	// from and to are the checksums of the lists.
	from, to uint64
	// changed are the endpoints that are new or different in the later list, removed the names of those that
	// it lacks.
	changed []Endpoint
	removed []string
}

// changeLog holds the latest changes of a list, oldest first.
type changeLog []listChange

// Limits of a changeLog. A host that is further behind gets the whole list.
const (
	maxLoggedChanges   = 32
	maxChangedPerEntry = 400
)

// add records the step from one sorted list to the next.
func (l *changeLog) add(from, to uint64, old, next []Endpoint) {
	if from == to {
		return
	}
	c := listChange{from: from, to: to}
	c.changed, c.removed = diff(old, next)
	if len(c.changed)+len(c.removed) > maxChangedPerEntry {
		*l = nil
		return
	}
	*l = append(*l, c)
	if n := len(*l) - maxLoggedChanges; n > 0 {
		*l = slices.Delete(*l, 0, n)
	}
}

// diff returns the endpoints of next that old lacks or has otherwise, and the names of those that only old
// has. Both lists are sorted by instance.
func diff(old, next []Endpoint) (changed []Endpoint, removed []string) {
	for len(old) > 0 || len(next) > 0 {
		order := 0
		switch {
		case len(next) == 0:
			order = -1
		case len(old) == 0:
			order = 1
		default:
			order = strings.Compare(old[0].Instance, next[0].Instance)
		}
		switch {
		case order < 0:
			removed = append(removed, old[0].Instance)
			old = old[1:]
		case order > 0:
			changed = append(changed, next[0])
			next = next[1:]
		default:
			if old[0] != next[0] {
				changed = append(changed, next[0])
			}
			old, next = old[1:], next[1:]
		}
	}
	return changed, removed
}

// since returns the changes since the list with the given checksum, and false if they are not known.
func (l changeLog) since(sum uint64) (changed []Endpoint, removed []string, ok bool) {
	// The last list with that checksum: a list may be the same as an earlier one.
	i := len(l) - 1
	for i >= 0 && l[i].from != sum {
		i--
	}
	if i < 0 {
		return nil, nil, false
	}
	newest := make(map[string]*Endpoint)
	for _, c := range l[i:] {
		for j := range c.changed {
			newest[c.changed[j].Instance] = &c.changed[j]
		}
		for _, name := range c.removed {
			newest[name] = nil
		}
	}
	for name, e := range newest {
		if e == nil {
			removed = append(removed, name)
		} else {
			changed = append(changed, *e)
		}
	}
	slices.SortFunc(changed, func(a, b Endpoint) int { return strings.Compare(a.Instance, b.Instance) })
	slices.Sort(removed)
	return changed, removed, true
}

// applyChanges returns a sorted list with changes applied to it.
func applyChanges(list, changed []Endpoint, removed []string) []Endpoint {
	replaced := make(map[string]bool, len(changed)+len(removed))
	for i := range changed {
		replaced[changed[i].Instance] = true
	}
	for _, name := range removed {
		replaced[name] = true
	}
	out := make([]Endpoint, 0, len(list)+len(changed))
	for i := range list {
		if !replaced[list[i].Instance] {
			out = append(out, list[i])
		}
	}
	out = append(out, changed...)
	slices.SortFunc(out, func(a, b Endpoint) int { return strings.Compare(a.Instance, b.Instance) })
	return out
}
