// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

// HeadError means that an endpoint sent bytes that are not the head of a response. Its connection has been closed, since what follows
// belongs to no request. The request may have run.
type HeadError struct {
	// Cause says what is invalid.
	Cause error
}

// Error implements error.
func (e *HeadError) Error() string {
	return "response has an invalid head (" + e.Cause.Error() + "); the connection is closed; check the version of the endpoint"
}

// Unwrap returns the cause.
func (e *HeadError) Unwrap() error { return e.Cause }
