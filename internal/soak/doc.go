// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package soak is a randomized test of the real programs. It starts hkedge as separate processes on
// loopback, with fakes of the platform's store and of endpoints behind them and callers in
// front of them. It injects faults from outside: proxies that delay, stall, reset and silence
// connections, signals, changes of settings, a store that fails, and endpoints that fail, pause and leave.
// The promises are checked against what callers and endpoints see.
//
// The package holds tests only. The rule that a process starts no other process applies to the
// product's programs; this driver is a developers' tool. It ends only processes that it started.
//
//	go test ./internal/soak                                          one short run with a fixed seed, as in CI
//	HEATHKEEL_SOAK=50 go test -v -timeout 1h ./internal/soak         fifty seeds, with the promises about time
//	HEATHKEEL_SOAK=1 HEATHKEEL_SOAK_SEED=7 go test -v ./internal/soak
//	HEATHKEEL_SOAK=1 HEATHKEEL_SOAK_HOSTS=60 go test -v ./internal/soak
//	HEATHKEEL_SOAK_LEAVERS=1 go test -v -run TestLeaversAtSize ./internal/soak
//
// The last command runs 78 processes on one core of the machine, stops each of them again and again
// for short times, and checks the drain time.
//
// A seed gives the same faults in the same order, but not at the same times.
package soak
