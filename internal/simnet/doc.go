// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package simnet is a network without sockets. It carries connections and datagrams between hosts
// in one process, with a latency, hosts that are killed and hosts whose packets are stalled. It
// blocks only on time, locks and channels, so that whole hosts can run on the simulated time of
// testing/synctest.
package simnet
