// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package placer decides which engine holds which model, adapters and version,
// and its role, and orders it.
//
// Each availability zone is a shard with one lease holder among the zone's
// hosts. The holder reads the engines' reports, plans (plan.go, pure), and sends
// orders that state the whole desired state under the fencing token of its lease
// until the reports agree. lease.go holds the lease; guard.go says when an engine
// that does not check tokens may be ordered.
package placer
