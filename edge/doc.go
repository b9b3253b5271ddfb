// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package edge assembles a heathkeel host on the users' platform: it reads settings and endpoints
// from the store or from peers, exchanges heartbeats with peers, serves callers through the ingress
// and answers requests for host addresses. All hosts are equal, and no host holds state that
// another one needs.
package edge
