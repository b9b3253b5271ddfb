// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

// State is the state of an endpoint as a host sees it.
type State string

// States of an endpoint.
const (
	// Unknown is an endpoint that is not in the list.
	Unknown State = "unknown"
	// Ready is an endpoint that gets new work.
	Ready State = "ready"
	// Leaving is an endpoint that announced that it is leaving.
	Leaving State = "leaving"
	// Lapsed is an endpoint whose entry disappeared while the store was failing; it still gets new
	// work.
	Lapsed State = "lapsed"
	// Restarted is an endpoint that started again under the same name. It occurs only as the new state
	// of a Transition.
	Restarted State = "started again"
)

// State returns the state of an endpoint that is in the list.
func (e *Endpoint) State() State {
	switch {
	case e.Leaving:
		return Leaving
	case e.Lapsed:
		return Lapsed
	default:
		return Ready
	}
}

// StateCounts counts the endpoints in force by state.
func (e *Endpoints) StateCounts() map[State]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[State]int)
	for i := range e.published {
		out[e.published[i].State()]++
	}
	return out
}

// Transition is a group of endpoints that changed from one state to another.
type Transition struct {
	// From and To are the states before and after the change.
	From, To State
	// Instances are the endpoints, sorted by name.
	Instances []string
}

// transitions compares two lists that are sorted by instance and groups the changes by states.
// Endpoints whose state did not change are left out.
func transitions(old, next []Endpoint) []Transition {
	var out []Transition
	add := func(from, to State, instance string) {
		if from == to {
			return
		}
		for i := range out {
			if out[i].From == from && out[i].To == to {
				out[i].Instances = append(out[i].Instances, instance)
				return
			}
		}
		out = append(out, Transition{From: from, To: to, Instances: []string{instance}})
	}
	for len(old) > 0 || len(next) > 0 {
		switch {
		case len(next) == 0 || (len(old) > 0 && old[0].Instance < next[0].Instance):
			add(old[0].State(), Unknown, old[0].Instance)
			old = old[1:]
		case len(old) == 0 || next[0].Instance < old[0].Instance:
			add(Unknown, next[0].State(), next[0].Instance)
			next = next[1:]
		case old[0].StartedMS != next[0].StartedMS:
			add(old[0].State(), Restarted, next[0].Instance)
			old, next = old[1:], next[1:]
		default:
			add(old[0].State(), next[0].State(), next[0].Instance)
			old, next = old[1:], next[1:]
		}
	}
	return out
}
