// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package outlier

// Failure is how an endpoint failed a request.
type Failure uint8

// The failures.
const (
	// Unreachable means that no connection came up.
	Unreachable Failure = iota
	// Unanswered means that nothing came back: a reset or a close before the answer, or silence.
	Unanswered
	// Broken means that an answer broke off, or was spoiled.
	Broken
	// Errored means that the endpoint answered with a failure of its own.
	Errored
	// Rejected means that the endpoint said that it is full.
	Rejected
	failures
)

// inRow is the number of failures of a kind in a row that eject an endpoint.
//
//   - A connection that is refused has one reason only.
//   - Without an answer to two requests in a row, an endpoint that loses 3 in 100 answers is ejected
//     once in a thousand requests, and one that has died loses two requests of a host.
//   - Answers that break off and errors of its own may be the request's fault, and come from an endpoint that does
//     some work: one that fails 45 in 100 is ejected by three and five of them in 9 and 2 of 100 tries.
//   - A full endpoint is full for a moment; one that says so four times in a row does not work.
var inRow = [failures]int{Unreachable: 1, Unanswered: 2, Broken: 3, Errored: 5, Rejected: 4}
