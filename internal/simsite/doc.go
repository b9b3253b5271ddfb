// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package simsite runs whole hosts on simulated time: the platform's store, endpoints, callers and
// any number of hosts on a network without sockets (simnet). It must run within a bubble of
// testing/synctest. Times are exact, but the random choices of hosts differ from run to run.
package simsite
