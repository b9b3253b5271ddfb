// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"fmt"
	"time"

	"github.com/heathkeel/heathkeel/sched"
)

// lostSend says why the newest send of a call has no complete response.
type lostSend struct {
	// silence is the silence of the endpoint after which another one took over, or 0 if the send ended by itself.
	silence time.Duration
	// cause says why the response could not be read, or is nil.
	cause error
}

// maxCauseBytes limits the text of a cause in a log line; it may quote what the endpoint sent.
const maxCauseBytes = 200

// why returns the explanation for the log.
func (l lostSend) why() string {
	if l.silence > 0 {
		return "the endpoint was silent, and another one took over"
	}
	return l.withCause("the endpoint did not send a complete response")
}

// withCause appends the cause to an explanation.
func (l lostSend) withCause(why string) string {
	if l.cause == nil {
		return why
	}
	return fmt.Sprintf("%s: %.*s", why, maxCauseBytes, l.cause.Error())
}

// Reasons why a request is not sent again.
const (
	reasonUnreachable   sched.Reason = "several endpoints could not be reached"
	reasonRejects       sched.Reason = "several endpoints did not run it"
	reasonNotRepeatable sched.Reason = "its route does not allow repeats"
	reasonAttempts      sched.Reason = "all attempts of its route are used"
	reasonRetryBudget   sched.Reason = "the retry budget of its service is used up"
)

// failures counts the sends of a call that were not run.
type failures struct {
	dials, rejects int
}

// retryDenied returns why a request is not sent again after a send with the given outcome, or an empty reason if it may be.
func (c *call) retryDenied(result sendOutcome, f failures) sched.Reason {
	switch {
	case result == sendUnsent && f.dials >= maxDials:
		return reasonUnreachable
	case result == sendUnsent:
		return ""
	case result == sendNotExecuted && f.rejects > maxRejects:
		return reasonRejects
	case result == sendNotExecuted:
	case !c.route.MayRepeat():
		return reasonNotRepeatable
	case c.sends() >= c.route.Attempts+f.rejects:
		return reasonAttempts
	}
	if c.retryCharged {
		c.retryCharged = false
		return ""
	}
	if !c.s.takeRetry(c.service.Name) {
		return reasonRetryBudget
	}
	return ""
}
