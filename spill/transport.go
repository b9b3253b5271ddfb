// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package spill

import "math"

// transport is a transportation problem between n zones: which zone sends how much to which other
// one, so that the value of what is served, less the cost of sending, is the highest. Each unit that
// is sent is worth 1.
type transport struct {
	supply, room []float64   // by zone
	cost         [][]float64 // by sending and receiving zone
	flow         [][]float64 // the solution
	dist         []float64   // scratch space of solve: least cost to reach a sender (0..n-1) or receiver (n..2n-1)
	previous     []int       // scratch space of solve: the node before, or -1
}

// minFlow is the smallest flow in requests per second; smaller ones are rounding errors.
const minFlow = 1e-6

// newTransport returns a problem without supply, room and costs.
func newTransport(n int) *transport {
	g := &transport{supply: make([]float64, n), room: make([]float64, n), dist: make([]float64, 2*n), previous: make([]int, 2*n)}
	cells := make([]float64, 2*n*n)
	for i := range n {
		g.cost = append(g.cost, cells[i*n:(i+1)*n])
		g.flow = append(g.flow, cells[(n+i)*n:(n+i+1)*n])
	}
	return g
}

// solve finds the solution with successive shortest paths. Each path adds flow from a zone with
// supply to one with room and may move flow between receivers. It ends at the first path that costs
// as much as a request is worth.
func (g *transport) solve() {
	n := len(g.supply)
	// Each path uses up a supply, a room or a flow, so that a few times n*n paths are enough.
	for range 4 * n * n {
		end := g.shortestPath()
		if end < 0 || g.dist[end] >= 1 {
			return
		}
		amount, first := g.room[end-n], end
		for v := end; g.previous[v] >= 0; v = g.previous[v] {
			if u := g.previous[v]; u >= n {
				amount = min(amount, g.flow[v][u-n])
			}
			first = g.previous[v]
		}
		amount = min(amount, g.supply[first])
		g.supply[first] -= amount
		g.room[end-n] -= amount
		for v := end; g.previous[v] >= 0; v = g.previous[v] {
			if u := g.previous[v]; u < n {
				g.flow[u][v-n] += amount
			} else {
				g.flow[v][u-n] -= amount
			}
		}
	}
}

// shortestPath returns the receiver with room that is reached at the least cost, or -1 if there is
// none; dist and previous describe the path.
func (g *transport) shortestPath() int {
	n := len(g.supply)
	for v := range 2 * n {
		g.dist[v], g.previous[v] = math.Inf(1), -1
		if v < n && g.supply[v] > minFlow {
			g.dist[v] = 0
		}
	}
	const tolerance = 1e-12 // rounding errors must not make cycles
	for range 2 * n {
		changed := false
		for i := range n {
			for j := range n {
				if i == j {
					continue
				}
				if d := g.dist[i] + g.cost[i][j]; d < g.dist[n+j]-tolerance {
					g.dist[n+j], g.previous[n+j], changed = d, i, true
				}
				if d := g.dist[n+j] - g.cost[i][j]; g.flow[i][j] > minFlow && d < g.dist[i]-tolerance {
					g.dist[i], g.previous[i], changed = d, n+j, true
				}
			}
		}
		if !changed {
			break
		}
	}
	best := -1
	for v := n; v < 2*n; v++ {
		if g.room[v-n] > minFlow && (best < 0 || g.dist[v] < g.dist[best]) {
			best = v
		}
	}
	if best >= 0 && math.IsInf(g.dist[best], 1) {
		return -1
	}
	return best
}
