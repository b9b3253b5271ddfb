// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package settings

import (
	"cmp"
	"slices"
	"sort"
	"strings"
)

// Entry is one declared value: the path of its node, its key and its value in
// canonical form. An entry with an empty key declares that the node exists.
type Entry struct {
	// Node is the path of the node, such as "workspaces/a/services/s"; empty for the fleet.
	Node string `json:"n"`
	// Key is the name of the key; empty in an entry that declares the node.
	Key string `json:"k,omitempty"`
	// Value is the value in canonical form; lists are joined by commas.
	Value string `json:"v,omitempty"`
}

// Path returns node and key as one string, such as "workspaces/a:deadline".
func (e Entry) Path() string { return e.Node + ":" + e.Key }

// Compare orders entries by node, then by key.
func Compare(a, b Entry) int {
	if c := cmp.Compare(a.Node, b.Node); c != 0 {
		return c
	}
	return cmp.Compare(a.Key, b.Key)
}

// Declaration is a whole tree as entries sorted by Compare, with unique paths.
type Declaration []Entry

// Sorted sorts d in place and returns it.
func (d Declaration) Sorted() Declaration {
	slices.SortFunc(d, Compare)
	return d
}

// Find returns the value at a path and whether d contains the path.
func (d Declaration) Find(node, key string) (string, bool) {
	target := Entry{Node: node, Key: key}
	i := sort.Search(len(d), func(i int) bool { return Compare(d[i], target) >= 0 })
	if i < len(d) && d[i].Node == node && d[i].Key == key {
		return d[i].Value, true
	}
	return "", false
}

// Edit is the change of one path between two declarations.
type Edit struct {
	// Node and Key identify the path.
	Node string `json:"n"`
	Key  string `json:"k,omitempty"`
	// Old and New are the values before and after.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
	// Added reports that the path is only in the new declaration, Removed that it is only in the old one.
	Added   bool `json:"added,omitempty"`
	Removed bool `json:"removed,omitempty"`
}

// Path returns node and key as one string, as Entry.Path does.
func (e Edit) Path() string { return Entry{Node: e.Node, Key: e.Key}.Path() }

// Diff returns the edits that change a into b, in path order; both must be sorted.
func Diff(a, b Declaration) []Edit {
	var edits []Edit
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		c := 0
		switch {
		case i == len(a):
			c = 1
		case j == len(b):
			c = -1
		default:
			c = Compare(a[i], b[j])
		}
		switch {
		case c < 0:
			edits = append(edits, Edit{Node: a[i].Node, Key: a[i].Key, Old: a[i].Value, Removed: true})
			i++
		case c > 0:
			edits = append(edits, Edit{Node: b[j].Node, Key: b[j].Key, New: b[j].Value, Added: true})
			j++
		default:
			if a[i].Value != b[j].Value {
				edits = append(edits, Edit{Node: a[i].Node, Key: a[i].Key, Old: a[i].Value, New: b[j].Value})
			}
			i++
			j++
		}
	}
	return edits
}

// Merge applies edits, made against an older declaration, to d. It returns the
// result and the paths in conflict: those to which d has made a different change in
// the meantime. If there are conflicts, the result is nil. An edit that d already
// contains is no conflict.
func Merge(d Declaration, edits []Edit) (Declaration, []string) {
	var conflicts []string
	out := slices.Clone(d)
	for _, e := range edits {
		current, exists := d.Find(e.Node, e.Key)
		want := Entry{Node: e.Node, Key: e.Key, Value: e.New}
		i, _ := slices.BinarySearchFunc(out, want, Compare)
		switch {
		case exists == !e.Removed && (!exists || current == e.New):
			continue
		case exists == e.Added || (exists && current != e.Old):
			conflicts = append(conflicts, e.Path())
		case e.Removed:
			out = slices.Delete(out, i, i+1)
		case e.Added:
			out = slices.Insert(out, i, want)
		default:
			out[i] = want
		}
	}
	if len(conflicts) > 0 {
		return nil, conflicts
	}
	return out, nil
}

// TopLevel returns the path of the top-level workspace that a node belongs to, as
// "workspaces/NAME", or the empty string for nodes that concern the whole fleet.
func TopLevel(node string) string {
	rest, ok := strings.CutPrefix(node, "workspaces/")
	if !ok {
		return ""
	}
	name, _, _ := strings.Cut(rest, "/")
	return "workspaces/" + name
}
