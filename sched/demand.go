// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"cmp"
	"slices"
	"time"
)

// maxDemands is the number of workspaces of a tier at which those without recent attempts are dropped.
const maxDemands = 64

// minDemand is the decayed number of attempts below which a workspace is dropped.
const minDemand = 0.01

// minWeight bounds weights from below, so that a workspace without a weight is served.
const minWeight = 1e-3

// demand holds the recent attempts of a workspace in one tier of a pool.
type demand struct {
	arrivals
	weight float64
	// admitted is the share of its attempts that the tier's ration admits.
	admitted float64
}

// demands holds the demands of the workspaces of a tier.
type demands struct {
	byWorkspace map[string]*demand
	order       []*demand // buffer of divide
}

// add counts an attempt of a workspace.
func (x *demands) add(workspace string, weight float64) {
	d := x.byWorkspace[workspace]
	if d == nil {
		if x.byWorkspace == nil {
			x.byWorkspace = make(map[string]*demand)
		}
		d = &demand{admitted: 1}
		x.byWorkspace[workspace] = d
	}
	d.arrivals.add()
	d.weight = max(weight, minWeight)
}

// rate returns the attempts per second of all workspaces at this host.
func (x *demands) rate() float64 {
	sum := 0.0
	for _, d := range x.byWorkspace {
		sum += d.rate()
	}
	return sum
}

// decay reduces the weight of past attempts by the time dt that has passed.
func (x *demands) decay(dt time.Duration) {
	for name, d := range x.byWorkspace {
		d.arrivals.decay(dt)
		if len(x.byWorkspace) > maxDemands && d.sum < minDemand {
			delete(x.byWorkspace, name)
		}
	}
}

// divide divides the admitted share of all attempts among the workspaces, by weighted max-min fairness.
func (x *demands) divide(share float64) {
	x.order = x.order[:0]
	left, weight := 0.0, 0.0
	for _, d := range x.byWorkspace {
		x.order = append(x.order, d)
		left += d.sum
		weight += d.weight
	}
	left *= share
	slices.SortFunc(x.order, func(a, b *demand) int { return cmp.Compare(a.sum/a.weight, b.sum/b.weight) })
	for _, d := range x.order {
		part := min(d.sum, left*d.weight/weight)
		left -= part
		weight -= d.weight
		d.admitted = 1
		if d.sum > 0 {
			d.admitted = part / d.sum
		}
	}
}
