// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package sched decides where a request runs, what waits and what is refused.
//
// It is pure: it does no I/O, reads no clock and draws chance from a source
// that is passed in, so that equal inputs give equal decisions. Times are
// durations since a start that the caller chooses.
//
// A Scheduler is fed requests, reports, dispatch results and completions, and
// returns grants and refusals. order.go shows in one place which rule comes
// when; each rule stands in a file of its own.
package sched
