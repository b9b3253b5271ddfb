// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package bound

import "time"

// Model is the timing of engines of one kind. A step generates one token for each running request
// and takes Step + n·StepPerRequest for n requests; prefills run between steps.
type Model struct {
	// Slots is the maximum number of requests that run at once.
	Slots int
	// Step is the base duration of a step, and StepPerRequest what each running request adds.
	Step, StepPerRequest time.Duration
	// StepPerContext is what each 1,000 tokens in the context of a running request add to a step.
	StepPerContext time.Duration
	// PrefillPerMS is the number of prompt tokens processed per millisecond, and PrefillPairs the time
	// that each million pairs of prompt tokens adds.
	PrefillPerMS float64
	PrefillPairs time.Duration
	// FirstTokenDelay is the time from the end of the prefill to the first token.
	FirstTokenDelay time.Duration
}

// Engine is one engine over a day.
type Engine struct {
	// Slowness is the factor by which the engine's times exceed those of the model.
	Slowness float64
	// From and To are when the engine became and ceased to be available.
	From, To time.Duration
}

// prefillTime returns the duration of the prefill of a prompt.
func (m *Model) prefillTime(promptTokens int) time.Duration {
	pairs := float64(promptTokens) * float64(promptTokens) / 2 / 1e6
	return time.Duration(float64(promptTokens)/m.PrefillPerMS*float64(time.Millisecond) + pairs*float64(m.PrefillPairs))
}

// tokenTime returns the engine's time that one token of a request takes while all slots are in use:
// the requests in a step share its base duration.
func (m *Model) tokenTime(promptTokens int) time.Duration {
	return m.Step/time.Duration(m.Slots) + m.StepPerRequest + time.Duration(float64(m.StepPerContext)*float64(promptTokens)/1000)
}

// decodeTime returns the minimum time in which an answer is generated after the prefill.
func (m *Model) decodeTime(outputTokens int) time.Duration {
	return time.Duration(outputTokens) * (m.Step + m.StepPerRequest)
}
