// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package fleet holds what hosts know of each other: a table of members, and the address
// answers made from it. Hosts maintain the table by heartbeats to a few peers and by the
// platform's list of hosts, which lags.
//
// Each incarnation of a host is a member of its own. Only a member itself changes its
// record, with an increasing sequence number. Others may mark it as suspect, which the
// member refutes with a higher number. Suspicion decides only which hosts are named in
// answers, never which host may run a request, so that a wrong suspicion costs a detour and
// nothing else. Table, Neighbors and SelectHosts do no input or output; Agent connects them
// to the network.
package fleet
