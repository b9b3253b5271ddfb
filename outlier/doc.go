// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package outlier judges from the outcomes of requests which endpoints of a pool fail, and leaves these alone for
// a time: outlier ejection, as service meshes have it, with circuit breaking (closed, open, half open) for each endpoint.
// A Record holds what one host knows of one life of an endpoint: its own outcomes, and the sums that other hosts tell
// of theirs. It does no I/O and reads no clock; times are since the scheduler's start.
//
// Two things eject an endpoint:
//
//   - failures in a row of this host's own requests, how many depends on their kind; and
//   - a part of failures in the latest requests of all hosts that leaves nothing to hope for.
//
// After its time an ejected endpoint is half open: it gets one request at a time, and only such as may be repeated,
// until one is answered. Each failure of such a probe doubles the time.
package outlier
