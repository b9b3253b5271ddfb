// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package client is the Go client for callers. It caches an address answer until it
// expires, retries under one ID, resumes a broken stream at any host, resubmits under a new
// ID what was not run, and never repeats a call that may not be repeated.
package client
