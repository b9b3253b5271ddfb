// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package metrics keeps counters and histograms for each workspace and tier, and
// publishes them with expvar. The number of series is limited: beyond the limit the
// least recently used series is merged into the series "other" of its tier.
package metrics
