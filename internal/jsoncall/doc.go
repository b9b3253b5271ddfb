// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package jsoncall builds HTTP requests with JSON bodies, the form of all calls between
// heathkeel's programs and to the platform, and decodes the answers within limits. Its
// callers interpret them.
package jsoncall
