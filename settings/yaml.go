// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package settings

import (
	"fmt"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// File is one YAML file of a declaration.
type File struct {
	// Name is the file's name as shown in problems.
	Name string
	// Data is the content.
	Data []byte
}

// Source says where an entry was declared.
type Source struct {
	// File and Line place the value.
	File string
	Line int
}

// Fault is one thing wrong with a declaration.
type Fault struct {
	Source
	// Path is the path in the tree.
	Path string
	// Message says what is wrong and Remedy what to do.
	Message, Remedy string
}

// String gives the fault in one line, starting with file and line.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s; %s", f.File, f.Line, f.Path, f.Message, f.Remedy)
}

// Faults is a list of faults as one error.
type Faults []Fault

// Error gives one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// Parsed is what reading a set of files gives.
type Parsed struct {
	// Declaration is the tree; it is complete only if Faults is empty.
	Declaration Declaration
	// Sources gives the place of each path.
	Sources map[string]Source
	// Faults lists all that is wrong.
	Faults Faults
}

// reader collects entries and faults while it walks YAML nodes.
type reader struct {
	file string
	out  *Parsed
}

// Parse reads all files as one declaration and checks it; nothing of a set
// with faults should be used.
func Parse(files []File) *Parsed {
	p := &Parsed{Sources: make(map[string]Source)}
	for _, f := range files {
		r := &reader{file: f.Name, out: p}
		var doc yaml.Node
		if err := yaml.Unmarshal(f.Data, &doc); err != nil {
			r.fault(&doc, "", "not valid YAML: "+strings.TrimPrefix(err.Error(), "yaml: "), "correct the syntax")
			continue
		}
		if len(doc.Content) == 1 {
			r.section(doc.Content[0], "", LevelFleet)
		}
	}
	p.Declaration.Sorted()
	p.Faults = append(p.Faults, checkRefs(p)...)
	slices.SortStableFunc(p.Faults, func(a, b Fault) int {
		if c := strings.Compare(a.File, b.File); c != 0 {
			return c
		}
		return a.Line - b.Line
	})
	return p
}

// fault notes one problem.
func (r *reader) fault(n *yaml.Node, path, message, remedy string) {
	src := Source{File: r.file, Line: n.Line}
	r.out.Faults = append(r.out.Faults, Fault{Source: src, Path: path, Message: message, Remedy: remedy})
}

// add notes one entry, refusing a path that was declared before.
func (r *reader) add(n *yaml.Node, e Entry) {
	if prev, ok := r.out.Sources[e.Path()]; ok {
		// The same node may be opened by several files; a value may not be set twice.
		if e.Key != "" {
			r.fault(n, e.Path(), fmt.Sprintf("declared twice, first at %s:%d", prev.File, prev.Line), "keep one of the two")
		}
		return
	}
	r.out.Sources[e.Path()] = Source{File: r.file, Line: n.Line}
	r.out.Declaration = append(r.out.Declaration, e)
}

// fields calls fn for each key of a mapping and refuses anything else and doubled keys.
func (r *reader) fields(n *yaml.Node, path string, fn func(k, v *yaml.Node)) {
	if n.Kind == yaml.AliasNode {
		r.fault(n, path, "aliases are not supported", "write the value out")
		return
	}
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return
	}
	if n.Kind != yaml.MappingNode {
		r.fault(n, path, "expected a mapping of names to values", "write NAME: VALUE lines")
		return
	}
	seen := make(map[string]int)
	for i := 0; i+1 < len(n.Content); i += 2 {
		k := n.Content[i]
		if first, ok := seen[k.Value]; ok {
			r.fault(k, path+"/"+k.Value, fmt.Sprintf("key doubled, first at line %d", first), "keep one of the two")
			continue
		}
		seen[k.Value] = k.Line
		fn(k, n.Content[i+1])
	}
}

// child says which sections may stand in a node and the level of their members.
type child struct {
	name  string
	level Level
}

