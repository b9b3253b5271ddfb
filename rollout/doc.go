// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package rollout moves the traffic of a service to the endpoints of another version, or takes it back if
// that version serves worse than the others. Hosts decide without consensus: each draws for each of its
// requests which version it goes to, all by the same plan in time, and each judges the version by the counts
// that all hosts exchange. The package does no I/O and reads no clock; times are passed in.
package rollout
