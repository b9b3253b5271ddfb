// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package upstream holds a host's own connections to endpoints. It sends one
// request at a time on a connection and never sends anything twice: what became
// of a request is told, not mended.
package upstream
