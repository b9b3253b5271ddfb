// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package upstream manages a host's connections to endpoints. A connection carries one request at a
// time. The package never retries: it reports what became of a request and leaves the decision to
// the caller.
//
// Endpoints may send second copies of responses, also late, in front of the response to the next
// request. The ID in a response tells which request it answers, but not which send of it. So a
// connection carries each ID once: a response that is returned for a request answers the send of
// it on this connection, and what it says holds for that send alone.
package upstream
