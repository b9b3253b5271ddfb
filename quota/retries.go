// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

// RetryBudget limits the retries of one service on one host.
type RetryBudget struct {
	// Ratio is the credit that each first attempt earns.
	Ratio float64
	// MaxCredit is the maximum credit, which is also the initial one.
	MaxCredit float64

	credit      float64
	initialized bool
}

// NoteFirstAttempt adds the credit of a first attempt.
func (r *RetryBudget) NoteFirstAttempt() {
	r.initialize()
	r.credit = min(r.credit+r.Ratio, r.MaxCredit)
}

// Take takes the credit for one retry, or returns false if there is none.
func (r *RetryBudget) Take() bool {
	r.initialize()
	if r.credit < 1 {
		return false
	}
	r.credit--
	return true
}

// Return gives the credit of a retry back that was not sent.
func (r *RetryBudget) Return() { r.credit = min(r.credit+1, r.MaxCredit) }

// initialize sets the initial credit.
func (r *RetryBudget) initialize() {
	if !r.initialized {
		r.initialized = true
		r.credit = r.MaxCredit
	}
}
