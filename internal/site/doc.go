// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package site is a fake of the users' platform, written from the platform's documentation. It
// runs a store with watches, leases and injected faults, endpoints that can fail in every known
// way, and a few heathkeel hosts between the endpoints and callers, all on loopback.
package site
