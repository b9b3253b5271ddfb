// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package respcheck checks heads of responses for what net/http accepts although HTTP does not
// (RFC 9110, sections 5.1 and 15; RFC 9112, sections 2.3 and 5.1). A response with such a head must
// not be forwarded: its body may be framed otherwise than it seems, and what follows it belongs to no
// request.
package respcheck
