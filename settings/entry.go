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
// canonical form. An entry with an empty key says that the node exists.
type Entry struct {
	// Node is the path of the node, such as "workspaces/a/services/s"; empty is the fleet.
	Node string `json:"n"`
	// Key is the name of the key, or empty.
	Key string `json:"k,omitempty"`
	// Value is the value in canonical form; lists are joined by commas.
	Value string `json:"v,omitempty"`
}

// Path gives node and key in one text, such as "workspaces/a:deadline".
func (e Entry) Path() string { return e.Node + ":" + e.Key }

// Compare orders entries by node and key.
func Compare(a, b Entry) int {
	if c := cmp.Compare(a.Node, b.Node); c != 0 {
		return c
	}
	return cmp.Compare(a.Key, b.Key)
}

// Declaration is a whole tree as entries sorted by Compare, each path once.
type Declaration []Entry

// Sorted returns d sorted; d itself is reordered.
func (d Declaration) Sorted() Declaration {
	slices.SortFunc(d, Compare)
	return d
}

// Find returns the value at a path and whether it stands in d.
func (d Declaration) Find(node, key string) (string, bool) {
	want := Entry{Node: node, Key: key}
	i := sort.Search(len(d), func(i int) bool { return Compare(d[i], want) >= 0 })
	if i < len(d) && d[i].Node == node && d[i].Key == key {
		return d[i].Value, true
	}
	return "", false
}

// Edit is one difference between two declarations.
type Edit struct {
	// Node and Key name the path.
	Node string `json:"n"`
	Key  string `json:"k,omitempty"`
	// Old and New are the values before and after.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
	// Added says that the path did not stand before; Removed that it does not after.
	Added   bool `json:"added,omitempty"`
	Removed bool `json:"removed,omitempty"`
}

// Path gives node and key in one text.
func (e Edit) Path() string { return Entry{Node: e.Node, Key: e.Key}.Path() }

// Diff returns the edits that lead from a to b, in path order; both must be sorted.
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
// paths of edits whose place was changed otherwise in the meantime; with any,
// the declaration returned is nil. An edit that is already in force is no conflict.
func Merge(d Declaration, edits []Edit) (Declaration, []string) {
	var conflicts []string
	out := slices.Clone(d)
	for _, e := range edits {
		cur, has := d.Find(e.Node, e.Key)
		want := Entry{Node: e.Node, Key: e.Key, Value: e.New}
		i, _ := slices.BinarySearchFunc(out, want, Compare)
		switch {
		case has == !e.Removed && (!has || cur == e.New):
			continue
		case has == e.Added || (has && cur != e.Old):
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

// TopLevel returns the top-level part that an entry belongs to: a top workspace as
// "workspaces/NAME", and the empty text for all that concerns the whole fleet.
func TopLevel(node string) string {
	rest, ok := strings.CutPrefix(node, "workspaces/")
	if !ok {
		return ""
	}
	name, _, _ := strings.Cut(rest, "/")
	return "workspaces/" + name
}
