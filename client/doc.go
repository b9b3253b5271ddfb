// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package client is for callers in Go. It keeps an address answer for its age,
// retries under one ID, resumes a lost stream at any host, resubmits under a new
// ID what was not run, and never repeats a call that may not be repeated.
package client
