// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package sched decides where a request runs, which requests wait and which are refused.
//
// It does no I/O, reads no clock and takes random numbers from a source that is passed in, so that
// equal inputs give equal decisions. Times are durations since a start that the caller chooses.
//
// The inputs of a Scheduler are requests, reports, dispatch results and completions; it returns
// decisions to run, wait or refuse. order.go shows the order in which the rules apply; each rule
// is in a file of its own.
package sched
