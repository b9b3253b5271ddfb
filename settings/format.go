// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package settings

import (
	"bytes"
	"fmt"
	"strings"
)

// Format returns a declaration as one YAML file. Parsing the file gives the same declaration.
func Format(d Declaration) []byte {
	root := &formatNode{level: LevelFleet}
	for _, e := range d {
		n := root.descendant(e.Node)
		if e.Key != "" {
			n.values = append(n.values, e)
		}
	}
	var b bytes.Buffer
	root.write(&b, 0)
	return b.Bytes()
}

// formatNode is a node or a section of the tree that Format writes.
type formatNode struct {
	name     string
	level    Level // 0 for a section
	values   []Entry
	children []*formatNode
}

// descendant returns the node at a path below n and creates missing nodes.
func (n *formatNode) descendant(path string) *formatNode {
	if path == "" {
		return n
	}
	name, rest, _ := strings.Cut(path, "/")
	for _, c := range n.children {
		if c.name == name {
			return c.descendant(rest)
		}
	}
	c := &formatNode{name: name}
	if n.level == 0 {
		c.level = levelOf("x/" + n.name + "/" + name)
	}
	n.children = append(n.children, c)
	return c.descendant(rest)
}

// write writes the values and children of a node, indented by depth.
func (n *formatNode) write(b *bytes.Buffer, depth int) {
	indent := strings.Repeat("  ", depth)
	valueIndent := indent
	if len(n.values) > 0 && n.usesSet() {
		fmt.Fprintf(b, "%sset:\n", indent)
		valueIndent += "  "
	}
	for _, e := range n.values {
		fmt.Fprintf(b, "%s%s: %s\n", valueIndent, e.Key, yamlValue(e, n.level))
	}
	for _, c := range n.children {
		if len(c.values)+len(c.children) == 0 {
			fmt.Fprintf(b, "%s%s: {}\n", indent, c.name)
			continue
		}
		fmt.Fprintf(b, "%s%s:\n", indent, c.name)
		c.write(b, depth+1)
	}
}

// usesSet reports whether a node's values are written under "set".
func (n *formatNode) usesSet() bool { return n.level&inheritingLevels != 0 }

// yamlValue returns the value of an entry as YAML.
func yamlValue(e Entry, level Level) string {
	k := FindKey(e.Key, level)
	switch {
	case k != nil && k.Type == Names:
		return "[" + strings.ReplaceAll(e.Value, ",", ", ") + "]"
	case k != nil && k.Type == Text:
		return fmt.Sprintf("%q", e.Value)
	}
	return e.Value
}

// Reference returns the text of docs/SETTINGS.md, made from the table of keys.
func Reference() []byte {
	var b bytes.Buffer
	b.WriteString("# Settings\n\nThis page is made from the table in settings/key.go by `go generate ./settings`; a test holds it to the table.\n\n")
	b.WriteString("A child inherits every key that it does not set; the value `inherit` says so explicitly. Durations carry a unit\n(`500ms`, `30s`); numbers are written in the unit named, without it. Lists of names are written `[a, b]`.\n\n")
	b.WriteString("| key | at | type | unit | range | default | meaning |\n|---|---|---|---|---|---|---|\n")
	for i := range Keys {
		k := &Keys[i]
		rng := ""
		switch {
		case len(k.Choices) > 0:
			rng = strings.Join(k.Choices, ", ")
		case k.Max > 0:
			rng = fmt.Sprintf("%v to %v", k.Min, k.Max)
		}
		def := k.Default
		if def == "" {
			def = "(none)"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s | %s |\n", k.Name, levelNames(k.Levels), k.Type, k.Unit, rng, def, k.Doc)
	}
	b.WriteString(hostSwitches)
	return b.Bytes()
}

// hostSwitches documents the settings of hosts on the users' platform that are no keys of the tree.
const hostSwitches = `
## Switches of hkedge

A host on the users' platform takes these from its command line or environment. All hosts of a fleet need the same values.
The figure ` + "`" + `in_force` + "`" + ` of its metrics shows them.

| flag | environment | values | default | meaning |
|---|---|---|---|---|
| ` + "`" + `--shared-slots` + "`" + ` | ` + "`" + `HEATHKEEL_SHARED_SLOTS` + "`" + ` | auto, off | auto | In fleets that use relays, the owner of an endpoint's slots divides them fairly among workspaces (docs/design/shares.md). |
| ` + "`" + `--stated-load` + "`" + ` | ` + "`" + `HEATHKEEL_STATED_LOAD` + "`" + ` | on, off | on | Whether the time that work takes, as endpoints state it, counts in decisions (docs/design/stated-load.md). |
| ` + "`" + `--zone-spill` + "`" + ` | ` + "`" + `HEATHKEEL_ZONE_SPILL` + "`" + ` | fixed, observed | fixed | Whether endpoints in other zones count as more loaded by a constant, or get the shares that the demand of all zones asks for (docs/design/zones.md). |
| ` + "`" + `--zone-price` + "`" + ` | ` + "`" + `HEATHKEEL_ZONE_PRICE` + "`" + ` | 0 to 1e6 | 0 | Value of one GB between zones, in units of the value of one request of the top tier; 0 means unknown. |
`

// levelNames returns the names of the levels in a set, joined by commas. It omits LevelModel, which has no keys.
func levelNames(l Level) string {
	var out []string
	for _, x := range []struct {
		level Level
		name  string
	}{
		{LevelFleet, "fleet"}, {LevelEndpoint, "endpoint"}, {LevelPlacement, "placement"},
		{LevelWorkspace, "workspace"}, {LevelService, "service"}, {LevelTier, "tier"},
	} {
		if l&x.level != 0 {
			out = append(out, x.name)
		}
	}
	return strings.Join(out, ", ")
}
