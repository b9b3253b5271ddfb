// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package attempt keeps account of what may have become of one request: whether
// any endpoint may have run it, and so which final status would be true. Only
// this account names the status of a failure.
package attempt
