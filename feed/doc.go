// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package feed keeps a host's copy of the configuration and of the endpoint list up to date from a
// key-value service that may be slow, unreachable or lose its change history, and tracks how old that
// copy may be. Hosts read on behalf of each other: shared.go decides which host reads when, and how
// far a host relies on what a peer reports.
package feed
