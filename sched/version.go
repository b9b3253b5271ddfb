// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// versionRetryAfter is the time after which a request that only one version of the endpoints' software may serve is asked to come
// back if no endpoint of that version gets requests: endpoints that crash are back after some seconds.
const versionRetryAfter = time.Second

// accepts reports whether an endpoint is of the version that the request needs, or, if it needs none, may begin its answer.
func (r *Request) accepts(e *endpointState) bool {
	if r.Version == "" {
		return !r.Resumable || !e.Unrecorded
	}
	return r.Version == e.Version
}

// isRestricted reports whether the version of an endpoint may keep it from serving the request.
func (s *Scheduler) isRestricted(r *Request) bool {
	return r.Version != "" || r.Resumable && s.anyUnrecorded
}

// versionServes reports whether an endpoint of the version that a request needs gets requests, leaving out one of them.
func (s *Scheduler) versionServes(r *Request, except *endpointState) bool {
	if r.Version == "" {
		return true
	}
	for _, e := range r.pool.members {
		if e != except && e.present && !e.Leaving && r.accepts(e) {
			return true
		}
	}
	return false
}
