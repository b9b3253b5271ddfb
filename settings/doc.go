// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package settings defines the tree of settings that operators declare: workspaces,
// their services and tiers, and the endpoints, models and placements they refer to.
//
// A Declaration is a sorted list of entries, each with a path and a value. YAML
// files are parsed into this list; it is compared and merged, split into
// content-addressed chunks, and resolved into a Snapshot. Apart from reading files
// through an fs.FS, the package does no I/O, and it reads no clock.
package settings
