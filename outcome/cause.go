// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package outcome

import "net/http"

// Loss says what kept a request from being answered whole and in time.
type Loss string

// The losses, in the order in which tables show them.
const (
	// InTime means that nothing was lost.
	InTime Loss = "in time"
	// LateFirst means that the first event or answer came after the objective.
	LateFirst Loss = "late first"
	// LatePause means that a pause between two events was longer than wanted.
	LatePause Loss = "late pause"
	// AtDeadline means that the answer was not whole by the deadline.
	AtDeadline Loss = "deadline"
	// CallerLeft means that the caller left well before its deadline.
	CallerLeft Loss = "caller left"
	// EndpointFault means that the endpoint failed, or broke its answer off.
	EndpointFault Loss = "endpoint fault"
	// NoPlace means a refusal because no endpoint had room in time.
	NoPlace Loss = "no place"
	// OverAmount means a refusal because the workspace's amount was used up.
	OverAmount Loss = "over amount"
	// CrashesEndpoints means a refusal because endpoints crashed under the request.
	CrashesEndpoints Loss = "crashes endpoints"
	// Improper means that the request itself was refused.
	Improper Loss = "improper"
)

// Losses are all of them in the order in which tables show them.
var Losses = []Loss{InTime, LateFirst, LatePause, AtDeadline, CallerLeft, EndpointFault, NoPlace, OverAmount, CrashesEndpoints, Improper}

// Final tells whether the event ends its request: a send may be followed by another.
func (e *Event) Final() bool { return e.Outcome != SendLost && e.Outcome != SentByOldList }

// Loss names what was lost by the event that ended a request.
func (e *Event) Loss() Loss {
	late := e.LeftMS <= nearDeadline
	switch {
	case e.Outcome == Served && e.ObjectiveMS > 0 && e.FirstMS > e.ObjectiveMS:
		return LateFirst
	case e.Outcome == Served && e.PauseObjectiveMS > 0 && e.LongestPauseMS > e.PauseObjectiveMS:
		return LatePause
	case e.Outcome == Served:
		return InTime
	case e.Outcome == Held:
		return CrashesEndpoints
	case e.Outcome == Refused && e.Status == http.StatusTooManyRequests:
		return OverAmount
	case e.Outcome == Refused && e.Status == http.StatusServiceUnavailable:
		return NoPlace
	case e.Outcome == Refused:
		return Improper
	case e.Outcome == EndpointFailed:
		return EndpointFault
	case late:
		return AtDeadline
	case e.Outcome == Gone:
		return CallerLeft
	}
	return EndpointFault
}
