// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package bound

import "time"

// Model is how long engines of one kind take. A step makes one token for each running request
// and takes Step + n·StepPerRequest; prompts are read between steps.
type Model struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Step is the time of a step, and StepPerRequest what each running request adds.
	Step, StepPerRequest time.Duration
	// StepPerContext is what each 1,000 tokens in a running request's memory add.
	StepPerContext time.Duration
	// PrefillPerMS is the number of prompt tokens read in a millisecond, and PrefillPairs
	// the time that a million pairs of prompt tokens add.
	PrefillPerMS float64
	PrefillPairs time.Duration
	// FirstTokenDelay is the time from the end of a prompt's reading to its first token.
	FirstTokenDelay time.Duration
}

// Engine is one engine over a day.
type Engine struct {
	// Slowness multiplies all times of the model.
	Slowness float64
	// From and To are when it was there.
	From, To time.Duration
}

// prefill is the time in which a prompt of n tokens is read.
func (m *Model) prefill(n int) time.Duration {
	pairs := float64(n) * float64(n) / 2 / 1e6
	return time.Duration(float64(n)/m.PrefillPerMS*float64(time.Millisecond) + pairs*float64(m.PrefillPairs))
}

// token is the engine's time that a token of a request takes while all slots run: a step's time is
// shared by the requests in it.
func (m *Model) token(prompt int) time.Duration {
	return m.Step/time.Duration(m.Slots) + m.StepPerRequest + time.Duration(float64(m.StepPerContext)*float64(prompt)/1000)
}

// decode is the least time in which n tokens come once the prompt is read.
func (m *Model) decode(n int) time.Duration {
	return time.Duration(n) * (m.Step + m.StepPerRequest)
}
