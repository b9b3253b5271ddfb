// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

// Belief is what a host takes an endpoint for.
type Belief string

// The beliefs.
const (
	// Unknown is an endpoint that is not in the list.
	Unknown Belief = "unknown"
	// Ready is an endpoint that gets new work.
	Ready Belief = "ready"
	// Leaving is an endpoint that said that it leaves.
	Leaving Belief = "leaving"
	// Lapsed is an endpoint whose entry went while the store was in trouble; it gets new work.
	Lapsed Belief = "lapsed"
	// Reborn is an endpoint that started again under its name; it is told of the change only.
	Reborn Belief = "started again"
)

// Belief tells what an endpoint in a list is taken for.
func (e *Endpoint) Belief() Belief {
	switch {
	case e.Leaving:
		return Leaving
	case e.Lapsed:
		return Lapsed
	default:
		return Ready
	}
}

// Beliefs counts the endpoints in force by what they are taken for.
func (e *Endpoints) Beliefs() map[Belief]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[Belief]int)
	for i := range e.told {
		out[e.told[i].Belief()]++
	}
	return out
}

// Turnover is the endpoints of which a host believes something else than before.
type Turnover struct {
	// Was and Now are the beliefs.
	Was, Now Belief
	// Instances are the endpoints, in order.
	Instances []string
}

// turnovers compares two lists that are sorted by instance, grouped by beliefs. What stays as
// it was is left out.
func turnovers(old, now []Endpoint) []Turnover {
	var out []Turnover
	add := func(was, is Belief, instance string) {
		if was == is {
			return
		}
		for i := range out {
			if out[i].Was == was && out[i].Now == is {
				out[i].Instances = append(out[i].Instances, instance)
				return
			}
		}
		out = append(out, Turnover{Was: was, Now: is, Instances: []string{instance}})
	}
	for len(old) > 0 || len(now) > 0 {
		switch {
		case len(now) == 0 || (len(old) > 0 && old[0].Instance < now[0].Instance):
			add(old[0].Belief(), Unknown, old[0].Instance)
			old = old[1:]
		case len(old) == 0 || now[0].Instance < old[0].Instance:
			add(Unknown, now[0].Belief(), now[0].Instance)
			now = now[1:]
		case old[0].Born != now[0].Born:
			add(old[0].Belief(), Reborn, now[0].Instance)
			old, now = old[1:], now[1:]
		default:
			add(old[0].Belief(), now[0].Belief(), now[0].Instance)
			old, now = old[1:], now[1:]
		}
	}
	return out
}
