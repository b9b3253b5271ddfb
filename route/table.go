// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route

import (
	"sort"
	"strings"
)

// Table indexes a Document for lookups. It is immutable.
type Table struct {
	// Document is the indexed document; it must not be modified.
	Document *Document
	// Revision is the revision of the write that set the document; it never decreases.
	Revision uint64

	byHost   map[string][]*Route
	byKey    map[string]*Workspace
	services map[string]*Service
}

// NewTable indexes a document.
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

// hostName returns a host without its port, in lower case.
func hostName(s string) string {
	if i := strings.LastIndexByte(s, ':'); i >= 0 && !strings.HasSuffix(s, "]") {
		s = s[:i]
	}
	return strings.ToLower(s)
}

// Match returns the route of a host and an escaped path, or nil. Among the routes of the host, the one with the longest prefix of the
// path wins. Routes are sorted by prefix, so that the lookup tries one prefix for each slash of the path.
func (t *Table) Match(host, path string) *Route {
	routes := t.byHost[hostName(host)]
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		prefix := path[:slash+1]
		i := sort.Search(len(routes), func(i int) bool { return routes[i].Prefix >= prefix })
		if i < len(routes) && routes[i].Prefix == prefix {
			return routes[i]
		}
		end = slash
	}
	return nil
}

// Workspace returns the workspace that has a key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.byKey[key] }

// Service returns a service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// PickTarget picks one of a route's services by weight; point is in [0, 1).
func (r *Route) PickTarget(point float64) string {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	point *= sum
	for _, t := range r.Targets {
		if point -= t.Weight; point < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
