// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route

import (
	"sort"
	"strings"
)

// Table answers look-ups in one Document; it must not be changed.
type Table struct {
	// Document is what it was made of.
	Document *Document
	// Revision is the number of the write that brought it; it only rises.
	Revision uint64

	byHost   map[string][]*Route
	byKey    map[string]*Workspace
	services map[string]*Service
}

// NewTable makes a document ready for look-ups.
func NewTable(d *Document, revision uint64) *Table {
	t := &Table{
		Document: d, Revision: revision,
		byHost:   make(map[string][]*Route),
		byKey:    make(map[string]*Workspace),
		services: make(map[string]*Service),
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := hostName(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, rs := range t.byHost {
		sort.SliceStable(rs, func(i, j int) bool { return rs[i].Prefix < rs[j].Prefix })
	}
	for i := range d.Workspaces {
		for _, k := range d.Workspaces[i].Keys {
			t.byKey[k] = &d.Workspaces[i]
		}
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	return t
}

// hostName gives a host without its port, in lower case.
func hostName(s string) string {
	if i := strings.LastIndexByte(s, ':'); i >= 0 && !strings.HasSuffix(s, "]") {
		s = s[:i]
	}
	return strings.ToLower(s)
}

// Match returns the route of a host and an escaped path, or nil. Among the
// routes of the host, the one with the longest prefix of the path wins. Routes
// are sorted by prefix, so the look-up tries one prefix a slash of the path.
func (t *Table) Match(host, path string) *Route {
	rs := t.byHost[hostName(host)]
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		prefix := path[:slash+1]
		i := sort.Search(len(rs), func(i int) bool { return rs[i].Prefix >= prefix })
		if i < len(rs) && rs[i].Prefix == prefix {
			return rs[i]
		}
		end = slash
	}
	return nil
}

// Workspace returns the workspace that holds a key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.byKey[key] }

// Service returns a service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// PickTarget picks one of a route's services by weight; at is from [0, 1).
func (r *Route) PickTarget(at float64) string {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at *= sum
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
