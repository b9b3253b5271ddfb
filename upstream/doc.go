// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package upstream manages a host's connections to endpoints. A connection carries one request at a
// time. The package never retries: it reports what became of a request and leaves the decision to
// the caller.
package upstream
