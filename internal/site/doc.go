// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package site is a stand-in for the users' platform, written from its pages: a
// store with watches, leases and bad moods, endpoints with all their faults, and a
// few hosts of heathkeel between them and callers, all on loopback.
package site
