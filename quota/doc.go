// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package quota shares amounts among hosts that do not agree with each other:
// what a workspace may use a second, and how many repeated sends a service may
// get. Hosts tell each other what they used; what is not known is taken as used.
// The package is pure: times are passed in.
package quota
