// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package version

// Version is the version of all programs; each release sets it.
const Version = "0.1.0-dev"
