// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route

import (
	"fmt"
	"strings"
)

// Fault is a fault in a configuration.
type Fault struct {
	// Where names the faulty part, such as `route "ask"`.
	Where string `json:"where"`
	// What is wrong, and Remedy how to correct it.
	What   string `json:"what"`
	Remedy string `json:"remedy"`
}

// String formats the fault as a line.
func (f Fault) String() string { return f.Where + ": " + f.What + "; " + f.Remedy }

// checker collects the faults of a document.
type checker struct {
	document *Document
	faults   []Fault
}

// add adds a fault.
func (c *checker) add(where, what, remedy string) {
	c.faults = append(c.faults, Fault{where, what, remedy})
}

// Check returns the faults of a configuration that was parsed without error: what a host would accept, but treat otherwise than its
// author meant.
func Check(d *Document) []Fault {
	c := &checker{document: d}
	c.services()
	c.routes()
	c.workspaces()
	return c.faults
}

func (c *checker) services() {
	seen := make(map[string]bool)
	for i := range c.document.Services {
		s := &c.document.Services[i]
		where := fmt.Sprintf("service %q", s.Name)
		c.name(where, s.Name, seen)
		if s.MaxConnections < 0 || s.Slots < 0 || s.KVCapacity < 0 || s.EventTokens < 0 {
			c.add(where, "a value is below 0", "write 0 for unknown")
		}
	}
}

// name checks that a name is set and unique.
func (c *checker) name(where, name string, seen map[string]bool) {
	switch {
	case name == "":
		c.add(where, "it has no name", "give it one")
	case seen[name]:
		c.add(where, "its name is used twice", "rename one or remove it")
	}
	seen[name] = true
}

func (c *checker) routes() {
	names, routeByPath := make(map[string]bool), make(map[string]string)
	for i := range c.document.Routes {
		r := &c.document.Routes[i]
		where := fmt.Sprintf("route %q", r.Name)
		c.name(where, r.Name, names)
		c.route(where, r)
		path := r.Host + r.Prefix
		if other, ok := routeByPath[path]; ok {
			c.add(where, fmt.Sprintf("route %q has the same host and prefix", other), "keep one of them")
		}
		routeByPath[path] = r.Name
	}
}

// route checks one route.
func (c *checker) route(where string, r *Route) {
	if r.Host == "" {
		c.add(where, "it has no host", "write the host name that callers send")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.add(where, fmt.Sprintf("prefix %q", r.Prefix), "begin and end it with a slash")
	}
	if r.Timeout < 0 || r.Objective < 0 || r.PauseObjective < 0 || r.Rank < 0 {
		c.add(where, "a value is below 0", "write 0 for no limit, and ranks from 0")
	}
	if r.Timeout > 0 && r.Objective > r.Timeout {
		c.add(where, "its objective is longer than its timeout", "raise the timeout; otherwise no response within it could miss the objective")
	}
	if r.Resumable && r.Kind != Stream {
		c.add(where, "it is resumable but not a stream", "remove resumable, or make it a stream")
	}
	c.targets(where, r)
}

// targets checks the services of a route.
func (c *checker) targets(where string, r *Route) {
	sum := 0.0
	for _, t := range r.Targets {
		sum += max(0, t.Weight)
		if t.Weight < 0 {
			c.add(where, fmt.Sprintf("service %q has a weight below 0", t.Service), "write 0 or more")
		}
		if !c.isDeclared(t.Service) {
			c.add(where, fmt.Sprintf("service %q is not declared", t.Service), "declare it, or correct its name")
		}
	}
	if sum <= 0 {
		c.add(where, "no service gets its requests", "name a service, or give one a weight above 0")
	}
}

// isDeclared reports whether a service is declared.
func (c *checker) isDeclared(name string) bool {
	for i := range c.document.Services {
		if c.document.Services[i].Name == name {
			return true
		}
	}
	return false
}

func (c *checker) workspaces() {
	names, keys := make(map[string]bool), make(map[string]string)
	for i := range c.document.Workspaces {
		w := &c.document.Workspaces[i]
		where := fmt.Sprintf("workspace %q", w.Name)
		c.name(where, w.Name, names)
		if w.Rate < 0 || w.Burst < 0 || w.DefaultTokens < 0 || w.Rank < 0 {
			c.add(where, "a value is below 0", "write 0 for no limit, and ranks from 0")
		}
		for _, k := range w.Keys {
			if other, ok := keys[k]; ok {
				c.add(where, fmt.Sprintf("it shares a key with workspace %q", other), "give each its own key; hosts cannot tell them apart")
			}
			keys[k] = w.Name
		}
	}
}
