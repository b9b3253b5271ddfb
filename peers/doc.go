// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package peers lets hosts know of each other without a leader and without
// agreement: each host sends a small heartbeat by UDP to a few others several
// times a second, and passes on whom it heard. A lost heartbeat only makes
// knowledge older.
package peers
