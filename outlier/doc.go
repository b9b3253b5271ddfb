// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package outlier detects from the outcomes of requests which endpoints of a pool fail, and ejects them for a
// time: outlier ejection, as in service meshes, with a circuit breaker (closed, open, half-open) for each
// endpoint. A Record holds what one host knows about one incarnation of an endpoint: its own outcomes and the
// sums that other hosts report of theirs. The package does no I/O and reads no clock; times are relative to the
// scheduler's start.
//
// Two conditions eject an endpoint:
//
//   - consecutive failures of this host's own requests; the threshold depends on the kind of failure; and
//   - a failure ratio in the latest requests of all hosts so high that further requests are expected to fail.
//
// After its ejection time an endpoint is half-open: it gets one request at a time, and only repeatable
// requests, until one is answered. Each failed probe doubles the ejection time.
package outlier
