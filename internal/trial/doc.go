// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package trial measures the decisions of package sched: the schedulers of several
// hosts run against fake engines on simulated time, in one goroutine and with
// seeded randomness. It doesn't simulate a whole cluster: hosts share nothing but
// floors, and messages between hosts and engines take no time, except that reports
// lag.
//
// workload.go draws the requests, engines.go steps the engines, hosts.go has the
// compared policies, cases.go the faults, and result.go the counters.
package trial
