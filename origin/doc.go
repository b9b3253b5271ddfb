// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package origin knows at which version of the endpoints' software a stream began. What two versions
// write does not fit together, so a stream may go on only at the version that began it, and callers
// may resume it at any host.
//
// A Book remembers the origins of recent streams: those that this host began and those that other
// hosts told it. A History remembers which versions of each service were listed lately. Where no host
// remembers the origin of a stream, a version that alone served since before the stream can have begun
// proves it; otherwise the stream must not go on. docs/design/streams.md has the alternatives.
//
// The package does no I/O and reads no clock; times are those of the host's clock.
package origin
