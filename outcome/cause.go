// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package outcome

import "net/http"

// Loss is the reason why a request was not answered completely and in time.
type Loss string

// The losses, in the order that tables use.
const (
	// InTime means that the request was answered completely and in time.
	InTime Loss = "in time"
	// LateFirstEvent means that the first event, or the answer, came later than the route's objective.
	LateFirstEvent Loss = "late first"
	// LatePause means that a pause between two events was longer than the route's objective.
	LatePause Loss = "late pause"
	// DeadlineMissed means that the answer was not complete by the deadline.
	DeadlineMissed Loss = "deadline"
	// CallerLeft means that the caller left, more than 100 ms before its deadline.
	CallerLeft Loss = "caller left"
	// EndpointFault means that the endpoint failed or did not complete its answer.
	EndpointFault Loss = "endpoint fault"
	// NoSlot means that the host refused the request temporarily (status 503), for instance
	// because no endpoint had a free slot in time.
	NoSlot Loss = "no place"
	// OverQuota means that the request was refused because its workspace had used up its quota.
	OverQuota Loss = "over amount"
	// CrashesEndpoints means that the request was refused because endpoints crashed while they ran it.
	CrashesEndpoints Loss = "crashes endpoints"
	// InvalidRequest means that the request was refused for another reason, which lies in the request itself.
	InvalidRequest Loss = "improper"
)

// Losses lists all losses in the order that tables use.
var Losses = []Loss{InTime, LateFirstEvent, LatePause, DeadlineMissed, CallerLeft, EndpointFault, NoSlot, OverQuota, CrashesEndpoints, InvalidRequest}

// Final reports whether the event ends its request. The events of single sends do not,
// since another send may follow.
func (e *Event) Final() bool {
	switch e.Outcome {
	case SendLost, NotRun, SentByStaleList, SentByStaleSettings, Continued:
		return false
	}
	return true
}

// Loss returns the loss of a request, given the event that ended it.
func (e *Event) Loss() Loss {
	nearDeadline := e.LeftMS <= nearDeadlineMS
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
	case nearDeadline:
		return DeadlineMissed
	case e.Outcome == CallerGone:
		return CallerLeft
	}
	return EndpointFault
}
