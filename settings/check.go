// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package settings

import (
	"net/netip"
	"slices"
	"strings"
)

// checker looks at references between entries of one declaration.
type checker struct {
	p      *Parsed
	faults Faults
}

// Check finds what is wrong between the entries of a sorted declaration, such as
// references to names that it does not declare; the faults have no file.
func Check(d Declaration) Faults {
	return checkRefs(&Parsed{Declaration: d, Sources: map[string]Source{}})
}

// checkRefs finds references to names that are not declared.
func checkRefs(p *Parsed) Faults {
	c := &checker{p: p}
	tiers := c.tiers()
	for _, e := range p.Declaration {
		switch {
		case e.Key == KeyEndpoints:
			c.each(e, "endpoints")
		case e.Key == KeyModels:
			c.each(e, "models")
		case e.Key == KeyModel:
			c.each(e, "models")
		case e.Key == KeyTier:
			c.tier(e, e.Value, tiers)
		case e.Key == KeyAddress:
			c.address(e)
		case e.Key == "" && levelOf(e.Node) == LevelTier:
			c.tier(e, lastName(e.Node), tiers)
		case e.Key == "":
			c.required(e)
		}
	}
	c.sameAddress()
	return c.faults
}

// fault notes one problem at the place where e was declared.
func (c *checker) fault(e Entry, message, remedy string) {
	f := Fault{Source: c.p.Sources[e.Path()], Path: e.Path(), Message: message, Remedy: remedy}
	c.faults = append(c.faults, f)
}

// tiers returns the declared order, or the default one.
func (c *checker) tiers() []string {
	v, ok := c.p.Declaration.Find("", KeyTiers)
	if !ok {
		v = FindKey(KeyTiers, LevelFleet).Default
	}
	return split(v)
}

// each checks that every name of a list is declared in a section.
func (c *checker) each(e Entry, section string) {
	for _, name := range split(e.Value) {
		if _, ok := c.p.Declaration.Find(section+"/"+name, ""); !ok {
			c.fault(e, "refers to "+name+", which "+section+" does not declare", "declare it under "+section+" or take it out")
		}
	}
}

// tier checks that a tier is in the fleet's order.
func (c *checker) tier(e Entry, name string, tiers []string) {
	if !slices.Contains(tiers, name) {
		c.fault(e, "tier "+name+" is not in the order "+strings.Join(tiers, ", "), "use one of these or add it to set: tiers")
	}
}

// address checks that an address is an IP number and a port.
func (c *checker) address(e Entry) {
	if _, err := netip.ParseAddrPort(e.Value); err != nil {
		c.fault(e, "not an IP number and port: "+e.Value, "write it like 10.0.0.1:8000")
	}
}

// required checks the keys that a node cannot do without.
func (c *checker) required(e Entry) {
	need := ""
	switch levelOf(e.Node) {
	case LevelEndpoint:
		need = KeyAddress
	case LevelPlacement:
		need = KeyModel
	default:
		return
	}
	if _, ok := c.p.Declaration.Find(e.Node, need); !ok {
		c.fault(e, "lacks "+need, "add "+need)
	}
}

// sameAddress refuses two endpoints at one address: their reports would mix.
func (c *checker) sameAddress() {
	first := make(map[string]string)
	for _, e := range c.p.Declaration {
		if e.Key != KeyAddress {
			continue
		}
		if other, ok := first[e.Value]; ok {
			c.fault(e, "has the address of "+other, "give each endpoint its own")
			continue
		}
		first[e.Value] = e.Node
	}
}

// split cuts a list value into names.
func split(v string) []string {
	if v == "" {
		return nil
	}
	return strings.Split(v, ",")
}

// lastName returns the last part of a node's path.
func lastName(node string) string {
	return node[strings.LastIndexByte(node, '/')+1:]
}

// levelOf returns the level of a node from its path.
func levelOf(node string) Level {
	if node == "" {
		return LevelFleet
	}
	parts := strings.Split(node, "/")
	if len(parts) < 2 {
		return 0
	}
	switch parts[len(parts)-2] {
	case "models":
		return LevelModel
	case "endpoints":
		return LevelEndpoint
	case "placements":
		return LevelPlacement
	case "workspaces":
		return LevelWorkspace
	case "services":
		return LevelService
	case "tiers":
		return LevelTier
	}
	return 0
}
