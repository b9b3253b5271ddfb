// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package settings holds the tree of settings that operators declare: workspaces,
// their services and tiers, and the endpoints, models and placements they refer to.
//
// A declaration is a sorted list of entries, each a path and a value. The same
// list is what YAML files are read into, what is compared and merged, what is
// cut into content-addressed chunks, and what a Snapshot is built from. The
// package does no I/O and reads no clock.
package settings