// children gives the sections of each level.
func children(level Level) []child {
	switch level {
	case LevelFleet:
		return []child{{"models", LevelModel}, {"endpoints", LevelEndpoint}, {"placements", LevelPlacement}, {"workspaces", LevelWorkspace}}
	case LevelWorkspace:
		return []child{{"services", LevelService}, {"workspaces", LevelWorkspace}}
	case LevelService:
		return []child{{"tiers", LevelTier}}
	}
	return nil
}

// section reads a node that may have a "set" mapping and child sections.
func (r *reader) section(n *yaml.Node, node string, level Level) {
	r.fields(n, node, func(k, v *yaml.Node) {
		if k.Value == "set" {
			r.values(v, node, level)
			return
		}
		for _, c := range children(level) {
			if c.name == k.Value {
				r.members(v, join(node, c.name), c.level)
				return
			}
		}
		r.fault(k, join(node, k.Value), "unknown key", "use one of: "+strings.Join(sectionNames(level), ", "))
	})
}

// members reads the named children of one section.
func (r *reader) members(n *yaml.Node, at string, level Level) {
	r.fields(n, at, func(k, v *yaml.Node) {
		if !validName(k.Value) {
			r.fault(k, join(at, k.Value), "not a name", "use 1 to 64 letters, digits, '-', '_' or '.'")
			return
		}
		node := join(at, k.Value)
		r.add(k, Entry{Node: node})
		if children(level) == nil && level != LevelTier {
			r.values(v, node, level)
			return
		}
		r.section(v, node, level)
	})
}

// values reads the keys that a node sets.
func (r *reader) values(n *yaml.Node, node string, level Level) {
	r.fields(n, node, func(k, v *yaml.Node) {
		path := Entry{Node: node, Key: k.Value}.Path()
		key := FindKey(k.Value, level)
		if key == nil {
			r.fault(k, path, "unknown key", "use one of: "+strings.Join(keyNames(level), ", "))
			return
		}
		text, err := scalar(v, key)
		if err == nil && text == inherit && level&inherited != 0 {
			return
		}
		if err == nil {
			text, err = key.Normalize(text)
		}
		if err != nil {
			r.fault(v, path, err.Error(), "see docs/SETTINGS.md for "+k.Value)
			return
		}
		r.add(k, Entry{Node: node, Key: k.Value, Value: text})
	})
}

// scalar returns the text of a value, with the names of a list joined by commas.
func scalar(v *yaml.Node, key *Key) (string, error) {
	if v.Kind == yaml.ScalarNode && v.Tag != "!!null" && (key.Type != Names || v.Value == inherit) {
		return v.Value, nil
	}
	if key.Type != Names {
		return "", fmt.Errorf("expected a %s", key.Type)
	}
	if v.Kind != yaml.SequenceNode {
		return "", fmt.Errorf("expected a list of names, such as [a, b]")
	}
	names := make([]string, 0, len(v.Content))
	for _, c := range v.Content {
		if c.Kind != yaml.ScalarNode || !validName(c.Value) {
			return "", fmt.Errorf("%q is not a name", c.Value)
		}
		if slices.Contains(names, c.Value) {
			return "", fmt.Errorf("%q stands twice in the list", c.Value)
		}
		names = append(names, c.Value)
	}
	return strings.Join(names, ","), nil
}

// maxName is the longest permitted name, in bytes.
const maxName = 64

// validName reports whether s may name a node.
func validName(s string) bool {
	if s == "" || len(s) > maxName {
		return false
	}
	for _, c := range s {
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.'
		if !ok {
			return false
		}
	}
	return true
}

// join joins two parts of a path.
func join(a, b string) string {
	if a == "" {
		return b
	}
	return a + "/" + b
}

// sectionNames lists what may stand directly in a node of a level.
func sectionNames(level Level) []string {
	names := []string{"set"}
	for _, c := range children(level) {
		names = append(names, c.name)
	}
	return names
}

// keyNames lists the keys of a level.
func keyNames(level Level) []string {
	var names []string
	for i := range Keys {
		if Keys[i].Levels&level != 0 {
			names = append(names, Keys[i].Name)
		}
	}
	return names
}
