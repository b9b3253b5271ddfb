// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package edge joins the parts of heathkeel into one host on the users' platform:
// settings and endpoints from the store or from peers, heartbeats with peers, the
// ingress for callers, and the answers to those who ask where to go. All hosts are
// alike and none holds what another needs.
package edge
