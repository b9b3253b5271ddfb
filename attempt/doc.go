// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package attempt tracks whether any endpoint may have run a request, and so which final status is true of it. Statuses of failed
// requests come only from this package.
package attempt
