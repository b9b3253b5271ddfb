// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package simsite runs whole hosts on simulated time: the platform's store, endpoints, callers and as many hosts as a
// test wants, on a network without sockets (simnet). It runs within a bubble of testing/synctest. Times are exact; what hosts draw by chance is not
// the same in each run.
package simsite
