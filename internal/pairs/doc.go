// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package pairs compares two versions of the code by days that both have played, with the same site, day
// and seed. The same day differs from run to run; the mean difference of the pairs and its standard error
// show whether a change is an improvement.
package pairs
