// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package pairs compares two versions of the code by days that both have played: the same site, day and
// seed. Single days differ from play to play; the difference of pairs and its spread tell whether a change
// is better.
package pairs
