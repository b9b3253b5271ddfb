// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package bound computes what a day's requests could earn at most at a day's engines: by a
// scheduler that knows every length, speed and failure in advance and places parts of
// requests. What hosts earned is held against it, to tell a lack of places from a wrong
// choice.
//
// Requests come from the logs of hosts that trace all requests (requests.go), the engines' model
// from the caller (engine.go). The bound is that of a linear program, found by Lagrangian
// relaxation of the engines' time (bound.go): each step's value is a bound by itself, so that
// stopping early only makes it looser. The package is pure: it does no I/O and reads no clock.
package bound
