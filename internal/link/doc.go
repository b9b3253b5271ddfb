// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package link is a TCP proxy on loopback whose connections can be delayed, reset, cut one way
// or silenced, for tests of what programs do when a connection fails without saying so.
// It knows nothing of what is sent over it.
package link
