// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package placer decides which model version and adapters each engine loads, and the
// engine's role, and sends orders accordingly.
//
// Each availability zone is a shard. One of the zone's hosts holds the lease of the shard.
// The holder reads the engines' reports, makes a plan (plan.go, which does no input or
// output) and sends orders until the reports agree with the plan. An order states the whole
// desired state of an engine and carries the fencing token of the lease. lease.go
// implements the lease; guard.go decides when the holder may send orders to an engine that
// does not check tokens.
package placer
