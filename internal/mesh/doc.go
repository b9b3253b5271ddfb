// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package mesh connects the membership and settings of many hosts in one process, without sockets.
// Each host is a fleet.Agent and a revision.Follower, messages are function calls with a latency,
// and any pair of hosts can be partitioned. The package serves tests on simulated time and the
// figures of docs/CAPACITY.md.
package mesh
