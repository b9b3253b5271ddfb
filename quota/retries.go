// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

// RetryBudget bounds the repeated sends of one service on one host.
type RetryBudget struct {
	// Ratio is the credit that each first send earns.
	Ratio float64
	// MaxCredit is the largest credit.
	MaxCredit float64

	credit float64
	begun  bool
}

// NoteFirstAttempt notes a first send.
func (r *RetryBudget) NoteFirstAttempt() {
	r.begin()
	r.credit = min(r.credit+r.Ratio, r.MaxCredit)
}

// Take takes the credit for one repeated send, or tells that there is none.
func (r *RetryBudget) Take() bool {
	r.begin()
	if r.credit < 1 {
		return false
	}
	r.credit--
	return true
}

// begin gives the credit that a host starts with.
func (r *RetryBudget) begin() {
	if !r.begun {
		r.begun = true
		r.credit = r.MaxCredit
	}
}
