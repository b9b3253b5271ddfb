// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package keyval holds the interfaces to what the users' platform gives (a
// key-value service, a lagging list of hosts and endpoints, a weight store) and
// clients that speak to them over HTTP with JSON. The wire format of each stands
// in one file, so that it can be changed without touching a decision.
package keyval
