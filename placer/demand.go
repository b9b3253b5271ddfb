// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package placer

// Figures of demand. Engines that no placement needs are given to models that are
// short, slowly, and taken back more slowly still, so that lagged reports do not
// make models flap.
const (
	// highLoad and lowLoad are the busy requests over slots of a model's engines
	// above which it is short and below which it has too many.
	highLoad = 0.9
	lowLoad  = 0.4
	// highSweeps and lowSweeps are the sweeps in a row that it must last.
	highSweeps = 5
	lowSweeps  = 60
)

// demand follows how busy one model of a zone is.
type demand struct {
	extra     int
	high, low int
}

// note takes the load of one sweep.
func (d *demand) note(load float64) {
	d.high++
	d.low++
	if load < highLoad {
		d.high = 0
	}
	if load > lowLoad {
		d.low = 0
	}
	if d.high >= highSweeps {
		d.extra++
		d.high = 0
	}
	if d.low >= lowSweeps {
		d.extra = max(0, d.extra-1)
		d.low = 0
	}
}

// demands follows all models of a zone.
type demands map[string]*demand

// note takes the reports of one sweep.
func (ds demands) note(wishes []DesiredPlacement, engines []Engine) {
	for i := range wishes {
		w := &wishes[i]
		busy, slots := 0, 0
		for _, e := range engines {
			if e.Reachable && same(e.Loaded, w.holding()) && e.Role != RoleDrain {
				busy += e.Busy
				slots += e.Slots
			}
		}
		if slots == 0 {
			continue
		}
		d := ds[w.Name]
		if d == nil {
			d = &demand{}
			ds[w.Name] = d
		}
		d.note(float64(busy) / float64(slots))
		d.extra = min(d.extra, len(engines))
	}
}

// extraRank comes after the ranks of all declared replicas.
const extraRank = 1000

// extras returns wishes for what demand adds to the declared replicas. They come
// last, so that they get only engines that no placement needs.
func (ds demands) extras(wishes []DesiredPlacement) []DesiredPlacement {
	var out []DesiredPlacement
	for _, w := range wishes {
		d := ds[w.Name]
		if d == nil || d.extra == 0 || w.Replicas == 0 {
			continue
		}
		w.Name += " (demand)"
		w.Replicas = d.extra
		w.Rank += extraRank
		out = append(out, w)
	}
	return out
}
