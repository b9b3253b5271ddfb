// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package places

import "encoding/json"

// MaxWants is the largest number of workspaces and tiers for which a host asks for one endpoint's slots.
const MaxWants = 4

// Want says that requests of a workspace and tier wait at a host.
type Want struct {
	// Workspace is the name of the workspace, and Rank the tier, 0 the highest.
	Workspace string `json:"w,omitempty"`
	Rank      int    `json:"k"`
	// N is the number of waiting requests.
	N int `json:"n"`
	// Weight is the weight of the workspace; 0 means 1.
	Weight float64 `json:"g,omitempty"`
}

// Wants is a list of up to MaxWants wants. It is written as a JSON list. Unlike a slice it can be compared, so that hosts notice cheaply
// whether their owners know the current one.
type Wants struct {
	list [MaxWants]Want
	n    int
}

// NewWants returns a list of the first MaxWants wants.
func NewWants(wants ...Want) Wants {
	var w Wants
	w.n = copy(w.list[:], wants)
	return w
}

// All returns the wants in the order in which they were given.
func (w *Wants) All() []Want { return w.list[:w.n] }

// IsZero reports whether the list is empty, so that JSON leaves it out.
func (w Wants) IsZero() bool { return w.n == 0 }

// MarshalJSON implements json.Marshaler.
func (w Wants) MarshalJSON() ([]byte, error) { return json.Marshal(w.list[:w.n]) }

// UnmarshalJSON implements json.Unmarshaler.
func (w *Wants) UnmarshalJSON(data []byte) error {
	var list []Want
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	*w = NewWants(list...)
	return nil
}

// SameWants reports whether two requests want slots for the same workspaces and tiers, whatever the numbers of waiting requests.
func (r Request) SameWants(o Request) bool {
	if r.Rank != o.Rank || r.Wants.n != o.Wants.n {
		return false
	}
	for i, w := range r.Wants.All() {
		if v := o.Wants.list[i]; w.Workspace != v.Workspace || w.Rank != v.Rank || w.Weight != v.Weight {
			return false
		}
	}
	return true
}
