// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package settings

import (
	"net/netip"
	"slices"
	"strings"
)

// referenceChecker checks the references between the entries of one declaration.
type referenceChecker struct {
	parsed *Parsed
	faults Faults
}

// Check returns the faults between the entries of a sorted declaration, such as
// references to names that it does not declare. The faults have no source file.
func Check(d Declaration) Faults {
	return checkReferences(&Parsed{Declaration: d, Sources: map[string]Source{}})
}

// checkReferences returns the references to undeclared names, missing required keys
// and duplicate addresses of a parsed declaration.
func checkReferences(p *Parsed) Faults {
	c := &referenceChecker{parsed: p}
	tiers := c.tiers()
	for _, e := range p.Declaration {
		switch {
		case e.Key == KeyEndpoints:
			c.names(e, "endpoints")
		case e.Key == KeyModels:
			c.names(e, "models")
		case e.Key == KeyModel:
			c.names(e, "models")
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
	c.uniqueAddresses()
	return c.faults
}

// fault records one fault at the position where e was declared.
func (c *referenceChecker) fault(e Entry, message, remedy string) {
	f := Fault{Source: c.parsed.Sources[e.Path()], Path: e.Path(), Message: message, Remedy: remedy}
	c.faults = append(c.faults, f)
}

// tiers returns the declared order of tiers, or the default order.
func (c *referenceChecker) tiers() []string {
	v, ok := c.parsed.Declaration.Find("", KeyTiers)
	if !ok {
		v = FindKey(KeyTiers, LevelFleet).Default
	}
	return splitNames(v)
}

// names checks that every name in the list value of e is declared in a section.
func (c *referenceChecker) names(e Entry, section string) {
	for _, name := range splitNames(e.Value) {
		if _, ok := c.parsed.Declaration.Find(section+"/"+name, ""); !ok {
			c.fault(e, "refers to "+name+", which "+section+" does not declare", "declare it under "+section+" or remove the reference")
		}
	}
}

// tier checks that a tier is in the fleet's order of tiers.
func (c *referenceChecker) tier(e Entry, name string, tiers []string) {
	if !slices.Contains(tiers, name) {
		c.fault(e, "tier "+name+" is not in the order "+strings.Join(tiers, ", "), "use one of these or add it to set: tiers")
	}
}

// address checks that an address consists of an IP address and a port.
func (c *referenceChecker) address(e Entry) {
	if _, err := netip.ParseAddrPort(e.Value); err != nil {
		c.fault(e, "not an IP address and port: "+e.Value, "write it like 10.0.0.1:8000")
	}
}

// required checks that a node sets the key that its level requires.
func (c *referenceChecker) required(e Entry) {
	required := ""
	switch levelOf(e.Node) {
	case LevelEndpoint:
		required = KeyAddress
	case LevelPlacement:
		required = KeyModel
	default:
		return
	}
	if _, ok := c.parsed.Declaration.Find(e.Node, required); !ok {
		c.fault(e, "lacks the key "+required, "add "+required)
	}
}

// uniqueAddresses rejects endpoints that share an address: hosts could not tell
// their reports apart.
func (c *referenceChecker) uniqueAddresses() {
	first := make(map[string]string)
	for _, e := range c.parsed.Declaration {
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

// splitNames splits a list value into names.
func splitNames(v string) []string {
	if v == "" {
		return nil
	}
	return strings.Split(v, ",")
}

// lastName returns the last part of a node's path.
func lastName(node string) string {
	return node[strings.LastIndexByte(node, '/')+1:]
}

// levelOf returns the level of the node at a path, or 0 if the path has no known section.
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
