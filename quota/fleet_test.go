// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import (
	"fmt"
	"time"
)

// fleet simulates hosts that report to each other what they used, with losses.
type fleet struct {
	tolerance    Tolerance
	now          time.Duration
	books        []*Book
	incarnations []uint64
	isolated     []bool          // sends and receives nothing
	upAt         []time.Duration // when the host's process has started
	uses         []use
}

// use is an amount that was taken.
type use struct {
	at     time.Duration
	amount float64
}

// step is the time step of the simulation.
const step = 20 * time.Millisecond

func newFleet(n int, tolerance Tolerance) *fleet {
	f := &fleet{tolerance: tolerance, books: make([]*Book, n), incarnations: make([]uint64, n), isolated: make([]bool, n), upAt: make([]time.Duration, n)}
	for i := range n {
		f.restart(i, n)
		f.books[i].StartFull = true
	}
	return f
}

// restart replaces a host by a new incarnation, which knows nothing.
func (f *fleet) restart(i, n int) {
	f.books[i] = NewBook(f.now)
	f.books[i].Tolerance = f.tolerance
	f.books[i].SetHosts(n, 0)
	f.incarnations[i]++
}

// restartTime is the time from a process's end to the start of the next; real processes took 0.52 s.
const restartTime = 500 * time.Millisecond

// kill ends a host's process, which starts again after restartTime.
func (f *fleet) kill(i, n int) {
	f.upAt[i] = f.now + restartTime
	f.now += restartTime
	f.restart(i, n)
	f.now -= restartTime
}

// report sends the reports of all hosts to all others; lost says which reports do not arrive.
func (f *fleet) report(lost func() bool) {
	for i := range f.books {
		r := f.books[i].Report(f.now)
		for j := range f.books {
			if i != j && !f.isolated[i] && !f.isolated[j] && f.now >= f.upAt[i] && f.now >= f.upAt[j] && !lost() {
				f.books[j].ApplyReport(f.now, fmt.Sprint(i), f.incarnations[i], r)
			}
		}
	}
}

// maxUse returns the maximum use within any window.
func (f *fleet) maxUse(window time.Duration) float64 {
	peak, sum, first := 0.0, 0.0, 0
	for _, u := range f.uses {
		sum += u.amount
		for f.uses[first].at <= u.at-window {
			sum -= f.uses[first].amount
			first++
		}
		peak = max(peak, sum)
	}
	return peak
}
