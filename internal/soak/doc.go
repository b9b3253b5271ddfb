// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package soak is a randomized test of the real programs: it starts hkedge as processes of its own on
// loopback, before stand-ins of the platform's store and of endpoints, with callers, and brings
// about faults from outside: proxies that delay, hold, reset and silence connections, signals, changes
// of settings, a store that fails, endpoints that fail and leave. The promises are checked
// from what callers and endpoints see.
//
// The package holds tests only. The rule that a process starts no other is one of the product's
// programs; the driver here is a developers' tool. It ends only processes that it started.
//
//	go test ./internal/soak                                          one short run with a fixed seed, as in CI
//	HEATHKEEL_SOAK=50 go test -v -timeout 1h ./internal/soak         fifty seeds, with the promises about time
//	HEATHKEEL_SOAK=1 HEATHKEEL_SOAK_SEED=7 go test -v ./internal/soak
//	HEATHKEEL_SOAK=1 HEATHKEEL_SOAK_HOSTS=60 go test -v ./internal/soak
//	HEATHKEEL_SOAK_LEAVERS=1 go test -v -run TestLeaversAtSize ./internal/soak
//
// The last plays 78 processes on one core of the machine, each stopped for moments, and holds them to the drain time.
//
// A seed gives the same faults in the same order, not at the same moments.
package soak
