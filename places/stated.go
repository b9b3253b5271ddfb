// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package places

// maxStated is the largest value of a stated load. Larger ones cannot be meant.
const maxStated = 1_000_000

// UsualTime is the stated Slowdown of an endpoint at which work takes its usual time.
const UsualTime = 100

// StatedLoad is what an endpoint stated about its load in a response. A host that read it sends it to the owner of the endpoint's slots,
// which hears of each response while the host itself gets one only every few seconds.
type StatedLoad struct {
	// Running, Waiting and Slots count requests of all hosts.
	Running int `json:"r"`
	Waiting int `json:"w"`
	Slots   int `json:"s"`
	// Slowdown is how long work takes there, in hundredths of its usual time; 0 means that the endpoint does not say.
	Slowdown int `json:"x,omitempty"`
	// AgeMS is the time since the response arrived, in milliseconds.
	AgeMS int `json:"a,omitempty"`
}

// Valid reports whether all values are in range.
func (l *StatedLoad) Valid() bool {
	inRange := func(v, least int) bool { return v >= least && v <= maxStated }
	return inRange(l.Running, 0) && inRange(l.Waiting, 0) && inRange(l.Slots, 1) && inRange(l.Slowdown, 0) && inRange(l.AgeMS, 0)
}
