// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package reach judges whether a host reaches any endpoint at all, from the connections that it opens. A
// host whose paths to all endpoints are cut still hears callers, the store and other hosts. To it, all
// endpoints look as if they had failed, while the other hosts see them serve. Its requests are then better
// served by another host, and what it observed of endpoints says nothing about them.
//
// A Tracker does no I/O and reads no clock.
package reach
