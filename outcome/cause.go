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
	// LateFirstEvent means that the first event or answer came after the objective.
	LateFirstEvent Loss = "late first"
	// LatePause means that a pause between two events was longer than wanted.
	LatePause Loss = "late pause"
	// DeadlineMissed means that the answer was not whole by the deadline.
	DeadlineMissed Loss = "deadline"
	// CallerLeft means that the caller left well before its deadline.
	CallerLeft Loss = "caller left"
	// EndpointFault means that the endpoint failed, or broke its answer off.
	EndpointFault Loss = "endpoint fault"
	// NoSlot means a refusal because no endpoint had room in time.
	NoSlot Loss = "no place"
	// OverQuota means a refusal because the workspace's amount was used up.
	OverQuota Loss = "over amount"
	// CrashesEndpoints means a refusal because endpoints crashed under the request.
	CrashesEndpoints Loss = "crashes endpoints"
	// InvalidRequest means that the request itself was refused.
	InvalidRequest Loss = "improper"
)

// Losses are all of them in the order in which tables show them.
var Losses = []Loss{InTime, LateFirstEvent, LatePause, DeadlineMissed, CallerLeft, EndpointFault, NoSlot, OverQuota, CrashesEndpoints, InvalidRequest}

// Final tells whether the event ends its request: a send may be followed by another.
func (e *Event) Final() bool { return e.Outcome != SendLost && e.Outcome != SentByStaleList }

// Loss names what was lost by the event that ended a request.
func (e *Event) Loss() Loss {
	late := e.LeftMS <= nearDeadline
	switch {
	case e.Outcome == Served && e.ObjectiveMS > 0 && e.FirstEventMS > e.ObjectiveMS:
		return LateFirstEvent
	case e.Outcome == Served && e.PauseObjectiveMS > 0 && e.LongestPauseMS > e.PauseObjectiveMS:
		return LatePause
	case e.Outcome == Served:
		return InTime
	case e.Outcome == Held:
		return CrashesEndpoints
	case e.Outcome == Refused && e.Status == http.StatusTooManyRequests:
		return OverQuota
	case e.Outcome == Refused && e.Status == http.StatusServiceUnavailable:
		return NoSlot
	case e.Outcome == Refused:
		return InvalidRequest
	case e.Outcome == EndpointFailed:
		return EndpointFault
	case late:
		return DeadlineMissed
	case e.Outcome == CallerGone:
		return CallerLeft
	}
	return EndpointFault
}
