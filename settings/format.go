// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package settings

import (
	"bytes"
	"fmt"
	"strings"
)

// Format writes a declaration as one YAML file that Parse reads back to the same.
func Format(d Declaration) []byte {
	root := &formatNode{level: LevelFleet}
	for _, e := range d {
		n := root.at(e.Node)
		if e.Key != "" {
			n.values = append(n.values, e)
		}
	}
	var b bytes.Buffer
	root.write(&b, 0)
	return b.Bytes()
}

// formatNode is a node or section of the tree to write.
type formatNode struct {
	name     string
	level    Level // 0 for a section
	values   []Entry
	children []*formatNode
}

// at returns the node of a path, made if it is not there.
func (n *formatNode) at(path string) *formatNode {
	if path == "" {
		return n
	}
	name, rest, _ := strings.Cut(path, "/")
	for _, c := range n.children {
		if c.name == name {
			return c.at(rest)
		}
	}
	c := &formatNode{name: name}
	if n.level == 0 {
		c.level = levelOf("x/" + n.name + "/" + name)
	}
	n.children = append(n.children, c)
	return c.at(rest)
}

// write writes what stands in a node, indented.
func (n *formatNode) write(b *bytes.Buffer, depth int) {
	pad := strings.Repeat("  ", depth)
	valuePad := pad
	if len(n.values) > 0 && n.hasSet() {
		fmt.Fprintf(b, "%sset:\n", pad)
		valuePad += "  "
	}
	for _, e := range n.values {
		fmt.Fprintf(b, "%s%s: %s\n", valuePad, e.Key, yamlValue(e, n.level))
	}
	for _, c := range n.children {
		if len(c.values)+len(c.children) == 0 {
			fmt.Fprintf(b, "%s%s: {}\n", pad, c.name)
			continue
		}
		fmt.Fprintf(b, "%s%s:\n", pad, c.name)
		c.write(b, depth+1)
	}
}

// hasSet reports whether a node's values stand under "set".
func (n *formatNode) hasSet() bool { return n.level&inherited != 0 }

// yamlValue writes a value as YAML.
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

// Reference writes docs/SETTINGS.md from the table of keys.
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
	return b.Bytes()
}

// levelNames lists the levels of a set.
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
