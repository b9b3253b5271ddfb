// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package sticky keeps the errors of connections. The kernel reports the error of a socket, such as a
// reset, once: to the first call that comes. If that is a write or a look at what has arrived, the reads
// that follow see an end of file, as after a connection that was closed in order. A response that ends
// with its connection then looks whole although it is not. The connections of this package report such
// an error to the reads, too.
package sticky
