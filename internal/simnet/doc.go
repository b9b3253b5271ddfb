// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package simnet is a network without sockets: connections and datagrams between hosts in one
// process, with a delay, hosts that are off and hosts whose packets wait. It blocks on nothing but time, locks and channels, so
// that whole hosts run on the simulated time of testing/synctest.
package simnet
