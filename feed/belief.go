// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

// State is what a host takes an endpoint for.
type State string

// The beliefs.
const (
	// Unknown is an endpoint that is not in the list.
	Unknown State = "unknown"
	// Ready is an endpoint that gets new work.
	Ready State = "ready"
	// Leaving is an endpoint that said that it leaves.
	Leaving State = "leaving"
	// Lapsed is an endpoint whose entry went while the store was in trouble; it gets new work.
	Lapsed State = "lapsed"
	// Restarted is an endpoint that started again under its name; it is told of the change only.
	Restarted State = "started again"
)

// State tells what an endpoint in a list is taken for.
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

// StateCounts counts the endpoints in force by what they are taken for.
func (e *Endpoints) StateCounts() map[State]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[State]int)
	for i := range e.told {
		out[e.told[i].State()]++
	}
	return out
}

// Transition is the endpoints of which a host believes something else than before.
type Transition struct {
	// From and Now are the beliefs.
	From, To State
	// Instances are the endpoints, in order.
	Instances []string
}

// turnovers compares two lists that are sorted by instance, grouped by beliefs. What stays as
// it was is left out.
func turnovers(old, now []Endpoint) []Transition {
	var out []Transition
	add := func(was, is State, instance string) {
		if was == is {
			return
		}
		for i := range out {
			if out[i].From == was && out[i].To == is {
				out[i].Instances = append(out[i].Instances, instance)
				return
			}
		}
		out = append(out, Transition{From: was, To: is, Instances: []string{instance}})
	}
	for len(old) > 0 || len(now) > 0 {
		switch {
		case len(now) == 0 || (len(old) > 0 && old[0].Instance < now[0].Instance):
			add(old[0].State(), Unknown, old[0].Instance)
			old = old[1:]
		case len(old) == 0 || now[0].Instance < old[0].Instance:
			add(Unknown, now[0].State(), now[0].Instance)
			now = now[1:]
		case old[0].StartedMS != now[0].StartedMS:
			add(old[0].State(), Restarted, now[0].Instance)
			old, now = old[1:], now[1:]
		default:
			add(old[0].State(), now[0].State(), now[0].Instance)
			old, now = old[1:], now[1:]
		}
	}
	return out
}
