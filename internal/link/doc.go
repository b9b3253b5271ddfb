// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package link is a TCP proxy on loopback whose connections can be delayed, reset, stalled in one
// direction or silenced. It serves tests of what programs do when a connection fails without
// notice. It does not interpret the data that it forwards.
package link
