// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package trial measures the decisions of package sched: several hosts' real
// schedulers against stand-in engines on simulated time, seeded, in one
// goroutine. It is no simulator of a cluster: hosts share nothing but floors,
// and messages between hosts and engines take no time beside the lag of reports.
//
// workload.go draws the requests, engines.go steps the engines, hosts.go has
// the policies compared, cases.go the faults, and result.go what is counted.
package trial
