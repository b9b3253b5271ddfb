// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package mesh joins many hosts' membership and settings in one process, without
// sockets: each host is a fleet.Agent and a revision.Follower, messages are
// function calls with a latency, and any pair of hosts may be cut apart. It
// serves tests on injected time and the figures of docs/CAPACITY.md.
package mesh
