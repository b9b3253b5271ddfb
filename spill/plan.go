// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package spill

// Plan holds the share of the requests of each zone that is sent to each other zone, by sending and
// receiving zone. Zones that send nothing have no entry.
type Plan map[string]map[string]float64

// Share returns the share of a zone's requests that is sent to other zones.
func (p Plan) Share(from string) float64 {
	sum := 0.0
	for _, share := range p[from] {
		sum += share
	}
	return sum
}
