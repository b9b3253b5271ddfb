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
	// Name is the name of the file, as faults show it.
	Name string
	// Data is the content.
	Data []byte
}

// Source is the position at which an entry was declared.
type Source struct {
	// File is the name of the file and Line the line in it.
	File string
	Line int
}

// Fault is one error in a declaration.
type Fault struct {
	Source
	// Path is the path of the entry or node in the tree.
	Path string
	// Message describes the error and Remedy how to correct it.
	Message, Remedy string
}

// String returns the fault as one line that begins with file and line.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s; %s", f.File, f.Line, f.Path, f.Message, f.Remedy)
}

// Faults is a list of faults, usable as one error.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// Parsed is the result of parsing a set of files.
type Parsed struct {
	// Declaration is the parsed tree; it is complete only if Faults is empty.
	Declaration Declaration
	// Sources maps each path to the position of its declaration.
	Sources map[string]Source
	// Faults lists all faults found, sorted by file and line.
	Faults Faults
}

// reader collects the entries and faults of one file while it walks the YAML nodes.
type reader struct {
	file string
	out  *Parsed
}

// Parse parses all files as one declaration and checks it. If the result has faults,
// its declaration should not be used.
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
	p.Faults = append(p.Faults, checkReferences(p)...)
	slices.SortStableFunc(p.Faults, func(a, b Fault) int {
		if c := strings.Compare(a.File, b.File); c != 0 {
			return c
		}
		return a.Line - b.Line
	})
	return p
}

// fault records one fault at the position of n.
func (r *reader) fault(n *yaml.Node, path, message, remedy string) {
	src := Source{File: r.file, Line: n.Line}
	r.out.Faults = append(r.out.Faults, Fault{Source: src, Path: path, Message: message, Remedy: remedy})
}

// add records one entry, or a fault if its path already has a value.
func (r *reader) add(n *yaml.Node, e Entry) {
	if prev, ok := r.out.Sources[e.Path()]; ok {
		// Several files may declare the same node, but a value may be set only once.
		if e.Key != "" {
			r.fault(n, e.Path(), fmt.Sprintf("declared twice, first at %s:%d", prev.File, prev.Line), "keep one of the two")
		}
		return
	}
	r.out.Sources[e.Path()] = Source{File: r.file, Line: n.Line}
	r.out.Declaration = append(r.out.Declaration, e)
}

// fields calls fn for each key of a mapping. It records a fault for duplicate keys
// and for nodes that are not mappings; a null node counts as an empty mapping.
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
			r.fault(k, path+"/"+k.Value, fmt.Sprintf("duplicate key, first at line %d", first), "keep one of the two")
			continue
		}
		seen[k.Value] = k.Line
		fn(k, n.Content[i+1])
	}
}

// childSection is a section that a node may contain, and the level of the section's members.
type childSection struct {
	name  string
	level Level
}

// childSections returns the sections that a node of a level may contain.
func childSections(level Level) []childSection {
	switch level {
	case LevelFleet:
		return []childSection{{"models", LevelModel}, {"endpoints", LevelEndpoint}, {"placements", LevelPlacement}, {"workspaces", LevelWorkspace}}
	case LevelWorkspace:
		return []childSection{{"services", LevelService}, {"workspaces", LevelWorkspace}}
	case LevelService:
		return []childSection{{"tiers", LevelTier}}
	}
	return nil
}

// section reads a node that may contain a "set" mapping and child sections.
func (r *reader) section(n *yaml.Node, node string, level Level) {
	r.fields(n, node, func(k, v *yaml.Node) {
		if k.Value == "set" {
			r.values(v, node, level)
			return
		}
		for _, c := range childSections(level) {
			if c.name == k.Value {
				r.members(v, joinPath(node, c.name), c.level)
				return
			}
		}
		r.fault(k, joinPath(node, k.Value), "unknown key", "use one of: "+strings.Join(sectionNames(level), ", "))
	})
}

// members reads the named children of the section at sectionPath.
func (r *reader) members(n *yaml.Node, sectionPath string, level Level) {
	r.fields(n, sectionPath, func(k, v *yaml.Node) {
		if !validName(k.Value) {
			r.fault(k, joinPath(sectionPath, k.Value), "not a valid name", "use 1 to 64 letters, digits, '-', '_' or '.'")
			return
		}
		node := joinPath(sectionPath, k.Value)
		r.add(k, Entry{Node: node})
		if childSections(level) == nil && level != LevelTier {
			r.values(v, node, level)
			return
		}
		r.section(v, node, level)
	})
}

// values reads the keys that a node sets. An explicit "inherit" adds no entry.
func (r *reader) values(n *yaml.Node, node string, level Level) {
	r.fields(n, node, func(k, v *yaml.Node) {
		path := Entry{Node: node, Key: k.Value}.Path()
		key := FindKey(k.Value, level)
		if key == nil {
			r.fault(k, path, "unknown key", "use one of: "+strings.Join(keyNames(level), ", "))
			return
		}
		text, err := scalar(v, key)
		if err == nil && text == inheritValue && level&inheritingLevels != 0 {
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

// scalar returns the text of a value; the names of a list are joined by commas.
func scalar(v *yaml.Node, key *Key) (string, error) {
	if v.Kind == yaml.ScalarNode && v.Tag != "!!null" && (key.Type != Names || v.Value == inheritValue) {
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
			return "", fmt.Errorf("%q is not a valid name", c.Value)
		}
		if slices.Contains(names, c.Value) {
			return "", fmt.Errorf("%q appears twice in the list", c.Value)
		}
		names = append(names, c.Value)
	}
	return strings.Join(names, ","), nil
}

// maxName is the maximum length of a name, in bytes.
const maxName = 64

// validName reports whether s is a permitted name of a node.
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

// joinPath joins two parts of a path by a slash; the first part may be empty.
func joinPath(a, b string) string {
	if a == "" {
		return b
	}
	return a + "/" + b
}

// sectionNames returns the names that a node of a level may contain: "set" and its sections.
func sectionNames(level Level) []string {
	names := []string{"set"}
	for _, c := range childSections(level) {
		names = append(names, c.name)
	}
	return names
}

// keyNames returns the names of the keys that may be set at a level.
func keyNames(level Level) []string {
	var names []string
	for i := range Keys {
		if Keys[i].Levels&level != 0 {
			names = append(names, Keys[i].Name)
		}
	}
	return names
}
