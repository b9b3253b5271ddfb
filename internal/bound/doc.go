// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package bound computes an upper bound on what the requests of a day could earn with the engines
// of that day: what a scheduler could earn that knows every length, speed and failure in advance
// and can split requests. The comparison with what the hosts earned distinguishes a lack of
// slots from wrong decisions.
//
// Requests come from the logs of hosts that trace all requests (requests.go), the model of the
// engines from the caller (engine.go). The bound is that of a linear program, found by Lagrangian
// relaxation of the limits on the engines' time (bound.go). The value of each step is itself a
// bound, so that stopping early only loosens the result. The package is pure: it does no I/O and
// reads no clock.
package bound
