// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package outlier

// Failure is the kind of an endpoint's failure to serve a request.
type Failure uint8

// Kinds of failure.
const (
	// Unreachable means that no connection could be established.
	Unreachable Failure = iota
	// Unanswered means that no part of an answer arrived: the connection was reset or closed before the answer,
	// or the endpoint was silent.
	Unanswered
	// Broken means that an answer broke off or was corrupt.
	Broken
	// Errored means that the endpoint answered with an error of its own.
	Errored
	// Rejected means that the endpoint reported that it is full.
	Rejected
	failureKinds
)

// ejectionThresholds holds, for each kind, the number of consecutive failures that eject an endpoint.
//
//   - A refused connection has only one cause.
//   - With a threshold of two unanswered requests, an endpoint that loses 3 % of its answers is ejected once
//     per thousand requests, and one that has died loses two requests of each host.
//   - Answers that break off and errors of the endpoint may be caused by the request, and come from an endpoint
//     that does some work: one that fails 45 % of its requests is ejected by three broken answers in 9 % and by
//     five errors in 2 % of the tries.
//   - A full endpoint is full for a moment; one that rejects four requests in a row does not work.
var ejectionThresholds = [failureKinds]int{Unreachable: 1, Unanswered: 2, Broken: 3, Errored: 5, Rejected: 4}
