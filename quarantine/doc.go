// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package quarantine knows requests again that come more than once: as new attempts of their callers, under other IDs, at
// other hosts. It does no I/O and reads no clock.
package quarantine
