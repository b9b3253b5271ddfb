// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package quota shares amounts among hosts without consensus: what a workspace may use per second, and how many
// retries a service may get. Hosts report to each other what they used; use that is not known is assumed to
// have happened. The package does no I/O and reads no clock; times are passed in.
package quota
