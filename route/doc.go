// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package route determines the service and the workspace of a request over plain HTTP, and the limits that apply to it. A Document
// is a whole configuration; a Table indexes a Document for lookups. The package does no I/O.
package route
