// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package forecast estimates how long a request takes from how long earlier ones on its route took.
// It does no I/O and reads no clock.
package forecast
