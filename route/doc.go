// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package route decides to which service a request over plain HTTP belongs, for
// whom it runs and what bounds hold for it. A Document is a whole configuration;
// a Table is a Document made ready for look-ups. The package does no I/O.
package route
