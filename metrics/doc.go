// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package metrics counts outcomes and keeps histograms for each workspace and
// tier, and publishes them by expvar. The number of series is bounded: the
// least recently used is folded into the series "other" of its tier.
package metrics
