// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package placer

// Constants of demand. Engines that no placement needs are given slowly to models whose
// engines are overloaded, and taken back more slowly still, so that reports that lag do not
// make models flap.
const (
	// highLoad and lowLoad are thresholds of the load of a model's engines, which is the
	// number of requests running or waiting there divided by the number of slots. Above
	// highLoad a model has too few engines, below lowLoad too many.
	highLoad = 0.9
	lowLoad  = 0.4
	// highLoadSweeps and lowLoadSweeps are the numbers of sweeps in a row for which a load
	// must last before the number of engines changes.
	highLoadSweeps = 5
	lowLoadSweeps  = 60
)

// modelDemand tracks the load of one model of a zone and the extra replicas that it gets.
type modelDemand struct {
	extraReplicas         int
	highSweeps, lowSweeps int
}

// noteLoad updates the demand with the load of one sweep.
func (d *modelDemand) noteLoad(load float64) {
	d.highSweeps++
	d.lowSweeps++
	if load < highLoad {
		d.highSweeps = 0
	}
	if load > lowLoad {
		d.lowSweeps = 0
	}
	if d.highSweeps >= highLoadSweeps {
		d.extraReplicas++
		d.highSweeps = 0
	}
	if d.lowSweeps >= lowLoadSweeps {
		d.extraReplicas = max(0, d.extraReplicas-1)
		d.lowSweeps = 0
	}
}

// zoneDemand holds the demand of each placement of a zone, by its name.
type zoneDemand map[string]*modelDemand

// noteReports updates the demand of all placements with the reports of one sweep.
func (ds zoneDemand) noteReports(placements []DesiredPlacement, engines []Engine) {
	for i := range placements {
		pl := &placements[i]
		busy, slots := 0, 0
		for _, e := range engines {
			if e.Reachable && sameModel(e.Loaded, pl.modelSpec()) && e.Role != RoleDrain {
				busy += e.Busy
				slots += e.Slots
			}
		}
		if slots == 0 {
			continue
		}
		d := ds[pl.Name]
		if d == nil {
			d = &modelDemand{}
			ds[pl.Name] = d
		}
		d.noteLoad(float64(busy) / float64(slots))
		d.extraReplicas = min(d.extraReplicas, len(engines))
	}
}

// extraRankOffset is added to the ranks of extra replicas. It is larger than the rank of
// any declared replica.
const extraRankOffset = 1000

// extraPlacements returns placements for the extra replicas that demand adds to the
// declared ones. They have the lowest urgency, so that they get only engines that no
// declared placement needs.
func (ds zoneDemand) extraPlacements(placements []DesiredPlacement) []DesiredPlacement {
	var out []DesiredPlacement
	for _, pl := range placements {
		d := ds[pl.Name]
		if d == nil || d.extraReplicas == 0 || pl.Replicas == 0 {
			continue
		}
		pl.Name += " (demand)"
		pl.Replicas = d.extraReplicas
		pl.Rank += extraRankOffset
		out = append(out, pl)
	}
	return out
}
