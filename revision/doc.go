// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package revision keeps the settings tree in the platform's key-value service and distributes it to
// every host.
//
// One head record, written by compare-and-swap, names the chunks of a revision by their digests; the
// chunk of a name never changes. Store is the operators' side: it merges edits onto the newest head,
// and finds its own change again if the answer to its write was lost. Follower is a host's side: it
// takes only complete revisions that are higher than its own, from the key-value service or from a
// peer, and so never goes back.
package revision
