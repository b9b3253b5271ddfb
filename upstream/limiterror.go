// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

// LimitError means that an endpoint exceeded a limit on responses. Its connection has been closed, and the request may have run.
type LimitError struct {
	// Limit is the limit that was exceeded.
	Limit Limit
	// Cause is the error of the parser, or nil.
	Cause error
}

// Error implements error.
func (e *LimitError) Error() string {
	s := "response exceeds the limit on " + string(e.Limit)
	if e.Cause != nil {
		s += " (" + e.Cause.Error() + ")"
	}
	return s + "; the connection is closed; check the version of the endpoint"
}

// Unwrap returns the error of the parser.
func (e *LimitError) Unwrap() error { return e.Cause }
