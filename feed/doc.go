// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package feed keeps a host's view of the configuration and of the endpoints
// in step with a key-value service that is slow, dark or forgetful at times, and
// knows how old that view may be. Hosts read for each other: shared.go says whose turn it
// is, and what a peer's word is worth.
package feed
